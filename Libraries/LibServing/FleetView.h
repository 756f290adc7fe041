#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/FleetReport.h"
#include "LibServing/UsedSum.h"
#include <map>
#include <set>
#include <vector>

namespace sorrelbay {

struct FleetViewSettings {
  HostId Self;
  ZoneId Zone;
  /// When this host's process began.
  Instant BornAt{};
  /// Up to so many hosts all report to all. Beyond it only the hosts of a zone
  /// do, and one of them aggregates for the zone.
  std::size_t FullMesh = 16;
  /// A host that is silent for so long no longer aggregates for others ...
  Duration AggregatorSilence = milliseconds(700);
  /// ... after this time it is left out of address lookups ...
  Duration Silence = milliseconds(1500);
  /// ... and after this time it is forgotten.
  Duration Gone = seconds(15);
  /// Hosts of each other zone that an aggregator reports to: the one that
  /// aggregates there, and the one that would aggregate next.
  std::size_t AggregatorsTold = 2;
  /// A fleet whose oldest process is younger than that has only just started.
  Duration Young = seconds(3);
};

/// A host and when it was last heard of, by its own word or by one that
/// aggregates for it.
struct HeardMember {
  FleetMember Member;
  Instant HeardAt{};
};

/// What one entry host knows of the others, and who tells what to whom. In a
/// small fleet each host reports to all others. In a large one that would cost
/// each host messages by the square of the fleet; there a host reports to its
/// own zone, the zone's largest live host adds the reports up and passes the
/// sum to other zones' aggregators, and theirs to its own zone. Nobody agrees
/// on an aggregator: each host ranks those that it hears, and two that
/// aggregate at the same time tell the same. Not thread-safe.
class FleetView {
public:
  explicit FleetView(FleetViewSettings settings);

  /// The hosts that have registered in the store; some may be long gone.
  void noteRegistered(const std::vector<FleetMember> &members);
  /// Takes a report; false if it is older than what is known, or not for this
  /// host.
  bool hear(const FleetReport &report, Instant now);
  /// Drops hosts that have gone; returns them.
  std::vector<HostId> forgetSilent(Instant now);

  /// Whether the fleet is so large that zones are told as sums.
  bool isZoned() const;
  /// Whether this host aggregates for its group: its zone, or in a small fleet
  /// all hosts. The aggregator also asks the store for all of them.
  bool aggregates(const FleetMember &self, Instant now) const;
  /// Whether this host is among the first so many of its group.
  bool isAmongFirst(const FleetMember &self, std::size_t count,
                    Instant now) const;

  /// The hosts that this host's reports go to.
  std::vector<HostId> groupPeers() const;
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
  /// Counts what this host lets in for its zone's sum.
  void noteOwn(const FleetReport &own, Instant now);

  /// All other hosts that are known.
  std::vector<HeardMember> members() const;
  /// Hosts that take calls, this one included; at least 1.
  int hostCount() const;
  /// Whether the host was heard of lately enough for callers to be sent there.
  bool isAnswering(const HeardMember &it, Instant now) const;
  /// Whether another host says that it holds the duties and can use them: one
  /// that is cut off from the store will lose them, and the next holder has to
  /// see the lease unchanged for a whole term.
  bool holdsDuties(Instant now) const;
  /// Whether any other host was heard of, not longer ago.
  bool hearsAny(Duration notLonger, Instant now) const;
  /// Whether all other hosts that are known and not leaving were heard of
  /// lately.
  bool hearsAll(Instant now) const;
  const FleetViewSettings &settings() const { return Settings; }

private:
  struct Heard {
    FleetReport Report;
    Instant At{};
  };

  bool isForUs(const FleetReport &report) const;
  void noteMembers(const FleetReport &report, Instant now);
  Duration silenceOf(const FleetMember &member) const;
  std::vector<FleetMember> ranked(const ZoneId *zone, Duration silence,
                                  Instant now) const;
  std::vector<HostId> unheardOf(const ZoneId &zone, Instant now) const;
  std::size_t placeInGroup(const FleetMember &self, Instant now) const;

  FleetViewSettings Settings;
  std::map<HostId, FleetMember> Registered;
  std::map<HostId, HeardMember> Known;
  std::map<SourceId, Heard> Reports;
  UsedSum ZoneUsed;
  UsedSum OthersUsed;
};

/// Whose report it is.
SourceId sourceOf(const FleetReport &report);

} // namespace sorrelbay
