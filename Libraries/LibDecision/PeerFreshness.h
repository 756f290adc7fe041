#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>

namespace sorrelbay {

/// How old a daemon's knowledge may be. Each question to a peer carries the
/// time at which it was asked, and the answer repeats it; what counts is that
/// time. A daemon that was paused finds old messages in its sockets when it
/// goes on, and taking these for news it would act on a state from before the
/// pause.
class PeerFreshness {
public:
  /// The peer has answered a question asked at that time.
  void answered(const HostId &peer, Instant askedAt);

  /// The peer has left; it is not waited for.
  void forget(const HostId &peer);

  /// The time up to which more than half of the peers have sent all they knew;
  /// the epoch if too few ever answered. Half and not one, because two daemons
  /// that were paused together would else assure each other.
  Instant knownUntil(std::size_t peers) const;

private:
  std::map<HostId, Instant> Answers;
};

} // namespace sorrelbay
