#include "LibServing/DeferredFailures.h"
#include <algorithm>

namespace sorrelbay {

/// The longest time in which a lost path is noticed.
static constexpr Duration HoldTime = seconds(1);

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

std::vector<UnansweredSend> DeferredFailures::takeDue(Instant now) {
  std::vector<UnansweredSend> out;
  while (!Held.empty() && now - Held.front().At >= HoldTime) {
    out.push_back(std::move(Held.front().Send));
    Held.pop_front();
  }
  return out;
}

} // namespace sorrelbay
