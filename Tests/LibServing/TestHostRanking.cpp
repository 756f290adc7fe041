#include "LibServing/FleetReportMerger.h"
#include "LibServing/HostRanking.h"
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

namespace {

FleetMember memberOf(int number, int zones) {
  FleetMember out;
  out.Host = HostId("edge-" + std::to_string(10000 + number));
  out.Zone = ZoneId("zone-" + std::to_string(number % zones));
  out.IsReady = true;
  // The first ten of a zone are larger.
  out.Capacity = number < 10 * zones ? 1 : 0.12;
  return out;
}

const HostRanking::Predicate All = [](const HostId &) { return true; };

/// A host's report with its own entry only.
FleetReport heartbeatOf(const FleetMember &member, std::uint64_t sequence) {
  FleetReport out;
  out.Reporter = member.Host;
  out.Zone = member.Zone;
  out.Incarnation = IncarnationId(member.Host.text() + "/1");
  out.Sequence = sequence;
  out.Members = {member};
  return out;
}

/// A host of a large fleet, which knows all others by its aggregator's sums.
struct OrdinaryHost {
  explicit OrdinaryHost(int hosts) {
    for (int n = 0; n < hosts; ++n)
      Members.push_back(memberOf(n, 6));
    Self = Members.back();
    View = std::make_unique<FleetView>(
        FleetViewSettings{Self.Host, Self.Zone, Now - seconds(60)});
    View->noteRegistered(Members);
    for (int n = 0; n < 12; ++n)
      receiveSums();
  }

  void receiveSums() {
    Now += milliseconds(250);
    ++Sequence;
    for (const ReportScope scope :
         {ReportScope::OwnZone, ReportScope::OtherZones}) {
      FleetReport sum = heartbeatOf(
          Members[static_cast<std::size_t>((Members.size() - 1) % 6)],
          Sequence);
      sum.Scope = scope;
      sum.Zone = Self.Zone;
      sum.Members.clear();
      for (const FleetMember &it : Members)
        if ((scope == ReportScope::OwnZone) == (it.Zone == Self.Zone))
          sum.Members.push_back(it);
      View->receive(sum, Now);
    }
  }

  /// The collectors of its zone, which send it heartbeats.
  std::vector<FleetMember> heartbeatSenders() const {
    std::vector<FleetMember> out;
    for (const FleetMember &it : Members)
      if (it.Zone == Self.Zone && out.size() < 3)
        out.push_back(it);
    return out;
  }

  Instant Now{seconds(1000)};
  std::vector<FleetMember> Members;
  FleetMember Self;
  std::unique_ptr<FleetView> View;
  std::uint64_t Sequence = 0;
};

/// The tables of the host that reports are merged into.
struct HostTables {
  explicit HostTables(OrdinaryHost &host)
      : Usage(IncarnationId("me"), host.Self.Zone, seconds(5)),
        Time(host.Now, host.Now), Merger(*host.View,
                                         {Replicas, Demand, Limiters, Usage,
                                          Time, Quarantine, ShortDemand},
                                         host.Now - seconds(60)) {}

  ReplicaTable Replicas;
  EngineDemand Demand;
  EngineDemand ShortDemand;
  std::map<TeamId, TeamRateLimiter> Limiters;
  UsageCounts Usage;
  FleetClock Time;
  PromptQuarantine Quarantine;
  FleetReportMerger Merger;
};

/// Delivers that many heartbeats of each collector of the host's zone.
void takeHeartbeats(OrdinaryHost &host, FleetReportMerger &merger, int rounds) {
  for (int n = 0; n < rounds; ++n)
    for (const FleetMember &it : host.heartbeatSenders()) {
      const FleetReport heartbeat = heartbeatOf(it, ++host.Sequence);
      if (host.View->receive(heartbeat, host.Now))
        merger.take(heartbeat, host.Self, host.Now);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(host_ranking)

BOOST_AUTO_TEST_CASE(hosts_rank_by_store_size_and_name) {
  HostRanking ranking;
  std::vector<FleetMember> members{memberOf(0, 1), memberOf(1, 1),
                                   memberOf(2, 1)};
  members[1].Capacity = 2;
  members[0].IsStoreUnreachable = true;
  for (const FleetMember &it : members)
    ranking.set(it);
  const ZoneId zone = members[0].Zone;
  BOOST_TEST(
      (ranking.first(zone, 3, All) ==
       std::vector<HostId>{members[1].Host, members[2].Host, members[0].Host}));
  BOOST_TEST((ranking.firstIfReached(zone, 2, All) ==
              std::vector<HostId>{members[1].Host, members[0].Host}));
  BOOST_TEST(ranking.countBefore(zone, rankOf(members[0]), 5, All) == 2U);
  BOOST_TEST(ranking.countBefore(zone, rankOf(members[0]), 1, All) == 1U);
}

BOOST_AUTO_TEST_CASE(a_host_that_moves_leaves_or_changes_is_ranked_anew) {
  HostRanking ranking;
  FleetMember member = memberOf(0, 1);
  ranking.set(member);
  member.Zone = ZoneId("zone-9");
  ranking.set(member);
  BOOST_TEST(ranking.first(ZoneId("zone-0"), 3, All).empty());
  BOOST_TEST(ranking.first(ZoneId("zone-9"), 3, All).size() == 1U);
  member.IsLeaving = true;
  ranking.set(member);
  BOOST_TEST(ranking.zones().empty());
  member.IsLeaving = false;
  ranking.set(member);
  ranking.erase(member.Host);
  BOOST_TEST(ranking.zones().empty());
}

// A rank that a peer states wrongly must not break the order of the others.
BOOST_AUTO_TEST_CASE(a_capacity_that_is_no_number_ranks_last) {
  HostRanking ranking;
  FleetMember odd = memberOf(0, 1);
  odd.Capacity = std::numeric_limits<double>::quiet_NaN();
  ranking.set(odd);
  ranking.set(memberOf(1, 1));
  BOOST_TEST((ranking.first(odd.Zone, 1, All).front() == memberOf(1, 1).Host));
}

// Each host asks for its role several times a tick. If answers looked at all
// hosts, the time that they take would grow with the square of the fleet.
BOOST_DATA_TEST_CASE(roles_look_at_a_few_hosts,
                     data::make({60, 250, 985, 2000}), hosts) {
  const OrdinaryHost host(hosts);
  const std::size_t before = host.View->hostsVisited();
  BOOST_TEST(!host.View->aggregates(host.Self, host.Now));
  BOOST_TEST(!host.View->collects(host.Self, host.Now));
  BOOST_TEST(!host.View->isFleetLeader(host.Self, host.Now));
  BOOST_TEST(!host.View->isAmongFirst(host.Self, 3, host.Now));
  BOOST_TEST(host.View->reportPeers(host.Self, host.Now).size() >= 3U);
  // Each of the seven answers above, counting those within them, needs at most
  // a few hosts of a zone.
  BOOST_TEST(host.View->hostsVisited() - before <= 7U * 4);
}

// A collector's heartbeat is not counted at an ordinary host. If each made it
// determine anew which reports count, it would copy the names of all hosts a
// dozen times a second.
BOOST_DATA_TEST_CASE(heartbeats_do_not_recount,
                     data::make({60, 250, 985, 2000}), hosts) {
  OrdinaryHost host(hosts);
  ReplicaTable replicas;
  EngineDemand demand;
  EngineDemand shortDemand;
  std::map<TeamId, TeamRateLimiter> limiters;
  UsageCounts usage(IncarnationId("me"), host.Self.Zone, seconds(5));
  FleetClock time(host.Now, host.Now);
  PromptQuarantine quarantine;
  FleetReportMerger merger(
      *host.View,
      {replicas, demand, limiters, usage, time, quarantine, shortDemand},
      host.Now - seconds(60));
  merger.recount(host.Self, host.Now);
  takeHeartbeats(host, merger, 1);
  const int before = merger.recounts();
  takeHeartbeats(host, merger, 40);
  BOOST_TEST(merger.recounts() == before);
}

// The holder of the duties may get its own zone as a sum. If that carried the
// usage of the other zones, the teams' usage would be reported wrong.
BOOST_AUTO_TEST_CASE(sums_carry_the_usage_of_what_they_cover) {
  OrdinaryHost host(60);
  HostTables tables(host);
  const TeamId team("t");
  tables.Usage.noteHost(host.Self.Zone, IncarnationId("me"), 7, {{team, 4}});
  tables.Usage.noteZone(ZoneId("another"), 7, {{team, 100}});
  FleetReport sum;
  for (const ReportScope scope : {ReportScope::Zone, ReportScope::OwnZone}) {
    sum.Scope = scope;
    tables.Merger.fillUsage(sum);
    BOOST_TEST(sum.Usage.at(7).at(team) == 4);
  }
  sum.Scope = ReportScope::OtherZones;
  tables.Merger.fillUsage(sum);
  BOOST_TEST(sum.Usage.at(7).at(team) == 100);
}

// An aggregator sends its sums instead of heartbeats. A host that knew it by
// its members' list only would keep what was listed first.
BOOST_AUTO_TEST_CASE(the_reporter_of_a_sum_is_known_by_it) {
  OrdinaryHost host(60);
  FleetMember &aggregator = host.Members[(host.Members.size() - 1) % 6];
  const auto known = [&] { return host.View->members().at(aggregator.Host); };
  BOOST_TEST((known().LastReportAt == host.Now));
  aggregator.IsStoreUnreachable = true;
  host.receiveSums();
  BOOST_TEST(known().Member.IsStoreUnreachable);
  aggregator.IsStoreUnreachable = false;
  host.receiveSums();
  BOOST_TEST(!known().Member.IsStoreUnreachable);
}

BOOST_AUTO_TEST_SUITE_END()
