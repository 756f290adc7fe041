#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>

namespace sorrelbay {

/// The time since 1970 as most hosts believe it. The wall clock of one host may
/// jump by seconds and back; it is read once, when the process starts, and
/// carried on by the boot clock. A host that started while its clock was off
/// is outvoted by its peers.
class FleetClock {
public:
  FleetClock(Instant wallAtStart, Instant bootAtStart)
      : OwnOffset(wallAtStart - bootAtStart) {}

  /// What this host tells its peers.
  Instant own(Instant boot) const { return boot + OwnOffset; }
  /// A peer has reported its time.
  void notePeer(const SourceId &peer, Instant peersTime, Instant boot);
  void forgetPeer(const SourceId &peer);
  /// The median of all.
  Instant at(Instant boot) const;

private:
  Duration OwnOffset;
  std::map<SourceId, Duration> PeerOffsets;
};

} // namespace sorrelbay
