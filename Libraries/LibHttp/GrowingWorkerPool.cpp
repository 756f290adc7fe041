#include "LibHttp/GrowingWorkerPool.h"
#include <utility>

namespace sorrelbay {

GrowingWorkerPool::GrowingWorkerPool(std::size_t limit) : Limit(limit) {}

GrowingWorkerPool::~GrowingWorkerPool() { shutdown(); }

void GrowingWorkerPool::enqueue(std::function<void()> work) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Queue.push_back(std::move(work));
  if (Queue.size() > IdleCount && Workers.size() < Limit)
    Workers.emplace_back([this] { runWorker(); });
  Changed.notify_one();
}

void GrowingWorkerPool::runWorker() {
  std::unique_lock<std::mutex> lock(Mutex);
  while (true) {
    ++IdleCount;
    Changed.wait(lock, [this] { return !Queue.empty() || IsShuttingDown; });
    --IdleCount;
    if (Queue.empty())
      return;
    std::function<void()> work = std::move(Queue.front());
    Queue.pop_front();
    lock.unlock();
    work();
    work = nullptr;
    lock.lock();
  }
}

void GrowingWorkerPool::shutdown() {
  std::vector<std::thread> stoppedWorkers;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    IsShuttingDown = true;
    stoppedWorkers.swap(Workers);
  }
  Changed.notify_all();
  for (std::thread &it : stoppedWorkers)
    it.join();
}

} // namespace sorrelbay
