#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace sorrelbay {

/// How many calls are in flight. A planned stop waits until none is, so that
/// no request is cut off. Thread-safe; its lock is a leaf.
class OpenCalls {
public:
  explicit OpenCalls(std::size_t limit) : Limit(limit) {}

  /// Takes a place; false when all are taken or the daemon is stopping.
  bool tryBegin();
  /// Takes a place for a caller that comes back for an answer that is open:
  /// also while the daemon is stopping, and beyond the limit.
  void beginAgain();
  void end();
  /// From here on nothing new is taken.
  void beginStop();
  bool isStopping() const;
  std::size_t count() const;
  /// Waits until no call is in flight or the time is over; true if none is.
  template <typename WaitLimit> bool waitForNone(WaitLimit waitLimit) {
    std::unique_lock<std::mutex> lock(Mutex);
    return Changed.wait_for(lock, waitLimit, [this] { return Count == 0; });
  }

private:
  const std::size_t Limit;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::size_t Count = 0;
  bool IsStopping = false;
};

/// Gives the place back when the call is over, however it ends.
class OpenCallGuard {
public:
  explicit OpenCallGuard(OpenCalls &calls) : Calls(&calls) {}
  ~OpenCallGuard() { Calls->end(); }
  OpenCallGuard(const OpenCallGuard &) = delete;
  OpenCallGuard &operator=(const OpenCallGuard &) = delete;

private:
  OpenCalls *Calls;
};

} // namespace sorrelbay
