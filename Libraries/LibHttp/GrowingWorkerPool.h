#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace sorrelbay {

/// A pool of worker threads that starts a thread only when all others are busy,
/// up to a limit, so that a daemon with few open streams has few threads.
/// Beyond the limit, work is queued and runs in order.
class GrowingWorkerPool {
public:
  explicit GrowingWorkerPool(std::size_t limit);
  ~GrowingWorkerPool();
  GrowingWorkerPool(const GrowingWorkerPool &) = delete;
  GrowingWorkerPool &operator=(const GrowingWorkerPool &) = delete;

  void enqueue(std::function<void()> work);
  /// Runs all queued work to its end and joins the workers.
  void shutdown();

private:
  void runWorker();

  const std::size_t Limit;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::function<void()>> Queue;
  std::vector<std::thread> Workers;
  std::size_t IdleCount = 0;
  bool IsShuttingDown = false;
};

} // namespace sorrelbay
