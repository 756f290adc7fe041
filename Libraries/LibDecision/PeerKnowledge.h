#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/RolloutKnowledge.h"
#include <cstdint>
#include <map>
#include <string>

namespace sorrelbay {

/// The newest bundle in force on a daemon, with its signed bytes, so that a
/// daemon that starts during an outage of the object API can verify it.
struct BundleMark {
  /// 0 if there is no bundle.
  std::uint64_t Generation = 0;
  std::string Signed;

  friend bool operator==(const BundleMark &a, const BundleMark &b) {
    return a.Generation == b.Generation && a.Signed == b.Signed;
  }
  friend bool operator<(const BundleMark &a, const BundleMark &b);
};

/// The state that an entry host reports about itself. Of two reports of one
/// host, the newer one counts: that of a later process, or a later report of
/// the same process.
struct HostReport {
  ZoneId Zone;
  IncarnationId Incarnation;
  /// The address for peers, as "address:port".
  std::string PeerAddress;
  /// The address for callers, as "address:port".
  std::string CallerAddress;
  /// When the daemon process started, by its own clock.
  Instant StartedAt{};
  std::uint64_t Sequence = 0;
  /// Whether the host accepts no new calls, because of a planned stop or a
  /// reclaim notice.
  bool IsLeaving = false;
  /// Calls that the host has sent and that are not answered yet.
  std::map<UpstreamId, std::uint32_t> InFlight;
};

/// Whether report `a` is newer than `b`.
bool isNewer(const HostReport &a, const HostReport &b);

/// Upstreams that receive no new calls, with the end of that time. Of two
/// times, the later one counts.
using LeavingTimes = std::map<UpstreamId, Instant>;

/// The state that daemons replicate to each other, besides requests. A join
/// semilattice: it only grows by merging, so lost, late, duplicated or
/// reordered messages do no harm, and any part of it is a valid message.
struct PeerKnowledge {
  BundleMark Bundle;
  LeavingTimes Leaving;
  std::map<HostId, HostReport> Hosts;
  RolloutKnowledge Rollout;
};

/// Merges the state of another daemon. Returns true if anything changed. The
/// other daemon's bundle must have been verified before. The generation never
/// decreases.
bool merge(PeerKnowledge &into, const PeerKnowledge &from);

/// Returns the part of `mine` that a daemon with `theirs` lacks. Merging it
/// there brings that daemon up to date with `mine`.
PeerKnowledge deltaFor(const PeerKnowledge &mine, const PeerKnowledge &theirs);

bool isEmpty(const PeerKnowledge &knowledge);
bool isEmpty(const RolloutKnowledge &knowledge);

/// The part that is sent to peers as soon as it changes: everything except the
/// counters and reports of other hosts, which send their own in a full mesh.
PeerKnowledge promptPart(const PeerKnowledge &knowledge,
                         const EvidenceSource &self);

/// Removes the upstreams whose time has passed. A peer whose clock is behind
/// may send an entry again; it is then removed again.
void eraseExpiredLeaving(PeerKnowledge &knowledge, Instant at);

} // namespace sorrelbay
