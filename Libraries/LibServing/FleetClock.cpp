#include "LibServing/FleetClock.h"
#include <algorithm>
#include <vector>

namespace sorrelbay {

void FleetClock::notePeer(const SourceId &peer, Instant peersTime,
                          Instant boot) {
  PeerOffsets[peer] = peersTime - boot;
}

void FleetClock::forgetPeer(const SourceId &peer) { PeerOffsets.erase(peer); }

Duration FleetClock::offset() const {
  std::vector<Duration> offsets{OwnOffset};
  for (const auto &[peer, offset] : PeerOffsets)
    offsets.push_back(offset);
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

Instant FleetClock::at(Instant boot) const { return boot + offset(); }

} // namespace sorrelbay
