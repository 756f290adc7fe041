#include "LibServing/StopPolicy.h"

namespace sorrelbay {

/// The fraction of the grace period in which every call is accepted.
static constexpr double AcceptAllShare = 0.3;
static constexpr double MarginShare = 0.08;

Duration stopMargin(Duration grace) {
  return fromSeconds(toSeconds(grace) * MarginShare);
}

bool acceptsCallWhileStopping(Duration sinceStop, Duration grace,
                              Duration waitLimit) {
  if (toSeconds(sinceStop) < toSeconds(grace) * AcceptAllShare)
    return true;
  return sinceStop + waitLimit < grace - stopMargin(grace);
}

} // namespace sorrelbay
