#include "LibPeer/HostTable.h"

namespace sorrelbay {

static constexpr Duration PromisingFor = seconds(60);
static constexpr Duration RememberedFor = minutes(10);

void HostTable::noteNews(const std::map<HostId, HostReport> &news, Instant at) {
  for (const auto &entry : news) {
    const auto [it, isNew] = All.emplace(entry.first, Heard{at, false});
    it->second.LastAt = at;
    it->second.HasGrown = !isNew;
  }
}

void HostTable::noteAlive(const HostId &host, Instant at) {
  All[host] = {at, true};
}

bool HostTable::isLiving(const HostId &host, Instant at,
                         Duration livingFor) const {
  const auto it = All.find(host);
  return it != All.end() && it->second.HasGrown &&
         at - it->second.LastAt <= livingFor;
}

bool HostTable::isWorthConnecting(const HostId &host, Instant at) const {
  const auto it = All.find(host);
  return it != All.end() && at - it->second.LastAt <= PromisingFor;
}

void HostTable::eraseDeadHosts(PeerKnowledge &knowledge, const HostId &self,
                               Instant at) {
  for (auto it = All.begin(); it != All.end();) {
    if (it->first == self || at - it->second.LastAt <= RememberedFor) {
      ++it;
      continue;
    }
    knowledge.Hosts.erase(it->first);
    it = All.erase(it);
  }
}

} // namespace sorrelbay
