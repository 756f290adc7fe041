#include "LibPeer/HostTable.h"

namespace sorrelbay {

/// No attempt is made to connect to a host that has been silent for longer.
static constexpr Duration MaxSilenceToConnect = seconds(60);
/// A host that has been silent for longer is removed.
static constexpr Duration MaxSilenceToKeep = minutes(10);

void HostTable::recordNewReports(const std::map<HostId, HostReport> &newReports,
                                 Instant at) {
  for (const auto &entry : newReports) {
    const auto [it, isNew] =
        HostActivities.emplace(entry.first, HostActivity{at, false});
    it->second.LastAt = at;
    it->second.HasNewerReport = !isNew;
  }
}

void HostTable::recordContact(const HostId &host, Instant at) {
  HostActivities[host] = {at, true};
}

bool HostTable::wasSeenRecently(const HostId &host, Instant at,
                                Duration seenWithin) const {
  const auto it = HostActivities.find(host);
  return it != HostActivities.end() && it->second.HasNewerReport &&
         at - it->second.LastAt <= seenWithin;
}

bool HostTable::isWorthConnecting(const HostId &host, Instant at) const {
  const auto it = HostActivities.find(host);
  return it != HostActivities.end() &&
         at - it->second.LastAt <= MaxSilenceToConnect;
}

void HostTable::eraseSilentHosts(PeerKnowledge &knowledge, const HostId &self,
                                 Instant at) {
  for (auto it = HostActivities.begin(); it != HostActivities.end();) {
    if (it->first == self || at - it->second.LastAt <= MaxSilenceToKeep) {
      ++it;
      continue;
    }
    knowledge.Hosts.erase(it->first);
    it = HostActivities.erase(it);
  }
}

} // namespace sorrelbay
