#include "LibPeer/RepeatFilter.h"

namespace sorrelbay {

/// The longest time between two reports, up to the next tick; shorter than
/// FleetViewSettings::AggregatorTimeout.
static constexpr Duration LongestPause = milliseconds(450);

static bool haveSameNews(const FleetReport &a, const FleetReport &b) {
  return a.Open == b.Open && a.Used == b.Used && a.Members == b.Members &&
         a.RateLimits == b.RateLimits &&
         a.RejectionLimits == b.RejectionLimits && a.Moves == b.Moves;
}

bool RepeatFilter::isNeeded(const FleetReport &report, Instant now) {
  const bool isRepeated = report.Crashes.empty() &&
                          now - SentAt < LongestPause &&
                          haveSameNews(report, Sent);
  if (isRepeated)
    return false;
  Sent = report;
  SentAt = now;
  return true;
}

} // namespace sorrelbay
