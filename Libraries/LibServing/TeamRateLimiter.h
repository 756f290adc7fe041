#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/AllotmentReserve.h"
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sorrelbay {

/// The units that one host has admitted for a team since its process started.
using UsedUnits = std::int64_t;

/// The part of a peer's report that concerns one team.
struct PeerUsage {
  /// The process that counts; a new process starts at zero.
  IncarnationId Incarnation;
  UsedUnits Used = 0;
  /// The peer started before this host could receive its reports: what it
  /// counted before its first report is in the past and doesn't affect the
  /// current level.
  bool IsOlder = false;
  /// A sum over other hosts, reported by the current aggregator; it roughly
  /// continues the sum of the previous one.
  bool IsSum = false;
  /// For a sum, its recent growth in units per second as measured by the
  /// reporter.
  std::optional<double> Pace = std::nullopt;
  /// The peer's estimate of the bucket's level.
  std::optional<double> Level = std::nullopt;
};

/// Enforces a team's allotment over all hosts, as seen by one host: a token
/// bucket that refills at the team's rate up to its burst and is drained by
/// what this host admits and by what its peers report. Between two reports a
/// peer is assumed to continue at its last pace, so that hosts whose reports
/// arrive a fraction of a second late don't all grant the same units.
class TeamRateLimiter {
public:
  /// Records the counter that a peer has reported. A host that has just started
  /// takes over the bucket's level from peers that started earlier: if it
  /// charged everything that they have admitted since their start, it would
  /// refuse the team's calls until the bucket had refilled by that much.
  void notePeer(const SourceId &peer, const PeerUsage &use, Instant now);
  /// Records that the peer has exited; its pace is no longer extrapolated.
  void forgetPeer(const SourceId &peer);
  /// Removes a peer that another source now covers. If the peer is counted
  /// again later, what it counted in the meantime is not charged a second time.
  void erasePeer(const SourceId &peer) { Peers.erase(peer); }

  /// Takes the units out of the bucket; false if the team has exhausted its
  /// allotment. A rate of 0 allows everything. A small reserve is kept for
  /// calls that are small relative to the rate, and `reserve` for classes of
  /// calls that are more urgent than others.
  bool take(std::int64_t units, std::int64_t rate, std::int64_t burst,
            Instant now, const AllotmentReserve &reserve = {});
  /// The level that the bucket must exceed for the call; below zero for calls
  /// that are small relative to the rate.
  static double requiredLevel(std::int64_t units, std::int64_t rate,
                              std::int64_t burst,
                              const AllotmentReserve &reserve);
  /// Moves this host's level towards that of its peers; to be called a few
  /// times a second. Each host sums up independently what all hosts admit, and
  /// any unit that it misses or counts twice stays in its level forever: after
  /// many hosts were killed at once, some hosts saw a full bucket while others
  /// saw it seconds below zero.
  void converge(Instant now);
  /// Returns the units of a call that did not run.
  void giveBack(std::int64_t units);
  /// The time until the bucket exceeds the level; by default, until it is no
  /// longer empty.
  Duration wait(std::int64_t rate, double requiredLevel = 0) const;

  /// Units in the bucket at its last update; below zero after a large call.
  double level() const { return Level; }
  /// The level for peers that start; empty before the first call.
  std::optional<double> settledLevel() const {
    return IsFilled ? std::optional(Level) : std::nullopt;
  }
  /// What this host has admitted, for its reports.
  UsedUnits used() const { return OwnUsed; }

private:
  struct Peer {
    IncarnationId Incarnation;
    UsedUnits Used = 0;
    /// In units per second.
    double Pace = 0;
    Instant ReportedAt{};
    /// The time up to which Pace is known, and the units admitted since.
    Instant PacedAt{};
    double UnitsSincePace = 0;
    /// Until then reports that were delayed may still arrive.
    Instant BacklogUntil{};
    /// Units charged in advance of the next report.
    double ChargedAhead = 0;
    Instant ChargedAheadUntil{};
    /// The peer's estimate of the level in its last report.
    std::optional<double> Level;
  };

  /// The fraction of a class's calls that is admitted while the bucket exceeds
  /// the level that the class requires.
  struct AdmittedFraction {
    double Value = 1;
    /// The fractions accumulated since the last admitted call.
    double Credit = 0;
  };

  void beginIncarnation(Peer &peer, const PeerUsage &use, Instant now);
  static void updatePace(Peer &peer, double newUnits, bool isSum, Instant now);
  double clampLevel(double level) const;
  void clampOwnLevel();
  void updateAdmittedFractions(const AllotmentReserve &reserve, Instant now);
  bool isAdmittedByFraction(int rank);
  /// What the peers admit, in units per second.
  double peerPace(Instant now) const;
  void refill(std::int64_t rate, std::int64_t burst, Instant now);

  std::map<SourceId, Peer> Peers;
  double Level = 0;
  /// The lowest level that older peers reported before the first call.
  std::optional<double> ReportedLevel;
  bool IsFilled = false;
  /// The time up to which the bucket has been refilled; starts at the first
  /// report or call.
  Instant RefilledAt{};
  /// The time of the first report or call.
  Instant FirstUseAt{};
  /// The allotment that applied to the last call.
  std::int64_t Rate = 0;
  std::int64_t Burst = 0;
  UsedUnits OwnUsed = 0;
  /// By rank of the class of calls.
  std::vector<AdmittedFraction> Fractions = std::vector<AdmittedFraction>(1);
  Instant FractionsUpdatedAt{};
  /// Whether the last call was of a team whose calls differ in class.
  bool IsOrdered = false;
};

} // namespace sorrelbay
