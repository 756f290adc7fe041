#include "LibServing/Allotment.h"
#include <cmath>

namespace sorrelbay {

/// The slack is divided by this to get the part granted to callers; the rest
/// covers what hosts admit before they receive each other's reports.
static constexpr std::int64_t SlackDivisor = 4;
/// The fraction of a burst that is refilled evenly over the window.
static constexpr double SpreadBurstShare = 0.5;
/// The fraction of an allotment that is granted to callers where reports are
/// aggregated by zone.
static constexpr double AggregatedAllotmentShare = 0.94;

Allotment allotmentFor(const ServingTeam &team, bool isAggregatedByZone,
                       const AllotmentBounds &bounds) {
  const bool isSpread = team.Rate > 0 && bounds.Window > Duration::zero();
  const double spread =
      isSpread ? SpreadBurstShare * static_cast<double>(team.Burst) : 0;
  const double perSecond = isSpread ? spread / toSeconds(bounds.Window) : 0;
  if (!isAggregatedByZone) {
    return {team.Rate + static_cast<std::int64_t>(perSecond),
            team.Burst - static_cast<std::int64_t>(spread) +
                bounds.Slack / SlackDivisor};
  }
  // A rate of zero means no limit, so a small rate must not be rounded down to
  // zero.
  const auto part = [](double units) {
    return static_cast<std::int64_t>(
        std::ceil(units * AggregatedAllotmentShare));
  };
  return {part(static_cast<double>(team.Rate) + perSecond),
          part(static_cast<double>(team.Burst) - spread)};
}

} // namespace sorrelbay
