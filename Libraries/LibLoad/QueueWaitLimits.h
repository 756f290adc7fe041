#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>

namespace sorrelbay {

/// The properties of a call that determine its limit in a prompt queue.
struct PromptClass {
  ServiceId OfService;
  /// 0 is the highest priority.
  int Priority = 0;
  /// A first token that takes longer than this is late; zero for no target.
  Duration LatencyTarget{};
};

/// The longest time that a call may have to wait for other prompts at the best
/// upstream before it is rejected. Under overload, each admitted prompt delays
/// all prompts behind it, until every response is late and of no use; a caller
/// whose call is rejected at once can retry when there is capacity. The limit
/// applies to the wait for other prompts and not to the call's own prefill, so
/// that large prompts are rejected no more often than small ones, and it is
/// never lower for a call of higher priority than for one of lower priority.
/// Not thread-safe.
class QueueWaitLimits {
public:
  /// The share of a latency target that may be spent waiting for other prompts,
  /// 0 to 1.
  explicit QueueWaitLimits(double queueWaitShare = 0.45)
      : QueueWaitShare(queueWaitShare) {}

  void add(const PromptClass &promptClass);
  /// The longest wait for other prompts; zero for no limit.
  Duration maxQueueWait(const PromptClass &promptClass) const;

private:
  double QueueWaitShare;
  /// The largest latency target of each priority, by service.
  std::map<ServiceId, std::map<int, Duration>> Targets;
};

} // namespace sorrelbay
