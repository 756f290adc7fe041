#include "LibServing/ServingPlan.h"
#include <algorithm>
#include <cctype>

namespace sorrelbay {

/// Host names are compared without regard to case and port.
static std::string normalizedHostName(const std::string &text) {
  std::string out = text.substr(0, text.find(':'));
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

static std::string routeKey(const std::string &normalizedHost,
                            std::string_view prefix) {
  std::string key = normalizedHost;
  key += '\n';
  key += prefix;
  return key;
}

PlanIndex::PlanIndex(ServingPlan plan) : Plan(std::move(plan)) {
  for (const ServingRoute &it : Plan.Routes) {
    Routes[routeKey(normalizedHostName(it.HostName), it.PathPrefix)] = &it;
    if (!it.IsPublic)
      ChargedPriorities.insert(it.Priority);
  }
  for (const ServingTeam &team : Plan.Teams)
    for (const std::string &key : team.Keys)
      Teams[key] = &team;
  for (const ServingService &it : Plan.Services)
    Services[it.Name] = &it;
}

const ServingRoute *PlanIndex::routeOf(const std::string &hostName,
                                       const std::string &path) const {
  const std::string host = normalizedHostName(hostName);
  const std::string_view pathWithoutQuery =
      std::string_view(path).substr(0, path.find('?'));
  std::size_t end = pathWithoutQuery.rfind('/');
  while (end != std::string_view::npos) {
    const auto it =
        Routes.find(routeKey(host, pathWithoutQuery.substr(0, end + 1)));
    if (it != Routes.end())
      return it->second;
    if (end == 0)
      return nullptr;
    end = pathWithoutQuery.rfind('/', end - 1);
  }
  return nullptr;
}

const ServingTeam *PlanIndex::teamOf(const std::string &key) const {
  const auto it = Teams.find(key);
  return it == Teams.end() ? nullptr : it->second;
}

const ServingService *PlanIndex::service(const ServiceId &name) const {
  const auto it = Services.find(name);
  return it == Services.end() ? nullptr : it->second;
}

CallClass PlanIndex::classOf(const ServingRoute &route,
                             const ServingTeam &team) const {
  const auto at = ChargedPriorities.find(route.Priority);
  if (team.Priority || at == ChargedPriorities.end())
    return {};
  return {static_cast<int>(std::distance(ChargedPriorities.begin(), at)),
          static_cast<int>(ChargedPriorities.size())};
}

const WeightedService *chooseService(const ServingRoute &route,
                                     double fraction) {
  double total = 0;
  for (const WeightedService &it : route.ServiceWeights)
    total += it.Weight;
  if (total <= 0)
    return nullptr;
  double left = fraction * total;
  const WeightedService *last = nullptr;
  for (const WeightedService &it : route.ServiceWeights) {
    if (it.Weight <= 0)
      continue;
    last = &it;
    left -= it.Weight;
    if (left < 0)
      return last;
  }
  return last;
}

} // namespace sorrelbay
