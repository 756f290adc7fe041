#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>

namespace sorrelbay {

/// Tracks the age of a daemon's knowledge. Each query to a peer carries the
/// time at which it was sent, and the answer repeats it. Only that time counts:
/// a daemon that was paused finds old messages in its sockets, and using them
/// as current would make it act on the state before the pause.
class PeerFreshness {
public:
  /// The peer has answered a query sent at `askedAt`.
  void answered(const HostId &peer, Instant askedAt);

  /// The peer has left the fleet; its answers no longer count.
  void forget(const HostId &peer);

  /// The time up to which more than half of the peers have sent all their
  /// knowledge, or the epoch if too few have ever answered. A majority is
  /// needed, because two daemons that were paused together would otherwise
  /// confirm each other's stale state.
  Instant knownUntil(std::size_t peers) const;

private:
  std::map<HostId, Instant> Answers;
};

} // namespace sorrelbay
