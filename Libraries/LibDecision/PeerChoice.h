#pragma once

#include "LibBase/Identifier.h"
#include <vector>

namespace sorrelbay {

/// A daemon that another may keep a connection to.
struct PeerCandidate {
  HostId Host;
  ZoneId Zone;
};

/// Up to so many daemons all keep connections to all.
constexpr std::size_t FullMeshLimit = 16;
/// Beyond it each chooses so many; connections go both ways, so that a daemon
/// has about twice as many.
constexpr std::size_t SelectedPeerCount = 8;

/// The peers that a daemon keeps connections to, out of all others. Beyond the
/// full mesh, the first one is the next in the order of ids, which alone ties
/// all daemons together; the rest are spread over the zones by rendezvous
/// hashing, so that few hops reach all and a daemon that comes or goes changes
/// few choices.
std::vector<HostId> choosePeers(const HostId &self,
                                const std::vector<PeerCandidate> &others);

} // namespace sorrelbay
