#include "LibServing/UpstreamHealth.h"
#include <algorithm>

namespace sorrelbay {

/// Sends before which an upstream's failure share is not relied on.
static constexpr double MinSendsSeen = 3;
/// Upper bound of the number of sends that a failure share covers.
static constexpr double MaxSendsSeen = 20;
/// A broken send has more weight than a failed one: its past decays faster.
static constexpr double BrokenDecayFactor = 0.8;

/// The first call after an ejection is a probe: until it has ended, the
/// upstream gets no other call if there are healthy ones.
void UpstreamHealth::noteSent() {
  if (LastEjection > Duration::zero() && SendsSeen == 0)
    IsBeingProbed = true;
}

void UpstreamHealth::noteResult(SendResult result, double othersFailureShare,
                                const UpstreamHealthSettings &settings,
                                Instant now) {
  if (result == SendResult::Inconclusive) {
    IsBeingProbed = false;
    return;
  }
  const bool isBad =
      result == SendResult::Failed || result == SendResult::Broken;
  const double decay = result == SendResult::Broken
                           ? settings.FailureShareDecay * BrokenDecayFactor
                           : settings.FailureShareDecay;
  FailureShare = decay * FailureShare + (1 - decay) * (isBad ? 1 : 0);
  SendsSeen = std::min(MaxSendsSeen, SendsSeen + 1);
  if (IsBeingProbed) {
    IsBeingProbed = false;
    if (!isBad)
      LastEjection = Duration::zero();
    else
      SendsSeen = MinSendsSeen;
  }
  const double limit = othersFailureShare + settings.OutlierMargin;
  if (!isBad || SendsSeen < MinSendsSeen || FailureShare < limit)
    return;
  const Duration next = std::min(settings.LongestEjection, LastEjection * 2);
  LastEjection = std::max(settings.FirstEjection, next);
  EjectedUntil = now + LastEjection;
  FailureShare = limit;
  SendsSeen = 0;
}

void UpstreamHealth::beginProcess() {
  FailureShare = 0;
  SendsSeen = 0;
  EjectedUntil = {};
}

} // namespace sorrelbay
