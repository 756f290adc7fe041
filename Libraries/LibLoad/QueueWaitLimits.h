#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>

namespace sorrelbay {

/// A kind of call as far as its place in a queue of prompts goes.
struct PromptClass {
  ServiceId OfService;
  /// 0 goes first.
  int Priority = 0;
  /// A first token after this is late.
  Duration LatencyTarget{};
};

/// How long a call may have to wait for other prompts at the best upstream
/// before it is turned away. Where more is asked for than engines can read,
/// every prompt let in makes all behind it later, until each answer comes late
/// and none is of use; turned away at once, its caller can come back when there
/// is room. The limit is on the wait for others and not on the call's own
/// prompt, so that large prompts are turned away no more often than small ones,
/// and it is never lower for an urgent kind of call than for a less urgent one.
/// Not thread-safe.
class QueueWaitLimits {
public:
  /// The part of a latency target that may go by in waiting for others.
  explicit QueueWaitLimits(double queueWaitShare = 0.45)
      : QueueWaitShare(queueWaitShare) {}

  void add(const PromptClass &urgency);
  /// The longest wait for others; nothing is turned away where it is zero.
  Duration maxQueueWait(const PromptClass &urgency) const;

private:
  double QueueWaitShare;
  /// The largest target of each priority, by service.
  std::map<ServiceId, std::map<int, Duration>> Targets;
};

} // namespace sorrelbay
