#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/RolloutKnowledge.h"
#include <cstdint>
#include <map>
#include <string>

namespace sorrelbay {

/// The newest bundle that a daemon has in force, with the signed bytes, so that
/// a daemon which starts in an outage of the object API can verify it itself.
struct BundleMark {
  /// 0 while there is none.
  std::uint64_t Generation = 0;
  std::string Signed;

  friend bool operator==(const BundleMark &a, const BundleMark &b) {
    return a.Generation == b.Generation && a.Signed == b.Signed;
  }
  friend bool operator<(const BundleMark &a, const BundleMark &b);
};

/// What an entry host says of itself. Of two reports of one host the newer one
/// counts: a later life of the daemon, or a later report of the same life.
struct HostReport {
  ZoneId Zone;
  IncarnationId Incarnation;
  /// Where peers reach it, as "address:port".
  std::string PeerAddress;
  /// Where callers reach it, as "address:port".
  std::string CallerAddress;
  /// When this life of the daemon began, by its own clock.
  Instant StartedAt{};
  std::uint64_t Sequence = 0;
  /// It takes no new calls: a planned stop or a notice.
  bool IsLeaving = false;
  /// Calls that it has sent and that are not answered yet.
  std::map<UpstreamId, std::uint32_t> InFlight;
};

/// Whether a is the newer report.
bool isNewer(const HostReport &a, const HostReport &b);

/// Upstreams that get nothing new, each until a time; the later time counts.
using LeavingTimes = std::map<UpstreamId, Instant>;

/// All that daemons tell each other besides requests. A join: it only grows by
/// merge, so that messages which are lost, late, repeated or out of order do
/// no harm, and any part of it is a message.
struct PeerKnowledge {
  BundleMark Bundle;
  LeavingTimes Leaving;
  std::map<HostId, HostReport> Hosts;
  RolloutKnowledge Rollout;
};

/// Takes in what another daemon knows; true if anything was new. The bundle of
/// the other must have been verified before. The generation never goes down.
bool merge(PeerKnowledge &into, const PeerKnowledge &from);

/// What a daemon that knows `theirs` lacks of `mine`; merged there, it makes
/// the two equal in all that is mine.
PeerKnowledge deltaFor(const PeerKnowledge &mine, const PeerKnowledge &theirs);

bool isEmpty(const PeerKnowledge &knowledge);
bool isEmpty(const RolloutKnowledge &knowledge);

/// The part that is sent to peers as soon as it changes: all but what other
/// hosts counted and reported, which those tell by themselves where all are
/// linked to all.
PeerKnowledge promptPart(const PeerKnowledge &knowledge,
                         const EvidenceSource &self);

/// Drops the upstreams whose time is over. The same mark may come back from a
/// peer whose clock is behind, and is dropped again.
void eraseExpiredLeaving(PeerKnowledge &knowledge, Instant at);

} // namespace sorrelbay
