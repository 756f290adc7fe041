#pragma once

#include "LibServing/ServingPlan.h"
#include <cstdint>

namespace sorrelbay {

/// What hosts together let in for a team: units a second, and units at once
/// besides. A rate of 0 means no limit.
struct Allotment {
  std::int64_t Rate = 0;
  std::int64_t Burst = 0;

  friend bool operator==(const Allotment &a, const Allotment &b) {
    return a.Rate == b.Rate && a.Burst == b.Burst;
  }
};

/// How exactly an allotment is kept, from the settings.
struct AllotmentBounds {
  /// Units that may be used beyond an allotment.
  std::int64_t Slack = 0;
  /// In any span of that length a team may use its rate times the span, and its
  /// burst; zero where it is not known.
  Duration Window{};
};

/// The part of a team's allotment that is given to callers, by what hosts let
/// in before they hear of each other. In a small fleet that is within the
/// slack, of which a part is given out; in one whose zones report sums it
/// is more, and a part of the allotment is kept back for it.
///
/// A part of the burst comes in evenly over the window instead of at once. Any
/// window holds the same then, but a team that is always near its rate, for
/// which a burst is gone once and never comes back, gets it in every window.
Allotment allotmentFor(const ServingTeam &team, bool isAggregatedByZone,
                       const AllotmentBounds &bounds);

} // namespace sorrelbay
