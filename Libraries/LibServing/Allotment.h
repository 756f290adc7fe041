#pragma once

#include "LibServing/ServingPlan.h"
#include <cstdint>

namespace sorrelbay {

/// What all hosts together admit for a team: units per second, and a burst in
/// units. A rate of 0 means no limit.
struct Allotment {
  std::int64_t Rate = 0;
  std::int64_t Burst = 0;

  friend bool operator==(const Allotment &a, const Allotment &b) {
    return a.Rate == b.Rate && a.Burst == b.Burst;
  }
};

/// How precisely an allotment is enforced, from the settings.
struct AllotmentBounds {
  /// Units that a team may use in excess of its allotment.
  std::int64_t Slack = 0;
  /// In any span of this length a team may use its rate times the span, plus
  /// its burst. Zero if unknown.
  Duration Window{};
};

/// The part of a team's allotment that is granted to callers. The rest covers
/// what hosts admit before they receive each other's reports. In a small fleet
/// the slack covers this, and a fraction of the slack is granted in addition to
/// the allotment. Where reports are aggregated by zone the slack is too small,
/// and a part of the allotment is reserved.
///
/// A part of the burst is refilled evenly over the window instead of being
/// available at once. The total per window stays the same, but a team that
/// constantly runs near its rate would use its burst only once; this way it
/// gets that part in every window.
Allotment allotmentFor(const ServingTeam &team, bool isAggregatedByZone,
                       const AllotmentBounds &bounds);

} // namespace sorrelbay
