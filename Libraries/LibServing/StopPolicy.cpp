#include "LibServing/StopPolicy.h"

namespace sorrelbay {

/// The part of the grace in which every call is taken.
static constexpr double OpenShare = 0.3;
static constexpr double MarginShare = 0.08;

Duration stopMargin(Duration grace) {
  return fromSeconds(toSeconds(grace) * MarginShare);
}

bool acceptsCallWhileStopping(Duration sinceStop, Duration grace,
                              Duration waitLimit) {
  if (toSeconds(sinceStop) < toSeconds(grace) * OpenShare)
    return true;
  return sinceStop + waitLimit < grace - stopMargin(grace);
}

} // namespace sorrelbay
