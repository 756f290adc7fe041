#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace sorrelbay {

/// Counts and limits the calls in flight. A planned stop waits until there are
/// none, so that no request is aborted. Thread-safe; the lock is a leaf.
class OpenCalls {
public:
  explicit OpenCalls(std::size_t limit) : Limit(limit) {}

  /// Counts a new call as in flight. Returns false without counting it if the
  /// limit is reached or the daemon is stopping.
  bool tryBegin();
  /// Counts a caller that reconnects to an open answer, also while the daemon
  /// is stopping and beyond the limit.
  void beginReconnect();
  void end();
  /// Refuses all new calls from here on.
  void beginStop();
  bool isStopping() const;
  std::size_t count() const;
  /// Waits until no call is in flight, or for the wait limit. Returns whether
  /// none is.
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

/// Counts the call as ended on destruction.
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
