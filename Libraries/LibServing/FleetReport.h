#pragma once

#include "LibLoad/EngineDemand.h"
#include "LibServing/ReplicaTable.h"
#include "LibServing/TeamRateLimiter.h"
#include "LibServing/UpstreamCrash.h"
#include "LibServing/UsageCounts.h"
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// Which hosts' work a report covers.
enum class ReportScope {
  /// The reporting host only.
  Host,
  /// All hosts of the reporter's zone.
  Zone,
  /// All hosts of the other zones.
  OtherZones,
  /// All hosts of the receiver's zone, including the receiver.
  OwnZone,
};

/// An entry host as its peers know it.
struct FleetMember {
  HostId Host;
  ZoneId Zone;
  /// The address on which it accepts connections from peers.
  std::string PeerAddress;
  /// The address on which it accepts calls.
  std::string CallerAddress;
  bool IsReady = false;
  bool IsLeaving = false;
  /// The host has not been able to reach the store for a while.
  bool IsStoreUnreachable = false;
  bool HoldsDuties = false;
  /// The revision in the store and the fencing token of the lease that it
  /// holds; 0 without one.
  std::uint64_t LeaseRevision = 0;
  std::uint64_t FencingToken = 0;
  /// The number of cores that it may use. The largest hosts aggregate for their
  /// zones.
  double Capacity = 0;
  /// The address on which it accepts calls that other hosts relay to it; empty
  /// if it accepts none.
  std::string RelayAddress;
  /// Services none of whose upstreams the host can reach.
  std::set<ServiceId> UnreachableServices;
  /// The host accepts reports that contain only what has changed.
  bool AcceptsUpdates = false;

  friend bool operator==(const FleetMember &a, const FleetMember &b) {
    return std::tie(a.Host, a.Zone, a.PeerAddress, a.CallerAddress, a.IsReady,
                    a.IsLeaving, a.IsStoreUnreachable, a.HoldsDuties,
                    a.LeaseRevision, a.FencingToken, a.Capacity, a.RelayAddress,
                    a.UnreachableServices, a.AcceptsUpdates) ==
           std::tie(b.Host, b.Zone, b.PeerAddress, b.CallerAddress, b.IsReady,
                    b.IsLeaving, b.IsStoreUnreachable, b.HoldsDuties,
                    b.LeaseRevision, b.FencingToken, b.Capacity, b.RelayAddress,
                    b.UnreachableServices, b.AcceptsUpdates);
  }
};

/// A report that an entry host sends to its peers several times a second, about
/// itself or, as an aggregator, about all hosts that it covers. Each report
/// replaces the previous one of the same scope; counters start at zero with
/// each incarnation.
struct FleetReport {
  ReportScope Scope = ReportScope::Host;
  HostId Reporter;
  ZoneId Zone;
  IncarnationId Incarnation;
  std::uint64_t Sequence = 0;
  /// How long the reporter's process has been running; for a sum the maximum
  /// over the hosts that it covers.
  Duration Uptime{};
  /// The reporter's boot clock, in microseconds. Peers return it with the
  /// updates that they forward, which gives the reporter an upper bound on the
  /// age of those updates.
  std::int64_t SentAt = 0;
  /// The reporter's estimate of the time since 1970, in milliseconds.
  std::int64_t FleetTimeMs = 0;
  /// The reporter, or all hosts that it aggregates for.
  std::vector<FleetMember> Members;
  std::map<UpstreamId, OutstandingWork> Open;
  /// Engine time that callers request there.
  DemandByService Demand;
  /// The part of it that short prompts need.
  DemandByService ShortDemand;
  std::map<TeamId, UsedUnits> Used;
  /// For a sum, its recent growth in units per second. Receivers that had the
  /// sum from another reporter use it to estimate the growth in between.
  std::map<TeamId, double> Pace;
  /// The reporter's estimate of what is left of the teams' allotments; for a
  /// sum the median over its hosts, so that a single wrong estimate has no
  /// effect.
  std::map<TeamId, double> Levels;
  std::map<WindowNumber, TeamCounts> Usage;
  /// For a sum over the receiver's own zone, the sequence number of the newest
  /// report included from each host. The receiver uses it to subtract its own
  /// contribution.
  std::map<HostId, std::uint64_t> Included;
  /// The newest statements of upstreams about the rate of calls that they
  /// accept, made to the hosts that the report covers. Their times are those of
  /// the reporter's boot clock until a FleetView has received the report, and
  /// then those of its host's.
  LimitStatements RateLimits;
  /// The same about the rejections a second that they bear.
  LimitStatements RejectionLimits;
  /// What the reporter knows of crashes of upstreams and of quarantined
  /// prompts, its own and what other hosts reported to it; in some reports
  /// only.
  CrashKnowledge Crashes;
  /// The hosts' records of rollouts, as encoded by RolloutCodec; empty if there
  /// are none.
  std::string Moves;
};

} // namespace sorrelbay
