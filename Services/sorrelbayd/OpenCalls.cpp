#include "OpenCalls.h"
#include "LibBase/Invariant.h"

namespace sorrelbay {

bool OpenCalls::tryBegin() {
  const std::lock_guard<std::mutex> lock(Mutex);
  if (IsStopping || Count >= Limit)
    return false;
  ++Count;
  return true;
}

void OpenCalls::beginReconnect() {
  const std::lock_guard<std::mutex> lock(Mutex);
  ++Count;
}

void OpenCalls::end() {
  const std::lock_guard<std::mutex> lock(Mutex);
  verifyInvariant(Count > 0, "open_calls_balanced", "a call ended twice");
  --Count;
  Changed.notify_all();
}

void OpenCalls::beginStop() {
  const std::lock_guard<std::mutex> lock(Mutex);
  IsStopping = true;
}

bool OpenCalls::isStopping() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return IsStopping;
}

std::size_t OpenCalls::count() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Count;
}

} // namespace sorrelbay
