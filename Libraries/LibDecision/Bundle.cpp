#include "LibDecision/Bundle.h"
#include <tuple>

namespace sorrelbay {

template <typename Entry, typename Id>
static const Entry *findById(const std::vector<Entry> &entries, const Id &id) {
  for (const Entry &it : entries)
    if (it.Id == id)
      return &it;
  return nullptr;
}

const Route *findRoute(const Bundle &bundle, const RouteId &id) {
  return findById(bundle.Routes, id);
}

const Service *findService(const Bundle &bundle, const ServiceId &id) {
  return findById(bundle.Services, id);
}

const Team *findTeam(const Bundle &bundle, const TeamId &id) {
  return findById(bundle.Teams, id);
}

const UpstreamVersion *findVersion(const Bundle &bundle, const VersionId &id) {
  return findById(bundle.Versions, id);
}

bool operator==(const Route &a, const Route &b) {
  return std::tie(a.Id, a.Service, a.Repeatable, a.Priority, a.LatencyTarget,
                  a.TokenTarget) == std::tie(b.Id, b.Service, b.Repeatable,
                                             b.Priority, b.LatencyTarget,
                                             b.TokenTarget);
}

bool operator==(const UpstreamVersion &a, const UpstreamVersion &b) {
  return std::tie(a.Id, a.Service, a.Share, a.Deadline, a.Adapters) ==
         std::tie(b.Id, b.Service, b.Share, b.Deadline, b.Adapters);
}

bool operator==(const Service &a, const Service &b) {
  return std::tie(a.Id, a.Kind, a.Policy) == std::tie(b.Id, b.Kind, b.Policy);
}

bool operator==(const Team &a, const Team &b) {
  return std::tie(a.Id, a.Weight) == std::tie(b.Id, b.Weight);
}

bool operator==(const CostPolicy &a, const CostPolicy &b) {
  return std::tie(a.ReclaimableShare, a.HourlyLimit) ==
         std::tie(b.ReclaimableShare, b.HourlyLimit);
}

bool operator==(const Bundle &a, const Bundle &b) {
  return std::tie(a.Generation, a.Services, a.Versions, a.Routes, a.Teams,
                  a.Cost) == std::tie(b.Generation, b.Services, b.Versions,
                                      b.Routes, b.Teams, b.Cost);
}

} // namespace sorrelbay
