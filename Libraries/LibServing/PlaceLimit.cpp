#include "LibServing/PlaceLimit.h"
#include <algorithm>

namespace sorrelbay {

/// Factor by which a rejection lowers the limit, as CUBIC does (RFC 9438). The
/// calls that were sent before the reduction do not count again.
static constexpr double ReductionFactor = 0.7;
/// Weight of a new value in the means of open calls, which are sampled four
/// times a second, so that they cover about two seconds.
static constexpr double CallsWeight = 0.125;

void PlaceLimit::updateShare(const PlaceShare &share) {
  Slots = std::max(1, share.Slots);
  OwnCalls += CallsWeight * (share.OwnCalls - OwnCalls);
  AllCalls +=
      CallsWeight * (std::max(share.AllCalls, share.OwnCalls) - AllCalls);
  // One call spread over all hosts stands for those that are not seen: without
  // it, the first host with a call would take all slots for its own.
  const double part =
      (OwnCalls + 1.0 / std::max(1, share.Hosts)) / (AllCalls + 1);
  Share = std::clamp(Slots * part, 1.0, static_cast<double>(Slots));
  Limit = Limit == 0 ? Share : std::min<double>(Limit, Slots);
}

bool PlaceLimit::noteRejected(Instant sentAt, Instant now) {
  if (sentAt < ReducedAt)
    return false;
  ReducedAt = now;
  Limit = std::max(1.0, Limit * ReductionFactor);
  return true;
}

void PlaceLimit::noteResponse(Duration took, int open) {
  const bool isSlow =
      ResponseTime.isKnown() && toSeconds(took) > ResponseTime.upperBound();
  ResponseTime.note(toSeconds(took));
  if (isSlow || open < limit())
    return;
  // Up to this host's part the limit recovers at once; beyond it, by one call
  // per round of responses.
  Limit += Limit < Share ? 1 : 1 / std::max(1.0, Limit);
  Limit = std::min<double>(Limit, Slots);
}

int PlaceLimit::limit() const { return std::max(1, static_cast<int>(Limit)); }

Duration PlaceLimit::startInterval() const { return responseTime() / limit(); }

Duration PlaceLimit::startDeviation() const {
  return fromSeconds(ResponseTime.deviation()) / limit();
}

} // namespace sorrelbay
