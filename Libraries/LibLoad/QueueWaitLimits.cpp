#include "LibLoad/QueueWaitLimits.h"
#include <algorithm>

namespace sorrelbay {

void QueueWaitLimits::add(const PromptClass &urgency) {
  if (urgency.LatencyTarget <= Duration::zero())
    return;
  Duration &target = Targets[urgency.OfService][urgency.Priority];
  target = std::max(target, urgency.LatencyTarget);
}

Duration QueueWaitLimits::maxQueueWait(const PromptClass &urgency) const {
  if (urgency.LatencyTarget <= Duration::zero())
    return Duration::zero();
  Duration target = urgency.LatencyTarget;
  const auto service = Targets.find(urgency.OfService);
  if (service != Targets.end())
    for (const auto &[priority, it] : service->second)
      if (priority >= urgency.Priority)
        target = std::max(target, it);
  return fromSeconds(toSeconds(target) * QueueWaitShare);
}

} // namespace sorrelbay
