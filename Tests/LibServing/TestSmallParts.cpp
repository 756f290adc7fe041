#include "LibServing/Allotment.h"
#include "LibServing/DeferredFailures.h"
#include "LibServing/FleetClock.h"
#include "LibServing/StoreReachability.h"
#include "LibServing/UsageCounts.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

BOOST_AUTO_TEST_SUITE(usage_order)

// A new duty holder finds four unreported windows, one of them long overdue. In
// plain order the overdue window delayed one that could still be reported in
// time.
BOOST_AUTO_TEST_CASE(windows_that_can_still_be_in_time_go_first) {
  const auto next = [](const std::vector<WindowNumber> &windows, int now) {
    return mostUrgentWindow(windows, seconds(5), seconds(10),
                            Instant(seconds(now)))
        .value_or(-1);
  };
  BOOST_TEST(next({10, 11, 12}, 60) == 10);
  BOOST_TEST(next({10, 11, 12}, 66) == 11);
  BOOST_TEST(next({10, 11, 12}, 71) == 12);
  BOOST_TEST(next({10, 11, 12}, 99) == 10);
  BOOST_TEST(next({}, 60) == -1);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(fleet_clock)

// One host's wall clock was two seconds off when its process started. Its usage
// windows would end early, and calls would be billed in the wrong window.
BOOST_AUTO_TEST_CASE(a_host_with_a_wrong_clock_uses_the_median) {
  const Instant boot{seconds(50)};
  FleetClock fleetClock(Instant(seconds(1002)), boot);
  BOOST_TEST((fleetClock.at(boot) == Instant(seconds(1002))));
  fleetClock.notePeer(SourceId("a"), Instant(seconds(1000)), boot);
  fleetClock.notePeer(SourceId("b"), Instant(seconds(1000)), boot);
  BOOST_TEST((fleetClock.at(boot + seconds(5)) == Instant(seconds(1005))));
  BOOST_TEST((fleetClock.own(boot) == Instant(seconds(1002))));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(usage_counts)

BOOST_AUTO_TEST_CASE(counts_are_summed_over_processes_and_never_decrease) {
  UsageCounts usage(IncarnationId("self"), ZoneId("z"), seconds(5));
  const TeamId team("t");
  const Instant at{seconds(12)};
  const WindowNumber window = usage.windowAt(at);
  BOOST_TEST(window == 2);
  BOOST_TEST((usage.endOf(window) == Instant(seconds(15))));
  usage.noteCallStarted(team, at);
  usage.noteHost(ZoneId("z"), IncarnationId("peer"), window, {{team, 5}});
  usage.noteHost(ZoneId("z"), IncarnationId("peer"), window, {{team, 3}});
  // The calls of the killed process still count.
  usage.noteHost(ZoneId("z"), IncarnationId("peer again"), window, {{team, 1}});
  BOOST_TEST(usage.sum(window)[team] == 7);
  BOOST_TEST(usage.own()[window][team] == 1);
  usage.forgetBefore(window + 1);
  BOOST_TEST(usage.sum(window).empty());
}

// In a large fleet hosts receive other zones as sums, and the reporter of a sum
// changes. If it were counted twice, a team would be billed for calls that it
// never made.
BOOST_AUTO_TEST_CASE(sums_of_zones_and_of_their_hosts_are_not_added_up) {
  UsageCounts usage(IncarnationId("self"), ZoneId("z"), seconds(5));
  const TeamId team("t");
  usage.noteCallStarted(team, Instant(seconds(1)));
  usage.noteHost(ZoneId("z"), IncarnationId("peer of the group"), 0,
                 {{team, 2}});
  usage.noteHost(ZoneId("y"), IncarnationId("afar"), 0, {{team, 10}});
  usage.noteZone(ZoneId("y"), 0, {{team, 30}});
  usage.noteZone(ZoneId("y"), 0, {{team, 20}});
  usage.noteZone(ZoneId("x"), 0, {{team, 100}});
  BOOST_TEST(usage.sum(0)[team] == 133);
  BOOST_TEST(usage.ownZone()[0][team] == 3);
  BOOST_TEST(usage.otherZones()[0][team] == 130);
  usage.noteOthers(0, {{team, 131}});
  BOOST_TEST(usage.sum(0)[team] == 134);
  // A sum over this host's own zone that another zone reports is ignored.
  usage.noteZone(ZoneId("z"), 0, {{team, 50}});
  BOOST_TEST(usage.sum(0)[team] == 134);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(store_reachability)

// The store closes all watches for a moment. If each host that queries it
// reported at once that it can't reach the store, all aggregators would be
// replaced at the same time.
BOOST_AUTO_TEST_CASE(a_short_store_outage_is_not_reported) {
  StoreReachability storeReachability;
  Instant now{seconds(10)};
  BOOST_TEST(!storeReachability.isUnreached());
  storeReachability.note(false, now);
  BOOST_TEST(storeReachability.isUnreached());
  BOOST_TEST(!storeReachability.isStoreUnreachable(now + milliseconds(600)));
  storeReachability.note(true, now += milliseconds(600));
  storeReachability.note(false, now += milliseconds(600));
  BOOST_TEST(!storeReachability.isStoreUnreachable(now));
  storeReachability.note(false, now + milliseconds(900));
  BOOST_TEST(storeReachability.isStoreUnreachable(now + seconds(1)));
  storeReachability.note(true, now + seconds(2));
  BOOST_TEST(!storeReachability.isStoreUnreachable(now + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(allotment)

// Zones that report sums receive each other's usage later, so more is admitted
// in the meantime; the reserved part of the allotment covers it.
BOOST_AUTO_TEST_CASE(a_large_fleet_reserves_a_part) {
  ServingTeam team;
  team.Rate = 1000;
  team.Burst = 500;
  const AllotmentBounds bounds{400, {}};
  BOOST_TEST((allotmentFor(team, false, bounds) == Allotment{1000, 600}));
  BOOST_TEST((allotmentFor(team, true, bounds) == Allotment{940, 470}));
}

// A team with a low rate and a high burst constantly requests slightly more
// than its rate. Its burst is exhausted within seconds, and from then on it
// would be refused although no window contains as much as it may use.
BOOST_AUTO_TEST_CASE(a_part_of_the_burst_is_refilled_in_every_window) {
  ServingTeam team;
  team.Rate = 1000;
  team.Burst = 4000;
  const Allotment given = allotmentFor(team, false, {0, seconds(8)});
  BOOST_TEST((given == Allotment{1250, 2000}));
  BOOST_TEST(given.Rate * 8 + given.Burst == team.Rate * 8 + team.Burst);
  const Allotment aggregatedAllotment =
      allotmentFor(team, true, {0, seconds(8)});
  BOOST_TEST((aggregatedAllotment == Allotment{1175, 1880}));
}

BOOST_AUTO_TEST_CASE(no_limit_stays_none_and_a_small_limit_stays_a_limit) {
  ServingTeam team;
  team.Burst = 4000;
  BOOST_TEST(allotmentFor(team, true, {}).Rate == 0);
  BOOST_TEST(allotmentFor(team, false, {0, seconds(8)}).Rate == 0);
  team.Rate = 1;
  BOOST_TEST(allotmentFor(team, true, {}).Rate == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(deferred_failures)

// An upstream of a new version crashes under one call, with all that it runs.
// Counted one by one, these failures would roll the version back.
BOOST_AUTO_TEST_CASE(calls_that_end_with_one_crash_are_one_failure) {
  const ServiceId service("engines");
  const Instant begun{seconds(100)};
  DeferredFailures failures;
  for (int n = 0; n < 20; ++n)
    failures.add(
        {service, VersionId("v2"), RouteId("r"), UpstreamId("crashed")}, begun);
  for (int n = 0; n < 3; ++n)
    failures.add({service, VersionId("v2"), RouteId("r"), UpstreamId("faulty")},
                 begun);
  failures.mergeCrash(UpstreamId("crashed"));
  UpstreamReachability paths;
  paths.noteConnect(service, UpstreamId("faulty"), true, 2,
                    begun + milliseconds(1));
  BOOST_TEST(failures.takeDue(paths, begun + seconds(2)).size() == 4);
}

BOOST_AUTO_TEST_SUITE_END()
