#include "LibServing/Allotment.h"
#include <cmath>

namespace sorrelbay {

/// One part in so many of the slack is given to callers; the rest covers what
/// hosts let in before they hear of each other.
static constexpr std::int64_t SlackUsed = 4;
/// The part of a burst that comes in evenly over the window.
static constexpr double BurstSpread = 0.5;
/// The part of an allotment that is given to callers where zones are told as
/// sums.
static constexpr double ZonedAllotment = 0.94;

Allotment allotmentFor(const ServingTeam &team, bool isAggregatedByZone,
                       const AllotmentBounds &bounds) {
  const bool isSpread = team.Rate > 0 && bounds.Window > Duration::zero();
  const double spread =
      isSpread ? BurstSpread * static_cast<double>(team.Burst) : 0;
  const double perSecond = isSpread ? spread / toSeconds(bounds.Window) : 0;
  if (!isAggregatedByZone) {
    return {team.Rate + static_cast<std::int64_t>(perSecond),
            team.Burst - static_cast<std::int64_t>(spread) +
                bounds.Slack / SlackUsed};
  }
  // A rate of zero means no limit, so that a small one must not become it.
  const auto part = [](double units) {
    return static_cast<std::int64_t>(std::ceil(units * ZonedAllotment));
  };
  return {part(static_cast<double>(team.Rate) + perSecond),
          part(static_cast<double>(team.Burst) - spread)};
}

} // namespace sorrelbay
