#pragma once

#include "LibBase/Identifier.h"
#include <vector>

namespace sorrelbay {

/// A daemon that peers may connect to.
struct PeerCandidate {
  HostId Host;
  ZoneId Zone;
};

/// Up to this number of daemons, each is connected to all others.
constexpr std::size_t FullMeshLimit = 16;
/// In a larger fleet, each daemon selects this many peers. Connections are
/// bidirectional, so a daemon has about twice as many of them.
constexpr std::size_t SelectedPeerCount = 8;

/// Returns the peers that a daemon connects to. Above FullMeshLimit, the first
/// one is the next daemon by id, which by itself makes the graph connected. The
/// others are spread over the zones by rendezvous hashing, so that messages
/// reach all daemons in few hops and few selections change when a daemon joins
/// or leaves.
std::vector<HostId> choosePeers(const HostId &self,
                                const std::vector<PeerCandidate> &others);

} // namespace sorrelbay
