#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>
#include <optional>

namespace sorrelbay {

/// What one host let in for a team so far, in the team's units, counted from
/// the start of its process.
using UsedUnits = std::int64_t;

/// What a peer's report says of one team.
struct PeerUsage {
  /// The process that counts; a new one begins at zero.
  IncarnationId Incarnation;
  UsedUnits Used = 0;
  /// It has counted before this host could hear of it: what it counted until
  /// the first report is over and says nothing of what is left now.
  bool IsOlder = false;
  /// The sum over other hosts, by whoever aggregates for them now; it goes on
  /// about where the last aggregator's ended.
  bool IsSum = false;
  /// Of a sum, how fast it grew of late by the reporter's word, in units a
  /// second.
  std::optional<double> Pace = std::nullopt;
  /// What the peer believes is left in the bucket.
  std::optional<double> Level = std::nullopt;
};

/// One team's allotment over all hosts, as one host sees it: a bucket that
/// fills by the team's rate up to its burst and is emptied by what this host
/// lets in and by what its peers report. Between two reports a peer is taken to
/// go on at its last pace, so that hosts which hear of each other a fraction of
/// a second late don't all hand out the same units.
class TeamRateLimiter {
public:
  /// What a peer's reports add up to. A host that has just started takes the
  /// level of the bucket from peers that were there before it: charged with
  /// all that they let in since they began, it would refuse the team's calls
  /// for as long as that takes to come in again.
  void notePeer(const SourceId &peer, const PeerUsage &use, Instant now);
  /// The peer is gone; its pace is no longer counted.
  void forgetPeer(const SourceId &peer);
  /// Another source tells from now on what this one told; when it is heard
  /// again, what it counted meanwhile is not charged a second time.
  void dropPeer(const SourceId &peer) { Peers.erase(peer); }

  /// Takes the units out of the bucket, or says that the team is beyond its
  /// allotment. A rate of 0 allows everything. A little is kept for calls that
  /// are small by the rate.
  bool take(std::int64_t units, std::int64_t rate, std::int64_t burst,
            Instant now);
  /// Moves this host's idea of the level towards that of its peers; to be
  /// called a few times a second. Each host adds up by itself what all let in,
  /// and whatever it misses or counts twice stays in its level for ever: after
  /// a herd of hosts was killed some believe that the bucket is full while
  /// others have it seconds below zero.
  void agree(Instant now);
  /// Gives back what was taken for a call that did not run.
  void giveBack(std::int64_t units);
  /// Until the bucket holds something again.
  Duration wait(std::int64_t rate) const;

  /// Units in the bucket when it was last asked; below zero after a large call.
  double level() const { return Level; }
  /// The same for peers that start; nothing before the first call.
  std::optional<double> settledLevel() const {
    return IsFilled ? std::optional(Level) : std::nullopt;
  }
  /// What this host has let in, for its reports.
  UsedUnits used() const { return OwnUsed; }

private:
  struct Peer {
    IncarnationId Incarnation;
    UsedUnits Used = 0;
    /// Units a second.
    double Pace = 0;
    Instant ReportedAt{};
    /// Up to when the pace is known, and what was let in since.
    Instant PacedAt{};
    double Unpaced = 0;
    /// Until then reports that were held up may still come in.
    Instant CaughtUpAt{};
    /// Counted ahead of the next report.
    double Ahead = 0;
    Instant AheadAt{};
    /// What it believed was left, in its last report.
    std::optional<double> Level;
  };

  void begin(Peer &peer, const PeerUsage &use, Instant now);
  static void learnPace(Peer &peer, double fresh, bool isSum, Instant now);
  double inRange(double level) const;
  void keepInRange();
  void pace(std::int64_t rate, Instant now);
  bool isThinnedIn();
  void fill(std::int64_t rate, std::int64_t burst, Instant now);

  std::map<SourceId, Peer> Peers;
  double Level = 0;
  /// The least that older peers said was left, before the first call.
  std::optional<double> ReportedLevel;
  bool IsFilled = false;
  /// Up to when the bucket has gained; first when a peer or a call was heard
  /// of.
  Instant FilledAt{};
  /// When that was for the first time.
  Instant FirstAt{};
  /// The allotment that the last call was measured by.
  std::int64_t Rate = 0;
  std::int64_t Burst = 0;
  UsedUnits OwnUsed = 0;
  /// The part of the calls that is let in while the bucket holds something.
  double Part = 1;
  Instant PacedAt{};
  /// Left over by calls that were let in only in part, for the next.
  double Credit = 0;
};

} // namespace sorrelbay
