#include "LibServing/DeferredFailures.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

/// The longest time in which a lost path is noticed.
static constexpr Duration HoldTime = seconds(1);
/// A failure is dropped if the service has not been reached for this long.
static constexpr Duration LongestHoldTime = seconds(10);

void DeferredFailures::add(const UnansweredSend &send, Instant now) {
  Held.push_back({send, now});
}

void DeferredFailures::discard(const ServiceId &service) {
  Held.erase(std::remove_if(Held.begin(), Held.end(),
                            [&](const Deferred &it) {
                              return it.Send.Service == service;
                            }),
             Held.end());
}

void DeferredFailures::mergeCrash(const UpstreamId &upstream) {
  bool isFirst = true;
  Held.erase(std::remove_if(Held.begin(), Held.end(),
                            [&](const Deferred &it) {
                              if (it.Send.Upstream != upstream)
                                return false;
                              return !std::exchange(isFirst, false);
                            }),
             Held.end());
}

std::vector<UnansweredSend>
DeferredFailures::takeDue(const UpstreamReachability &paths, Instant now) {
  std::vector<UnansweredSend> out;
  std::deque<Deferred> later;
  for (Deferred &it : Held) {
    const Duration age = now - it.At;
    if (age >= HoldTime && paths.hasConnectedSince(it.Send.Service, it.At))
      out.push_back(std::move(it.Send));
    else if (age < LongestHoldTime)
      later.push_back(std::move(it));
  }
  Held = std::move(later);
  return out;
}

} // namespace sorrelbay
