#include "LibDecision/PeerChoice.h"
#include "LibBase/Hash.h"
#include <algorithm>
#include <map>

namespace sorrelbay {

namespace {

std::uint64_t weigh(const HostId &self, const std::string &other) {
  return stableHash(other, stableHash(self.text()));
}

const HostId &nextById(const HostId &self,
                       const std::vector<PeerCandidate> &others) {
  // Ids after this daemon's own come first, then the lowest ones.
  const auto comesBefore = [&self](const PeerCandidate &a,
                                   const PeerCandidate &b) {
    const bool aIsAfter = self < a.Host;
    const bool bIsAfter = self < b.Host;
    return aIsAfter != bIsAfter ? aIsAfter : a.Host < b.Host;
  };
  return std::min_element(others.begin(), others.end(), comesBefore)->Host;
}

/// The candidates grouped by zone. Zones and candidates are ordered by their
/// weights for this daemon.
std::vector<std::vector<HostId>>
rankByZone(const HostId &self, const std::vector<PeerCandidate> &others) {
  std::map<ZoneId, std::vector<HostId>> zones;
  for (const PeerCandidate &it : others)
    zones[it.Zone].push_back(it.Host);
  std::map<std::uint64_t, std::vector<HostId>> ranked;
  for (auto &[zone, hosts] : zones) {
    std::sort(hosts.begin(), hosts.end(),
              [&self](const HostId &a, const HostId &b) {
                return weigh(self, a.text()) > weigh(self, b.text());
              });
    ranked[weigh(self, zone.text())] = hosts;
  }
  std::vector<std::vector<HostId>> out;
  out.reserve(ranked.size());
  for (auto &entry : ranked)
    out.push_back(std::move(entry.second));
  return out;
}

} // namespace

std::vector<HostId> choosePeers(const HostId &self,
                                const std::vector<PeerCandidate> &others) {
  std::vector<HostId> chosen;
  if (others.size() < FullMeshLimit) {
    chosen.reserve(others.size());
    for (const PeerCandidate &it : others)
      chosen.push_back(it.Host);
    return chosen;
  }
  chosen.push_back(nextById(self, others));
  const std::vector<std::vector<HostId>> zones = rankByZone(self, others);
  for (std::size_t round = 0; chosen.size() < SelectedPeerCount; ++round)
    for (const std::vector<HostId> &hosts : zones)
      if (round < hosts.size() && chosen.size() < SelectedPeerCount &&
          hosts[round] != chosen.front())
        chosen.push_back(hosts[round]);
  return chosen;
}

} // namespace sorrelbay
