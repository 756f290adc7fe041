#include "LibServing/FleetView.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

constexpr Duration Round = milliseconds(250);

/// Hosts "h00" to "hNN" in zones "z0", "z1" and so on, which exchange reports
/// as their views direct, without a network.
struct Fleet {
  Instant Now{seconds(1000)};
  Fleet(int hosts, int zones) {
    for (int n = 0; n < hosts; ++n) {
      FleetMember it;
      it.Host = HostId((n < 10 ? "h0" : "h") + std::to_string(n));
      it.Zone = ZoneId("z" + std::to_string(n % zones));
      it.PeerAddress = it.Host.text() + ":1";
      it.IsReady = true;
      // The first host of each zone is larger.
      it.Capacity = n < zones ? 2 : 1;
      Members.push_back(it);
      Views.emplace_back(FleetViewSettings{it.Host, it.Zone, Now});
    }
    for (FleetView &it : Views)
      it.noteRegistered(Members);
    Work.resize(Members.size());
    Levels.resize(Members.size());
    IsDown.resize(Members.size());
    ReceivedMessages.resize(Members.size());
  }

  std::size_t indexOf(const HostId &host) const {
    const auto it =
        std::find_if(Members.begin(), Members.end(),
                     [&](const FleetMember &m) { return m.Host == host; });
    return static_cast<std::size_t>(it - Members.begin());
  }

  FleetReport ownReport(std::size_t n) {
    FleetReport own;
    own.Reporter = Members[n].Host;
    own.Zone = Members[n].Zone;
    own.Incarnation = IncarnationId(own.Reporter.text());
    own.Sequence = Sequence;
    own.Members = {Members[n]};
    own.Open[UpstreamId("u")] = {Work[n], 0, 0};
    own.Used[TeamId("t")] = Work[n];
    own.Levels[TeamId("t")] = Levels[n];
    return own;
  }

  void deliverReport(const std::vector<HostId> &hosts,
                     const FleetReport &report) {
    for (const HostId &it : hosts) {
      ++Messages;
      ++ReceivedMessages[indexOf(it)];
      if (!IsDown[indexOf(it)])
        Views[indexOf(it)].receive(report, Now);
    }
  }

  void round() {
    Now += Round;
    ++Sequence;
    for (std::size_t n = 0; n < Views.size(); ++n) {
      if (IsDown[n])
        continue;
      FleetView &view = Views[n];
      view.removeSilent(Now);
      const FleetReport own = ownReport(n);
      view.noteOwn(own, Now);
      deliverReport(view.reportPeers(Members[n], Now), own);
      if (!view.isAggregatedByZone() || !view.aggregates(Members[n], Now))
        continue;
      const FleetReport zone = view.zoneReport(own, Now);
      deliverReport(view.otherAggregators(Now), zone);
      deliverReport(view.groupPeers(), view.othersReport(own, Now));
      deliverReport(view.groupPeers(), view.ownZoneReport(zone));
    }
  }

  void rounds(int count) {
    for (int n = 0; n < count; ++n)
      round();
  }

  /// The number of calls that others have open at "u", according to the host.
  int othersWork(std::size_t n) const {
    int calls = 0;
    for (const FleetReport *it : Views[n].counted(Members[n], Now)) {
      const auto open = it->Open.find(UpstreamId("u"));
      if (open != it->Open.end())
        calls += open->second.Calls;
    }
    return calls;
  }

  int leaders() const {
    int n = 0;
    for (std::size_t it = 0; it < Views.size(); ++it)
      if (!IsDown[it] && Views[it].isFleetLeader(Members[it], Now))
        ++n;
    return n;
  }

  int aggregators() const {
    int n = 0;
    for (std::size_t it = 0; it < Views.size(); ++it)
      if (!IsDown[it] && Views[it].aggregates(Members[it], Now))
        ++n;
    return n;
  }

  std::vector<FleetMember> Members;
  std::vector<FleetView> Views;
  std::vector<int> Work;
  std::vector<double> Levels;
  std::vector<bool> IsDown;
  std::uint64_t Sequence = 0;
  int Messages = 0;
  /// The number of messages sent to each host.
  std::vector<int> ReceivedMessages;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_view)

BOOST_AUTO_TEST_CASE(hosts_of_a_small_fleet_report_to_all) {
  Fleet fleet(7, 4);
  fleet.Work.assign(7, 3);
  fleet.rounds(4);
  for (std::size_t n = 0; n < 7; ++n) {
    BOOST_TEST(!fleet.Views[n].isAggregatedByZone());
    BOOST_TEST(fleet.othersWork(n) == 6 * 3);
    BOOST_TEST(fleet.Views[n].hostCount() == 7);
  }
  BOOST_TEST(fleet.aggregators() == 1);
}

// A host that doesn't know what all others have open sends its calls to
// upstreams that are already busy. If each host reported to all, messages would
// grow with the square of the hosts and fill their links.
BOOST_AUTO_TEST_CASE(many_hosts_know_all_work_by_few_messages) {
  Fleet fleet(80, 4);
  for (std::size_t n = 0; n < 80; ++n)
    fleet.Work[n] = static_cast<int>(n);
  fleet.rounds(8);
  const int all = 79 * 80 / 2;
  for (std::size_t n = 0; n < 80; ++n) {
    BOOST_TEST(fleet.othersWork(n) == all - fleet.Work[n]);
    BOOST_TEST(fleet.Views[n].hostCount() == 80);
  }
  BOOST_TEST(fleet.aggregators() == 4);
  fleet.Messages = 0;
  fleet.round();
  BOOST_TEST(fleet.Messages < 80 * 79 / 3);
}

// If the reports that a small host receives grow with its zone, its processor
// time goes into reports and its callers are served late.
BOOST_AUTO_TEST_CASE(a_small_host_receives_no_more_in_a_large_zone) {
  int receivedMessages[2] = {};
  int n = 0;
  for (const int hosts : {90, 360}) {
    Fleet fleet(hosts, 6);
    fleet.Work.assign(static_cast<std::size_t>(hosts), 1);
    fleet.rounds(12);
    fleet.ReceivedMessages.assign(fleet.ReceivedMessages.size(), 0);
    fleet.rounds(4);
    const auto last = static_cast<std::size_t>(hosts - 1);
    receivedMessages[n++] = fleet.ReceivedMessages[last];
    BOOST_TEST(fleet.othersWork(last) == hosts - 1);
  }
  BOOST_TEST(receivedMessages[0] <= 4 * 6);
  BOOST_TEST(receivedMessages[1] == receivedMessages[0]);
}

// All collectors of a zone lose power at once. The other hosts would receive no
// sum any more and continue with outdated state.
BOOST_AUTO_TEST_CASE(others_collect_when_all_collectors_are_silent) {
  Fleet fleet(180, 6);
  fleet.Work.assign(180, 2);
  fleet.rounds(12);
  for (const std::size_t n : {0, 6, 12})
    fleet.IsDown[n] = true;
  fleet.rounds(16);
  BOOST_TEST(fleet.aggregators() == 6);
  for (std::size_t n = 18; n < 180; ++n) {
    BOOST_TEST(fleet.othersWork(n) >= 176 * 2);
    BOOST_TEST(fleet.othersWork(n) <= 179 * 2);
  }
}

// One host queries the store for all zones. With one per zone, requests to the
// store would grow with the number of zones; with none, no host would notice a
// change.
BOOST_AUTO_TEST_CASE(one_host_leads_all_zones) {
  Fleet fleet(180, 6);
  fleet.rounds(12);
  BOOST_TEST(fleet.leaders() == 1);
  BOOST_TEST(fleet.Views[0].isFleetLeader(fleet.Members[0], fleet.Now));
  fleet.IsDown[0] = true;
  fleet.rounds(12);
  BOOST_TEST(fleet.leaders() == 1);
  // A host that can't reach the store stops leading.
  fleet.Members[1].IsStoreUnreachable = true;
  fleet.rounds(12);
  BOOST_TEST(fleet.leaders() == 1);
  BOOST_TEST(!fleet.Views[1].isFleetLeader(fleet.Members[1], fleet.Now));
}

// A duty holder that receives its zone only as a sum must report the usage of
// the whole fleet, and a new aggregator must include the usage that the
// previous one had counted.
BOOST_AUTO_TEST_CASE(a_sum_over_the_own_zone_counts_once_in_the_usage) {
  const TeamId team("t");
  UsageCounts usage(IncarnationId("me"), ZoneId("z0"), seconds(5));
  usage.noteHost(ZoneId("z0"), IncarnationId("me"), 7, {{team, 4}});
  usage.noteOwnZone(7, {{team, 30}});
  usage.noteOthers(7, {{team, 100}});
  BOOST_TEST(usage.sum(7).at(team) == 130);
  BOOST_TEST(usage.ownZone().at(7).at(team) == 30);
  usage.noteHost(ZoneId("z0"), IncarnationId("other"), 7, {{team, 27}});
  BOOST_TEST(usage.sum(7).at(team) == 131);
}

// All hosts start together and read the registered hosts before any link is up.
// Each would rank itself first, query the store for all zones and try to take
// the duties.
BOOST_AUTO_TEST_CASE(a_host_without_reports_from_peers_does_not_lead) {
  Fleet fleet(180, 6);
  fleet.Now += seconds(1);
  BOOST_TEST(fleet.leaders() == 0);
  fleet.rounds(4);
  BOOST_TEST(fleet.leaders() == 1);
  // A host that stays alone leads after a while.
  Fleet isolated(180, 6);
  isolated.Now += seconds(4);
  BOOST_TEST(
      isolated.Views[100].isFleetLeader(isolated.Members[100], isolated.Now));
  FleetView singleHostView({HostId("h"), ZoneId("z"), fleet.Now - seconds(1)});
  FleetMember self;
  self.Host = HostId("h");
  self.Zone = ZoneId("z");
  BOOST_TEST(singleHostView.isFleetLeader(self, fleet.Now));
}

// A host was disconnected, charged teams with everything that it had missed,
// and is its zone's aggregator again. If its zone adopted its levels, all hosts
// would refuse the teams.
BOOST_AUTO_TEST_CASE(a_wrong_aggregator_changes_no_level) {
  Fleet fleet(90, 3);
  const TeamId team("t");
  fleet.Levels.assign(90, 1000);
  fleet.Levels[0] = -8000;
  fleet.rounds(12);
  BOOST_TEST(fleet.Views[0].aggregates(fleet.Members[0], fleet.Now));
  for (const std::size_t n : {30, 31, 32, 60})
    for (const FleetReport *it :
         fleet.Views[n].counted(fleet.Members[n], fleet.Now))
      BOOST_TEST(it->Levels.at(team) == 1000);
}

// One in a hundred hosts has failed permanently. If the usage of a window had
// to wait for it, a duty holder that is killed in the meantime would leave the
// window unreported.
BOOST_AUTO_TEST_CASE(few_silent_hosts_are_a_small_fraction) {
  Fleet fleet(180, 6);
  fleet.rounds(12);
  BOOST_TEST(fleet.Views[0].silentFraction(fleet.Now) == 0);
  for (const std::size_t n : {30, 31})
    fleet.IsDown[n] = true;
  fleet.rounds(16);
  BOOST_TEST(fleet.Views[0].silentFraction(fleet.Now) > 0.01);
  BOOST_TEST(fleet.Views[0].silentFraction(fleet.Now) < 0.012);
}

// An aggregator loses power. If no other host took over, its zone's hosts and
// those of other zones would not receive each other's reports.
BOOST_AUTO_TEST_CASE(another_host_aggregates_when_an_aggregator_is_silent) {
  Fleet fleet(80, 4);
  fleet.Work.assign(80, 2);
  fleet.rounds(8);
  fleet.IsDown[0] = true;
  fleet.rounds(16);
  for (std::size_t n = 1; n < 80; ++n) {
    BOOST_TEST(fleet.othersWork(n) >= 78 * 2);
    BOOST_TEST(fleet.othersWork(n) <= 79 * 2);
  }
  BOOST_TEST(fleet.aggregators() == 4);
  // Callers are not sent to the failed host.
  for (std::size_t n = 1; n < 80; ++n)
    for (const auto &[host, it] : fleet.Views[n].members())
      if (it.Member.Host == fleet.Members[0].Host)
        BOOST_TEST(!fleet.Views[n].isAnswering(it, fleet.Now));
}

// A host that can't reach the store forwards no updates, and all hosts that
// depend on it would continue with outdated state.
BOOST_AUTO_TEST_CASE(a_host_that_is_cut_off_does_not_aggregate) {
  Fleet fleet(7, 1);
  fleet.rounds(4);
  BOOST_TEST(fleet.Views[0].aggregates(fleet.Members[0], fleet.Now));
  fleet.Members[0].IsStoreUnreachable = true;
  fleet.rounds(4);
  BOOST_TEST(!fleet.Views[0].aggregates(fleet.Members[0], fleet.Now));
  BOOST_TEST(fleet.Views[1].aggregates(fleet.Members[1], fleet.Now));
}

// The store is down and no host can reach it. If none of them aggregated, each
// zone would count only its own calls and grant the whole of a team's
// allotment.
BOOST_AUTO_TEST_CASE(one_aggregates_although_all_are_cut_off) {
  Fleet fleet(80, 4);
  fleet.Work.assign(80, 2);
  for (FleetMember &it : fleet.Members)
    it.IsStoreUnreachable = true;
  fleet.rounds(8);
  BOOST_TEST(fleet.aggregators() == 4);
  for (std::size_t n = 0; n < 80; ++n)
    BOOST_TEST(fleet.othersWork(n) == 79 * 2);
}

// The duty holder loses its connection to the store but not to its peers. If
// they kept leaving the lease to it, a window of usage would go unreported.
BOOST_AUTO_TEST_CASE(a_holder_that_is_cut_off_is_not_waited_for) {
  Fleet fleet(7, 4);
  fleet.Members[2].HoldsDuties = true;
  fleet.rounds(4);
  BOOST_TEST(fleet.Views[0].holdsDuties(fleet.Now));
  fleet.Members[2].IsStoreUnreachable = true;
  fleet.rounds(2);
  BOOST_TEST(!fleet.Views[0].holdsDuties(fleet.Now));
}

BOOST_AUTO_TEST_CASE(
    a_second_aggregator_is_ignored_while_the_first_aggregates) {
  FleetView view({HostId("h"), ZoneId("z0")});
  FleetReport sum;
  sum.Scope = ReportScope::Zone;
  sum.Zone = ZoneId("z1");
  sum.Incarnation = IncarnationId("first");
  sum.Sequence = 5;
  const Instant now{seconds(10)};
  BOOST_TEST(view.receive(sum, now));
  BOOST_TEST(!view.receive(sum, now));
  FleetReport second = sum;
  second.Incarnation = IncarnationId("second");
  BOOST_TEST(!view.receive(second, now + milliseconds(300)));
  BOOST_TEST(view.receive(second, now + milliseconds(900)));
}

// A zone's aggregator loses its connection to the store and regains it, and
// other zones receive its reports about that late. Until then the leader sent
// its updates to hosts that no longer forwarded them, and calls were sent to
// upstreams that no longer existed.
BOOST_AUTO_TEST_CASE(news_reaches_a_host_that_aggregates_again) {
  Fleet fleet(24, 3);
  for (int n = 0; n < 12; ++n)
    fleet.round();
  fleet.Members[0].IsStoreUnreachable = true;
  for (int n = 0; n < 12; ++n)
    fleet.round();
  BOOST_TEST(!fleet.Views[0].aggregates(fleet.Members[0], fleet.Now));
  fleet.Members[0].IsStoreUnreachable = false;
  BOOST_REQUIRE(fleet.Views[0].aggregates(fleet.Members[0], fleet.Now));
  BOOST_REQUIRE(fleet.Views[1].isFleetLeader(fleet.Members[1], fleet.Now));
  const auto reportTargets = fleet.Views[1].otherAggregators(fleet.Now);
  BOOST_TEST(std::count(reportTargets.begin(), reportTargets.end(),
                        HostId("h00")) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(usage_aggregator)

// A host of a zone is killed and restarts. A sum that decreased would look like
// returned units, and a sum that started again from zero would charge the team
// twice.
BOOST_AUTO_TEST_CASE(a_sum_never_decreases_and_counts_nothing_twice) {
  UsageAggregator sum;
  const TeamId team("t");
  const SourceId host("a");
  const Instant now{seconds(10)};
  sum.note(host, {IncarnationId("1"), {{team, 500}}, {}, CounterBaseline::Zero},
           now);
  BOOST_TEST(sum.total().at(team) == 500);
  sum.note(host, {IncarnationId("1"), {{team, 600}}, {}, CounterBaseline::Zero},
           now);
  BOOST_TEST(sum.total().at(team) == 600);
  sum.note(host, {IncarnationId("2"), {{team, 30}}, {}, CounterBaseline::Zero},
           now);
  BOOST_TEST(sum.total().at(team) == 630);
  sum.note(host, {IncarnationId("2"), {}, {}, CounterBaseline::Zero}, now);
  BOOST_TEST(sum.total().at(team) == 630);
  const SourceId zone("z");
  sum.note(zone,
           {IncarnationId("1"),
            {{team, 100}},
            {},
            CounterBaseline::PreviousReporter},
           now);
  sum.note(zone,
           {IncarnationId("2"),
            {{team, 120}},
            {},
            CounterBaseline::PreviousReporter},
           now);
  BOOST_TEST(sum.total().at(team) == 750);
  sum.note(zone,
           {IncarnationId("3"),
            {{team, 9000}},
            {},
            CounterBaseline::EstimatedFromPace},
           now);
  sum.note(zone,
           {IncarnationId("3"),
            {{team, 9010}},
            {},
            CounterBaseline::EstimatedFromPace},
           now);
  BOOST_TEST(sum.total().at(team) == 760);
}

// A zone's aggregator is killed while a team starts to send six times as much.
// What the zone admits until the next aggregator reports would not be charged.
BOOST_AUTO_TEST_CASE(growth_between_two_aggregators_follows_the_new_pace) {
  UsageAggregator sum;
  const TeamId team("t");
  const SourceId zone("z");
  Instant now{seconds(10)};
  sum.note(zone,
           {IncarnationId("1"),
            {{team, 100}},
            {},
            CounterBaseline::EstimatedFromPace},
           now);
  now += milliseconds(800);
  // The new aggregator started to count long before, and has measured the
  // growth of the last second.
  sum.note(zone,
           {IncarnationId("2"),
            {{team, 70000}},
            {{team, 500.0}},
            CounterBaseline::EstimatedFromPace},
           now);
  BOOST_TEST(sum.total().at(team) == 400);
  // After a long gap only a few seconds' growth is added.
  now += minutes(5);
  sum.note(zone,
           {IncarnationId("3"),
            {{team, 10}},
            {{team, 500.0}},
            CounterBaseline::EstimatedFromPace},
           now);
  BOOST_TEST(sum.total().at(team) == 400 + 2500);
}

// A new aggregator receives the first reports of hosts that have been running
// for minutes. The calls of their whole lifetime must not count as pace.
BOOST_AUTO_TEST_CASE(the_pace_covers_only_observed_growth) {
  UsageAggregator sum;
  const TeamId team("t");
  const SourceId host("a");
  Instant now{seconds(10)};
  UsedUnits used = 90000;
  BOOST_TEST(sum.pace(now).empty());
  for (int n = 0; n <= 8; ++n, now += milliseconds(250))
    sum.note(host, {IncarnationId("1"), {{team, used += 25}}, {}}, now);
  const double pace = sum.pace(now - milliseconds(250)).at(team);
  BOOST_TEST(pace > 90);
  BOOST_TEST(pace < 110);
}

// An aggregator was disconnected from its zone for twelve seconds. If what its
// hosts admitted in that time counted as pace, it would be charged to the teams
// again.
BOOST_AUTO_TEST_CASE(growth_after_a_silence_does_not_count_as_pace) {
  UsageAggregator sum;
  const TeamId team("t");
  const auto deliverReport = [&](int host, UsedUnits used, Instant now) {
    sum.note(SourceId("host " + std::to_string(host)),
             {IncarnationId("1"), {{team, used}}, {}}, now);
  };
  Instant now{seconds(10)};
  for (int host = 0; host < 10; ++host)
    deliverReport(host, 100, now);
  // Twelve seconds at 100 units per second each; the reports arrive one after
  // the other.
  now += seconds(12);
  for (int host = 0; host < 10; ++host, now += milliseconds(200))
    deliverReport(host, 1300, now);
  BOOST_TEST(sum.total().at(team) == 13000);
  BOOST_TEST(sum.pace(now).at(team) < 1500);
}

BOOST_AUTO_TEST_SUITE_END()
