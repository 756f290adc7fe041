#include "LibLoad/QueueWaitLimits.h"
#include <algorithm>

namespace sorrelbay {

void QueueWaitLimits::add(const PromptClass &promptClass) {
  if (promptClass.LatencyTarget <= Duration::zero())
    return;
  Duration &target = Targets[promptClass.OfService][promptClass.Priority];
  target = std::max(target, promptClass.LatencyTarget);
}

Duration QueueWaitLimits::maxQueueWait(const PromptClass &promptClass) const {
  if (promptClass.LatencyTarget <= Duration::zero())
    return Duration::zero();
  Duration target = promptClass.LatencyTarget;
  const auto service = Targets.find(promptClass.OfService);
  if (service != Targets.end())
    for (const auto &[priority, it] : service->second)
      if (priority >= promptClass.Priority)
        target = std::max(target, it);
  return fromSeconds(toSeconds(target) * QueueWaitShare);
}

} // namespace sorrelbay
