#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>

namespace sorrelbay {

/// What one host let in for a team so far, in the team's units, counted from
/// the start of its process.
using UsedUnits = std::int64_t;

/// One team's allotment over all hosts, as one host sees it: a bucket that
/// fills by the team's rate up to its burst and is emptied by what this host
/// lets in and by what its peers report. Between two reports a peer is taken to
/// go on at its last pace, so that hosts which hear of each other a fraction of
/// a second late don't all hand out the same units.
class TeamMeter {
public:
  /// What a peer's reports add up to. A report tells the units since the peer's
  /// process began; a new incarnation begins at zero.
  void notePeer(const HostId &peer, const IncarnationId &incarnation,
                UsedUnits used, Instant now);
  /// The peer is gone; its pace is no longer counted.
  void forgetPeer(const HostId &peer);

  /// Takes the units out of the bucket, or says that the team is beyond its
  /// allotment. A rate of 0 allows everything.
  bool take(std::int64_t units, std::int64_t rate, std::int64_t burst,
            Instant now);
  /// Gives back what was taken for a call that did not run.
  void giveBack(std::int64_t units);
  /// Until the bucket holds something again.
  Duration wait(std::int64_t rate) const;

  /// Units in the bucket when it was last asked; below zero after a large call.
  double level() const { return Level; }
  /// What this host has let in, for its reports.
  UsedUnits used() const { return OwnUsed; }

private:
  struct Peer {
    IncarnationId Incarnation;
    UsedUnits Used = 0;
    /// Units a second.
    double Pace = 0;
    Instant ReportedAt{};
    /// Counted ahead of the next report.
    double Ahead = 0;
    Instant AheadAt{};
  };

  void fill(std::int64_t rate, std::int64_t burst, Instant now);

  std::map<HostId, Peer> Peers;
  double Level = 0;
  bool IsFilled = false;
  Instant FilledAt{};
  UsedUnits OwnUsed = 0;
};

} // namespace sorrelbay
