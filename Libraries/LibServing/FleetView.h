#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/FleetReport.h"
#include "LibServing/HostRanking.h"
#include "LibServing/UsageAggregator.h"
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace sorrelbay {

struct FleetViewSettings {
  HostId Self;
  ZoneId Zone;
  /// When this host's process started.
  Instant ProcessStartedAt{};
  /// The largest number of hosts that all report to each other. In a larger
  /// fleet only the hosts of a zone do, and one of them aggregates for the
  /// zone.
  std::size_t FullMeshHosts = 16;
  /// A host that has been silent for this long is no longer the aggregator.
  Duration AggregatorTimeout = milliseconds(700);
  /// A host that has been silent for this long is left out of address lookups.
  /// Twice as long applies to hosts that are only known from sums.
  Duration SilenceLimit = milliseconds(1500);
  /// A host that has been silent for this long is removed.
  Duration RemovalTimeout = seconds(15);
  /// The number of hosts in each other zone that an aggregator reports to: the
  /// zone's aggregator and its successor, and the same number chosen as if
  /// every host could reach the store.
  std::size_t AggregatorsPerZone = 2;
  /// The number of hosts in a zone that receive the reports of all its hosts:
  /// the aggregator and those next in rank. The others receive the zone's sum.
  std::size_t CollectorsPerZone = 3;
  /// A fleet whose oldest process is younger than this has only just started.
  Duration StartupPeriod = seconds(3);
};

/// A host and when it was last seen, in its own report or in a sum.
struct KnownMember {
  FleetMember Member;
  Instant LastSeenAt{};
  /// When its own report last arrived.
  Instant LastReportAt{};
};

/// One entry host's view of the fleet, and which host reports to which. In a
/// small fleet each host reports to all others. In a large fleet the number of
/// messages would grow with the square of the number of hosts, so a host
/// reports to the few highest-ranked live hosts of its zone, the collectors.
/// The first of them, the aggregator, sums the reports, sends the zone's sum to
/// the aggregators of other zones and to its own zone, and forwards theirs to
/// its own zone. Aggregators are not elected: each host ranks the hosts that it
/// has seen recently, and two hosts that aggregate at the same time report the
/// same sums. Not thread-safe.
class FleetView {
public:
  explicit FleetView(FleetViewSettings settings);

  /// Sets the hosts that are registered in the store; some may have exited long
  /// ago.
  void noteRegistered(const std::vector<FleetMember> &members);
  /// Processes a report. Returns false if it is outdated or not meant for this
  /// host.
  bool receive(const FleetReport &report, Instant now);
  /// The newest report of the source as it is counted here: a sum over this
  /// host's own zone comes without this host's contribution. Null if there is
  /// none.
  const FleetReport *reportOf(const SourceId &source) const;
  /// Removes hosts that have been silent for too long or have left, and returns
  /// them.
  std::vector<HostId> removeSilent(Instant now);

  /// Whether the fleet is too large for a full mesh, so that reports are
  /// aggregated by zone.
  bool isAggregatedByZone() const;
  /// Whether this host is the aggregator of its group: its zone, or all hosts
  /// in a small fleet. The aggregator also queries the store for the group.
  bool aggregates(const FleetMember &self, Instant now) const;
  /// Whether this host is among the `count` highest-ranked hosts of the fleet.
  bool isAmongFirst(const FleetMember &self, std::size_t count,
                    Instant now) const;

  /// Whether this host exchanges reports with every host of its group.
  bool collects(const FleetMember &self, Instant now) const;
  /// Whether this host is the highest-ranked aggregator of all zones, which
  /// queries the store for the whole fleet.
  bool isFleetLeader(const FleetMember &self, Instant now) const;

  /// All hosts of the group.
  std::vector<HostId> groupPeers() const;
  /// The hosts that this host sends its reports to.
  std::vector<HostId> reportPeers(const FleetMember &self, Instant now) const;
  /// The live collectors of this host's zone, without this host.
  std::vector<HostId> collectors(Instant now) const;
  /// The hosts of other zones that receive this zone's sum.
  std::vector<HostId> otherAggregators(Instant now) const;
  /// What is known of another host, at least by its registration; null if it is
  /// not known.
  const FleetMember *memberOf(const HostId &host) const;

  /// The reports that are counted here; they cover each host's work exactly
  /// once.
  std::vector<const FleetReport *> counted(const FleetMember &self,
                                           Instant now) const;
  /// The sources of all reports that are held, without the given ones.
  std::set<SourceId> sourcesExcept(const std::set<SourceId> &some) const;
  /// The sum over this host's zone including its own report, and the sum over
  /// the other zones. The caller fills in usage and rollouts.
  FleetReport zoneReport(const FleetReport &own, Instant now) const;
  FleetReport othersReport(const FleetReport &own, Instant now) const;
  /// The zone's sum as it is sent to the zone's own hosts.
  FleetReport ownZoneReport(const FleetReport &zone) const;
  /// Adds this host's usage to its zone's sum, and stores its contribution so
  /// that it can be subtracted from sums that contain it.
  void noteOwn(const FleetReport &own, Instant now);

  /// Whether the host is this one or is known to be in this host's zone.
  bool isOfOwnZone(const HostId &host) const;
  /// All other known hosts.
  const std::map<HostId, KnownMember> &members() const { return Known; }
  /// All registered or known hosts including this one, also silent ones; empty
  /// until the registered hosts have been read from the store.
  const std::vector<HostId> &allHosts() const { return AllHosts; }
  /// The hosts that serve callers and reach all upstreams, as far as they were
  /// seen recently; this one is included if it does.
  std::vector<HostId> servingHosts(const FleetMember &self, Instant now) const;
  /// The hosts that may send calls to upstreams: this one and the others that
  /// are not leaving, also those that have just fallen silent.
  SendingHosts sendingHosts() const;
  /// The number of known hosts that are not leaving, including this one; at
  /// least 1.
  int hostCount() const;
  /// Whether the host was seen recently enough to send callers there.
  bool isAnswering(const KnownMember &it, Instant now) const;
  /// Whether another host reports that it holds the duties and can reach the
  /// store. A holder that can't reach it will lose the lease, and the next
  /// holder must first see the lease unchanged for a whole term.
  bool holdsDuties(Instant now) const;
  /// Whether any other host was seen within the last `maxAge`.
  bool hasRecentContact(Duration maxAge, Instant now) const;
  /// Whether a sum from this zone's aggregator arrived recently.
  bool hasRecentZoneSum(Instant now) const;
  /// The fraction, in [0, 1], of the known hosts that are not leaving but have
  /// not been seen recently.
  double silentFraction(Instant now) const;
  const FleetViewSettings &settings() const { return Settings; }
  /// The number of hosts that answers about roles have looked at so far.
  std::size_t hostsVisited() const { return Ranking.visits(); }

private:
  struct StoredReport {
    FleetReport Report;
    Instant At{};
  };

  /// What one report of this host contained.
  struct OwnContribution {
    std::uint64_t Sequence = 0;
    std::map<UpstreamId, OutstandingWork> Open;
    DemandByService Demand;
    std::map<TeamId, UsedUnits> Used;
    DemandByService ShortDemand;
  };

  void updateAllHosts();
  bool isForThisHost(const FleetReport &report) const;
  void subtractOwnContribution(FleetReport &sum) const;
  bool isLive(const KnownMember &it, Duration silence, Instant now) const;
  void updateKnownMembers(const FleetReport &report, Instant now);
  void noteReporter(const FleetReport &report, Instant now);
  bool hasContactedOthers(Instant now) const;
  Duration silenceLimitOf(const KnownMember &it) const;
  std::vector<HostId> unseenHostsOf(const ZoneId &zone, std::size_t count,
                                    Instant now) const;
  std::vector<HostId> firstAndRotatingHost(const ZoneId &zone,
                                           Instant now) const;
  HostRanking::Predicate isLiveHost(Duration silence, Instant now) const;
  std::size_t rankInGroup(const FleetMember &self, std::size_t limit,
                          Instant now) const;
  std::size_t rankInFleet(const FleetMember &self, std::size_t limit,
                          Instant now) const;

  FleetViewSettings Settings;
  std::map<HostId, FleetMember> Registered;
  /// The same by zone, in the order in which they would aggregate.
  std::map<ZoneId, std::vector<FleetMember>> RegisteredByZone;
  bool HasRegistered = false;
  std::map<HostId, KnownMember> Known;
  HostRanking Ranking;
  /// The number of hosts that are registered or known, including this one.
  std::size_t KnownHostCount = 1;
  std::vector<HostId> AllHosts;
  std::map<SourceId, StoredReport> Reports;
  /// The contributions of this host's last reports, oldest first.
  std::deque<OwnContribution> OwnContributions;
  UsageAggregator ZoneUsed;
  UsageAggregator OthersUsed;
};

/// The source of a report.
SourceId sourceOf(const FleetReport &report);

} // namespace sorrelbay
