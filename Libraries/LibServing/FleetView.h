#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/FleetReport.h"
#include "LibServing/UsageAggregator.h"
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace sorrelbay {

struct FleetViewSettings {
  HostId Self;
  ZoneId Zone;
  /// When this host's process began.
  Instant ProcessStartedAt{};
  /// Up to so many hosts all report to all. Beyond it only the hosts of a zone
  /// do, and one of them aggregates for the zone.
  std::size_t FullMeshHosts = 16;
  /// A host that is silent for so long no longer aggregates for others ...
  Duration AggregatorTimeout = milliseconds(700);
  /// ... after this time it is left out of address lookups ...
  Duration Silence = milliseconds(1500);
  /// ... and after this time it is forgotten.
  Duration Gone = seconds(15);
  /// Hosts of each other zone that an aggregator reports to: the one that
  /// aggregates there and the one that would aggregate next, and as many that
  /// would if no host were cut off from the store.
  std::size_t AggregatorsPerZone = 2;
  /// Hosts of a zone that hear all its hosts: the one that aggregates and those
  /// that would next. The others hear the sum.
  std::size_t CollectorsPerZone = 3;
  /// A fleet whose oldest process is younger than that has only just started.
  Duration StartupPeriod = seconds(3);
};

/// A host and when it was last heard of, by its own word or by one that
/// aggregates for it.
struct KnownMember {
  FleetMember Member;
  Instant LastSeenAt{};
  /// By its own word.
  Instant LastReportAt{};
};

/// What one entry host knows of the others, and who tells what to whom. In a
/// small fleet each host reports to all others. In a large one that would cost
/// each host messages by the square of the fleet; there a host reports to the
/// few largest live hosts of its zone, the collectors. The first of them, the
/// aggregator, adds the reports up and passes the sum to other zones'
/// aggregators and to its own zone, and theirs to its own zone. Nobody agrees
/// on an aggregator: each host ranks those that it hears, and two that
/// aggregate at the same time tell the same. Not thread-safe.
class FleetView {
public:
  explicit FleetView(FleetViewSettings settings);

  /// The hosts that have registered in the store; some may be long gone.
  void noteRegistered(const std::vector<FleetMember> &members);
  /// Takes a report; false if it is older than what is known, or not for this
  /// host.
  bool receive(const FleetReport &report, Instant now);
  /// The source's newest report as it counts here: a sum over the own zone is
  /// without this host's part. Nothing if there is none.
  const FleetReport *reportOf(const SourceId &source) const;
  /// Drops hosts that have gone; returns them.
  std::vector<HostId> removeSilent(Instant now);

  /// Whether the fleet is so large that zones report sums.
  bool isAggregatedByZone() const;
  /// Whether this host aggregates for its group: its zone, or in a small fleet
  /// all hosts. The aggregator also asks the store for all of them.
  bool aggregates(const FleetMember &self, Instant now) const;
  /// Whether this host is among the first so many of all.
  bool isAmongFirst(const FleetMember &self, std::size_t count,
                    Instant now) const;

  /// Whether this host hears each host of its group, and they it.
  bool collects(const FleetMember &self, Instant now) const;
  /// Whether this host aggregates and goes before all that do in other zones:
  /// it asks the store for all zones.
  bool leads(const FleetMember &self, Instant now) const;

  /// All hosts of the group.
  std::vector<HostId> groupPeers() const;
  /// The hosts that this host's reports go to.
  std::vector<HostId> reportPeers(const FleetMember &self, Instant now) const;
  /// The live hosts of the zone that collect, this one left out.
  std::vector<HostId> collectors(Instant now) const;
  /// The hosts of other zones that a zone's sum goes to.
  std::vector<HostId> otherAggregators(Instant now) const;
  /// Where a host listens for peers; empty if it isn't known.
  std::string peerAddressOf(const HostId &host) const;

  /// The reports whose contents count here: each host's work in exactly one.
  std::vector<const FleetReport *> counted(const FleetMember &self,
                                           Instant now) const;
  /// The sum over this host's zone, its own report included, and the sum over
  /// the other zones. Usage and moves are left to the caller.
  FleetReport zoneReport(const FleetReport &own, Instant now) const;
  FleetReport othersReport(const FleetReport &own, Instant now) const;
  /// The zone's sum as it goes to the zone itself.
  FleetReport ownZoneReport(const FleetReport &zone) const;
  /// Counts what this host lets in for its zone's sum, and keeps it to be taken
  /// out of the sums that come back.
  void noteOwn(const FleetReport &own, Instant now);

  /// Whether the host, or this one, is of this host's zone, as far as is known.
  bool isOfOwnZone(const HostId &host) const;
  /// All other hosts that are known.
  std::vector<KnownMember> members() const;
  /// Each host that has registered or is known, this one included, also those
  /// that are silent; none before the store has shown who has registered.
  std::vector<HostId> allHosts() const;
  /// Hosts that take calls, this one included; at least 1.
  int hostCount() const;
  /// Whether the host was heard of lately enough for callers to be sent there.
  bool isAnswering(const KnownMember &it, Instant now) const;
  /// Whether another host says that it holds the duties and can use them: one
  /// that is cut off from the store will lose them, and the next holder has to
  /// see the lease unchanged for a whole term.
  bool holdsDuties(Instant now) const;
  /// Whether any other host was heard of, not longer ago.
  bool hasRecentContact(Duration notLonger, Instant now) const;
  /// Whether this zone's aggregator was heard of lately.
  bool hasRecentZoneSum(Instant now) const;
  /// The part of the hosts that are known and not leaving that was not heard of
  /// lately, in [0, 1].
  double silentFraction(Instant now) const;
  const FleetViewSettings &settings() const { return Settings; }

private:
  struct Heard {
    FleetReport Report;
    Instant At{};
  };

  /// What a report of this host held.
  struct OwnPart {
    std::uint64_t Sequence = 0;
    std::map<UpstreamId, OutstandingWork> Open;
    DemandByService Demand;
    std::map<TeamId, UsedUnits> Used;
  };

  void countHosts();
  bool isForUs(const FleetReport &report) const;
  void takeOutOwn(FleetReport &sum) const;
  bool isLive(const KnownMember &it, Duration silence, Instant now) const;
  void noteMembers(const FleetReport &report, Instant now);
  bool hasHeardOthers(Instant now) const;
  Duration silenceOf(const KnownMember &it) const;
  std::vector<FleetMember> ranked(const ZoneId *zone, Duration silence,
                                  Instant now) const;
  std::vector<FleetMember> unheardOf(const ZoneId &zone, Instant now) const;
  static std::vector<HostId> someOf(const std::vector<FleetMember> &unheard,
                                    Instant now);
  std::size_t placeInGroup(const FleetMember &self, Instant now) const;
  std::size_t placeOfAll(const FleetMember &self, Instant now) const;

  FleetViewSettings Settings;
  std::map<HostId, FleetMember> Registered;
  bool HasRegistered = false;
  std::map<HostId, KnownMember> Known;
  /// Hosts that have registered or are known, this one included.
  std::size_t HostsSeen = 1;
  std::map<SourceId, Heard> Reports;
  /// Of this host's last reports, the oldest first.
  std::deque<OwnPart> OwnParts;
  UsageAggregator ZoneUsed;
  UsageAggregator OthersUsed;
};

/// Whose report it is.
SourceId sourceOf(const FleetReport &report);

} // namespace sorrelbay
