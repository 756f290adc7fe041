#include "HostPlannerSimulation.h"
#include "LibDecision/HostPlanner.h"
#include "LibDecision/LeaderLease.h"
#include "LibDecision/WeightLoads.h"
#include "SoakSeeds.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace sorrelbay;

namespace {

const Instant Start{seconds(1000)};

HostOffer reclaimable(const char *zone, std::int64_t cost) {
  return {ZoneId(zone), MachineClass("m"), true, cost, 1};
}

HostOffer onDemand(std::int64_t cost) {
  return {ZoneId("a"), MachineClass("m"), false, cost, 1};
}

struct MixRow {
  const char *Name;
  std::vector<HostOffer> Offers;
  double Capacity;
  double ReclaimableShare;
  std::int64_t WantedCost;
};

std::ostream &operator<<(std::ostream &out, const MixRow &row) {
  return out << row.Name;
}

HostOffer atMost(HostOffer offer, int hosts) {
  offer.MaxHosts = hosts;
  return offer;
}

const MixRow MixRows[] = {
    // Three hosts in each of four zones, one of which may be lost.
    {"four zones",
     {reclaimable("a", 300), reclaimable("b", 300), reclaimable("c", 300),
      reclaimable("d", 300), onDemand(1000)},
     9,
     1,
     3600},
    {"two zones cost twice the capacity",
     {reclaimable("a", 300), reclaimable("b", 300), onDemand(1000)},
     4,
     1,
     2400},
    {"two expensive zones are no better than on demand",
     {reclaimable("a", 600), reclaimable("b", 600), onDemand(1000)},
     4,
     1,
     4000},
    {"a single zone has no capacity after its loss",
     {reclaimable("a", 100), onDemand(1000)},
     4,
     1,
     4000},
    {"a limit on reclaimable hosts",
     {reclaimable("a", 300), reclaimable("b", 300), onDemand(1000)},
     4,
     0.5,
     3600},
    {"a zone without available hosts",
     {atMost(reclaimable("a", 300), 0), reclaimable("b", 300),
      reclaimable("c", 400), onDemand(1000)},
     2,
     1,
     1400},
};

} // namespace

BOOST_AUTO_TEST_SUITE(HostPlannerTests)

BOOST_DATA_TEST_CASE(finds_the_cheapest_mix,
                     boost::unit_test::data::make(MixRows), row) {
  const HostMix mix =
      cheapestMix(row.Offers, row.Capacity, row.ReclaimableShare);
  BOOST_CHECK_EQUAL(costOf(mix), row.WantedCost);
  BOOST_CHECK_GE(capacityAfterZoneLoss(mix), row.Capacity);
}

// The cloud refuses a start shortly before the deadline. Trying one cheap offer
// after the other, each of which may be refused, would miss the deadline.
BOOST_AUTO_TEST_CASE(a_refused_start_near_the_deadline_goes_on_demand) {
  for (const bool isNear : {false, true}) {
    HostPlanner planner;
    HostPlannerInput view;
    view.Offers = {reclaimable("a", 300), reclaimable("b", 300),
                   reclaimable("c", 300), onDemand(1000)};
    view.Capacity = 2;
    view.Deadline = Start + (isNear ? minutes(4) : minutes(60));
    HostPlannerDecision decision = planner.decide({}, view, Start);
    BOOST_REQUIRE_EQUAL(decision.Creates.size(), 3U);
    planner.noteRefused(decision.Creates[0].From, Start);
    decision = planner.decide(decision.Plan, view, Start + seconds(1));
    int creates = 0;
    for (const CreateOrder &it : decision.Creates)
      creates += it.From.IsReclaimable == isNear ? 0 : 1;
    BOOST_CHECK_GT(creates, 0);
    BOOST_CHECK_GE(capacityAfterZoneLoss(mixOf(decision.Plan)), 2);
  }
}

BOOST_AUTO_TEST_CASE(loads_go_by_deadline_and_leave_spare_bandwidth) {
  constexpr std::int64_t Gigabyte = 1000000000;
  const auto load = [](const char *engine, std::int64_t bytes, Duration in) {
    return WeightLoad{UpstreamId(engine), VersionId("v2"), bytes, Start + in};
  };
  const auto plan = planLoads({load("late", 10 * Gigabyte, minutes(10)),
                               load("early", 10 * Gigabyte, minutes(2)),
                               load("never", 900 * Gigabyte, minutes(11))},
                              1e9, Start);
  BOOST_REQUIRE_EQUAL(plan.size(), 3U);
  BOOST_CHECK(plan[0].Load.TargetUpstream == UpstreamId("early"));
  BOOST_CHECK(plan[0].IsInTime);
  BOOST_CHECK(plan[1].IsInTime);
  BOOST_CHECK(!plan[2].IsInTime);
  const auto easy = planLoads({load("a", 10 * Gigabyte, minutes(10)),
                               load("b", 10 * Gigabyte, minutes(10))},
                              1e9, Start);
  BOOST_CHECK(easy[1].IsInTime);
  BOOST_CHECK_GT(toSeconds(easy[1].StartAt - Start), 60);
}

BOOST_AUTO_TEST_CASE(tokens_are_read_back) {
  ClientToken token;
  BOOST_CHECK(parseToken("7-2-3", token));
  BOOST_CHECK(token == (ClientToken{7, 2, 3}));
  BOOST_CHECK_EQUAL(renderToken(token), "7-2-3");
  for (const char *text : {"", "7-2", "7-2-3x", "somebody-elses"})
    BOOST_CHECK(!parseToken(text, token));
}

// The lease's holder fails during an outage of the store. Without the version
// that the holder reported, the other daemons would wait a whole term after the
// outage, and a usage window would be lost.
BOOST_AUTO_TEST_CASE(a_reported_lease_version_counts_as_seen) {
  LeaderLeaseSettings settings;
  settings.Term = seconds(4);
  LeaderLease lease(IncarnationId("me"), settings);
  const Instant now{seconds(100)};
  lease.noteRead({IncarnationId("first"), 5}, now);
  lease.noteReported({IncarnationId("second"), 7}, now + seconds(1));
  lease.noteReported({IncarnationId("first"), 5}, now + seconds(2));
  BOOST_TEST((lease.step(now + seconds(2)) == LeaseStep::None));
  BOOST_TEST((lease.step(now + seconds(4)) != LeaseStep::Write));
  BOOST_TEST((lease.step(now + seconds(5)) == LeaseStep::Write));
  BOOST_TEST(lease.expectedVersion() == 7);
  BOOST_TEST(!lease.isHeld(now + seconds(5)));
}

// A lease renewal takes effect but its reply is lost. The next read must show
// that the lease is still held, counted from the time at which the write was
// sent.
BOOST_AUTO_TEST_CASE(a_lost_renewal_is_found_by_reading) {
  LeaderLease lease(IncarnationId("me"));
  lease.noteRead({}, Start);
  BOOST_CHECK(lease.step(Start) == LeaseStep::Write);
  lease.noteUnknown(Start, Start + seconds(1));
  BOOST_CHECK(!lease.isHeld(Start + seconds(1)));
  BOOST_CHECK(lease.step(Start + seconds(1)) == LeaseStep::Read);
  lease.noteRead({IncarnationId("me"), 1}, Start + seconds(2));
  BOOST_CHECK(lease.isHeld(Start + seconds(2)));
  BOOST_CHECK(lease.isHeld(Start + seconds(8)));
  BOOST_CHECK(!lease.isHeld(Start + milliseconds(9500)));
}

namespace {

struct InjectedFaultRow {
  HostPlannerFault InjectedFault;
  const char *Wanted;
};

std::ostream &operator<<(std::ostream &out, const InjectedFaultRow &row) {
  return out << row.Wanted;
}

const InjectedFaultRow InjectedFaultRows[] = {
    {HostPlannerFault::TokenPerAttempt, "hosts at the end"},
    {HostPlannerFault::NoWaitForOldCommands, "an old command took effect"},
    {HostPlannerFault::OverlappingCommands, "an old command took effect"},
    {HostPlannerFault::CreatesBeforeStored,
     "a host was created that no stored plan"},
};

} // namespace

// Several daemons plan hosts at once, are paused in the middle of a round and
// lose replies; starts are refused and zones reclaimed. A fault would create
// unused hosts or unload a version that callers are sent to.
BOOST_AUTO_TEST_CASE(randomised_planners_create_once_and_never_undo) {
  for (std::uint64_t seed = 1; seed <= soakSeeds(20); ++seed)
    BOOST_CHECK_MESSAGE(
        HostPlannerSimulation(seed, HostPlannerFault::None).run().empty(),
        "seed " << seed << ": "
                << HostPlannerSimulation(seed, HostPlannerFault::None).run());
}

// The same runs with injected faults, which the checks must detect.
BOOST_DATA_TEST_CASE(randomised_planner_faults_are_caught,
                     boost::unit_test::data::make(InjectedFaultRows), row) {
  int caught = 0;
  for (std::uint64_t seed = 1; seed <= soakSeeds(20); ++seed) {
    const std::string broken =
        HostPlannerSimulation(seed, row.InjectedFault).run();
    caught += broken.find(row.Wanted) != std::string::npos ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(row.Wanted << ": " << caught);
  BOOST_CHECK_GT(caught, 0);
}

BOOST_AUTO_TEST_SUITE_END()
