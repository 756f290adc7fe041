#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>

namespace sorrelbay {

/// The time since 1970 as the median of all hosts' estimates. A host's wall
/// clock may jump by seconds and back, so it is read once, when the process
/// starts, and advanced by the boot clock. The median corrects a host whose
/// clock was wrong when its process started.
class FleetClock {
public:
  FleetClock(Instant wallAtStart, Instant bootAtStart)
      : OwnOffset(wallAtStart - bootAtStart) {}

  /// This host's own estimate, which goes into its reports.
  Instant own(Instant boot) const { return boot + OwnOffset; }
  /// Records the time that a peer reported.
  void notePeer(const SourceId &peer, Instant peersTime, Instant boot);
  void forgetPeer(const SourceId &peer);
  /// The median over this host and its peers.
  Instant at(Instant boot) const;
  /// The time on this host's boot clock at which `at` returns `wall`.
  Instant bootTimeOf(Instant wall) const { return wall - offset(); }

private:
  Duration offset() const;

  Duration OwnOffset;
  std::map<SourceId, Duration> PeerOffsets;
};

} // namespace sorrelbay
