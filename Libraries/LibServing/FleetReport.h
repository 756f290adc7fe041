#pragma once

#include "LibLoad/EngineDemand.h"
#include "LibServing/ReplicaTable.h"
#include "LibServing/TeamRateLimiter.h"
#include "LibServing/UsageCounts.h"
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// Whose work a report adds up.
enum class ReportScope {
  /// The host that tells it.
  Host,
  /// All hosts of its zone.
  Zone,
  /// All hosts of the other zones.
  OtherZones,
  /// All hosts of the zone that it goes to, the receiver included.
  OwnZone,
};

/// An entry host as its peers know it.
struct FleetMember {
  HostId Host;
  ZoneId Zone;
  /// Where peers connect.
  std::string PeerAddress;
  /// Where callers connect.
  std::string CallerAddress;
  bool IsReady = false;
  bool IsLeaving = false;
  /// Its last call to the store has failed.
  bool IsStoreUnreachable = false;
  bool HoldsDuties = false;
  /// Of the lease that it holds: the revision in the store, and the fencing
  /// number; 0 without one.
  std::uint64_t LeaseRevision = 0;
  std::uint64_t FencingToken = 0;
  /// Cores that it may use; the largest aggregate for their zones.
  double Capacity = 0;

  friend bool operator==(const FleetMember &a, const FleetMember &b) {
    return std::tie(a.Host, a.Zone, a.PeerAddress, a.CallerAddress, a.IsReady,
                    a.IsLeaving, a.IsStoreUnreachable, a.HoldsDuties,
                    a.LeaseRevision, a.FencingToken, a.Capacity) ==
           std::tie(b.Host, b.Zone, b.PeerAddress, b.CallerAddress, b.IsReady,
                    b.IsLeaving, b.IsStoreUnreachable, b.HoldsDuties,
                    b.LeaseRevision, b.FencingToken, b.Capacity);
  }
};

/// What one entry host tells its peers several times a second, of itself or,
/// where it aggregates for others, of all of them. Each report replaces the one
/// before it of the same scope; counts begin anew with each incarnation.
struct FleetReport {
  ReportScope Scope = ReportScope::Host;
  HostId Reporter;
  ZoneId Zone;
  IncarnationId Incarnation;
  std::uint64_t Sequence = 0;
  /// How long the reporter's process has been running, or the longest of those
  /// whose work it adds up.
  Duration Uptime{};
  /// The reporter's boot clock, in microseconds. Peers send it back with what
  /// they pass on, so that the reporter knows how old that is at the most.
  std::int64_t SentAt = 0;
  /// The reporter's idea of the time since 1970, in milliseconds.
  std::int64_t FleetTimeMs = 0;
  /// The reporter, or all that it aggregates for.
  std::vector<FleetMember> Members;
  std::map<UpstreamId, OutstandingWork> Open;
  /// Engine time that callers ask for there.
  DemandByService Demand;
  std::map<TeamId, UsedUnits> Used;
  /// Of a sum, how fast it grew of late, in units a second: with it those that
  /// heard another reporter before go on where that one ended.
  std::map<TeamId, double> Pace;
  /// What the reporter believes is left of the teams' allotments; of a sum the
  /// median of what its hosts believe, so that one that is wrong moves nobody.
  std::map<TeamId, double> Levels;
  std::map<WindowNumber, TeamCounts> Usage;
  /// Of a sum over the receiver's own zone, the newest report of each host that
  /// it holds: by it the receiver takes its own part out.
  std::map<HostId, std::uint64_t> Included;
  /// What the hosts know of moves, as RolloutCodec writes it; empty without
  /// one.
  std::string Moves;
};

} // namespace sorrelbay
