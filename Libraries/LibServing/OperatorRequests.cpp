#include "LibServing/OperatorRequests.h"

namespace sorrelbay {

template <typename Id>
static bool isHeld(const std::map<Id, OperatorHold> &holds, const Id &id,
                   Instant now) {
  const auto it = holds.find(id);
  return it != holds.end() && it->second.isInForce(now);
}

template <typename Id>
static std::set<Id> held(const std::map<Id, OperatorHold> &holds, Instant now) {
  std::set<Id> out;
  for (const auto &[id, hold] : holds)
    if (hold.isInForce(now))
      out.insert(id);
  return out;
}

bool OperatorRequests::isUpstreamHeld(const UpstreamId &id, Instant now) const {
  return isHeld(Upstreams, id, now);
}

bool OperatorRequests::isHostHeld(const HostId &host, Instant now) const {
  return isHeld(Hosts, host, now);
}

int OperatorRequests::teamWeight(const TeamId &team) const {
  const auto it = TeamWeights.find(team);
  return it == TeamWeights.end() ? DefaultTeamWeight : it->second;
}

std::set<UpstreamId> OperatorRequests::heldUpstreams(Instant now) const {
  return held(Upstreams, now);
}

std::set<HostId> OperatorRequests::heldHosts(Instant now) const {
  return held(Hosts, now);
}

} // namespace sorrelbay
