#include "LibServing/PromptWaitLimits.h"
#include <algorithm>

namespace sorrelbay {

/// Hosts learn of each other's prompts up to this much later. With a shorter
/// wait, engines could become idle before a host knows that they have time.
static constexpr Duration MinMaxWait = milliseconds(500);

void PromptWaitLimits::setRoutes(const std::vector<PromptRoute> &routes) {
  std::map<ServiceId, std::map<RouteId, RouteWork>> next;
  for (const PromptRoute &it : routes) {
    if (it.Timeout <= Duration::zero())
      continue;
    RouteWork &work = next[it.OfService][it.Route];
    const auto service = Routes.find(it.OfService);
    if (service != Routes.end()) {
      const auto known = service->second.find(it.Route);
      if (known != service->second.end())
        work = known->second;
    }
    work.Timeout = it.Timeout;
  }
  Routes = std::move(next);
}

void PromptWaitLimits::noteSent(const ServiceId &service, const RouteId &route,
                                Duration work) {
  const auto routes = Routes.find(service);
  if (routes == Routes.end())
    return;
  const auto found = routes->second.find(route);
  if (found != routes->second.end())
    found->second.Work.note(toSeconds(work));
}

Duration PromptWaitLimits::maxWait(const ServiceId &service) const {
  const auto routes = Routes.find(service);
  Duration shortest = Duration::max();
  if (routes == Routes.end())
    return shortest;
  for (const auto &[route, it] : routes->second) {
    const Duration work = it.Work.isKnown() ? fromSeconds(it.Work.upperBound())
                                            : Duration::zero();
    shortest = std::min(shortest, std::max(MinMaxWait, it.Timeout - work));
  }
  return shortest;
}

} // namespace sorrelbay
