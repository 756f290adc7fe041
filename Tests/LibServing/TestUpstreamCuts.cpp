#include "../LibDecision/SoakSeeds.h"
#include "UpstreamCutSimulation.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

struct Fleet {
  int Hosts;
  int Zones;
};

const Fleet Fleets[] = {{6, 4}, {24, 4}};
const CutManner Manners[] = {CutManner::Hang, CutManner::Reset,
                             CutManner::RefuseNew};

const char *toText(CutExtent extent) {
  switch (extent) {
  case CutExtent::ThirdOfHosts:
    return "a third of the hosts";
  case CutExtent::Zone:
    return "a zone";
  case CutExtent::AllButOne:
    return "all but one";
  case CutExtent::OneService:
    return "one service";
  case CutExtent::AllUpstreams:
    return "all upstreams";
  }
  return "";
}

const char *toText(CutManner manner) {
  switch (manner) {
  case CutManner::Hang:
    return "hang";
  case CutManner::Reset:
    return "reset";
  case CutManner::RefuseNew:
    return "refuse new";
  }
  return "";
}

/// Runs the plan with each manner and fleet, and with the seeds of this run.
void simulateAll(UpstreamCutPlan plan) {
  for (const Fleet &fleet : Fleets)
    for (const CutManner manner : Manners)
      for (std::uint64_t seed = 1; seed <= soakSeeds(1); ++seed) {
        plan.Seed = seed;
        plan.Hosts = fleet.Hosts;
        plan.Zones = fleet.Zones;
        plan.Manner = manner;
        UpstreamCutSimulation simulation(plan);
        const std::string violation = simulation.simulate();
        BOOST_TEST(violation == "", toText(plan.Extent)
                                        << ", " << toText(manner) << ", "
                                        << fleet.Hosts << " hosts, seed "
                                        << seed << ": " << violation);
        BOOST_TEST_MESSAGE(toText(plan.Extent)
                           << ", " << toText(manner) << ", " << fleet.Hosts
                           << " hosts: " << simulation.failedTries() << " of "
                           << simulation.countedTries()
                           << " first tries failed, "
                           << simulation.relayedCalls() << " calls relayed");
      }
}

UpstreamCutPlan planOf(CutExtent extent) {
  UpstreamCutPlan plan;
  plan.Extent = extent;
  return plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_cuts)

// Hosts lose the path to all upstreams, and their callers are refused although
// other hosts could serve them.
BOOST_AUTO_TEST_CASE(randomised_callers_of_cut_hosts_are_served) {
  for (const CutExtent it :
       {CutExtent::ThirdOfHosts, CutExtent::Zone, CutExtent::AllButOne})
    simulateAll(planOf(it));
}

// A host that starts while it is cut off has never reached an upstream.
BOOST_AUTO_TEST_CASE(randomised_cuts_at_the_start) {
  UpstreamCutPlan plan = planOf(CutExtent::ThirdOfHosts);
  plan.BeginsAtStart = true;
  simulateAll(plan);
}

// Hosts that calls are relayed to are killed.
BOOST_AUTO_TEST_CASE(randomised_cuts_with_kills) {
  UpstreamCutPlan plan = planOf(CutExtent::ThirdOfHosts);
  plan.HasKills = true;
  simulateAll(plan);
}

// A host that is cut off from one service must go on serving the other.
BOOST_AUTO_TEST_CASE(randomised_cuts_from_one_service) {
  simulateAll(planOf(CutExtent::OneService));
}

// All upstreams are down. Hosts that passed calls on to each other would only
// multiply them.
BOOST_AUTO_TEST_CASE(randomised_outages_of_all_upstreams_relay_nothing) {
  simulateAll(planOf(CutExtent::AllUpstreams));
}

// The checks must notice that hosts take no measures, and what is left if they
// only lead callers elsewhere: callers keep addresses.
BOOST_AUTO_TEST_CASE(each_measure_is_needed) {
  struct Case {
    CutMeasures Measures;
    const char *Name;
  };
  const Case cases[] = {{{false, false, true}, "no measure"},
                        {{true, false, true}, "lookups"},
                        {{false, true, true}, "relays"},
                        {{true, true, true}, "both"}};
  for (const CutExtent extent :
       {CutExtent::ThirdOfHosts, CutExtent::Zone, CutExtent::AllButOne})
    for (const Fleet &fleet : Fleets)
      for (const Case &it : cases) {
        UpstreamCutPlan plan = planOf(extent);
        plan.Seed = 1;
        plan.Hosts = fleet.Hosts;
        plan.Zones = fleet.Zones;
        plan.Measures = it.Measures;
        plan.GoesOnAfterViolation = true;
        UpstreamCutSimulation simulation(plan);
        const std::string violation = simulation.simulate();
        BOOST_TEST_MESSAGE(toText(extent)
                           << ", " << fleet.Hosts << " hosts, " << it.Name
                           << ": " << simulation.failedTries() << " of "
                           << simulation.countedTries()
                           << " first tries failed, "
                           << simulation.relayedCalls() << " calls relayed; "
                           << violation);
        if (!it.Measures.LeavesLookups && !it.Measures.RelaysCalls)
          BOOST_TEST(violation.find("RECOVER") == 0, violation);
      }
}

// Failures of a cut host that counted against a version would roll it back.
BOOST_AUTO_TEST_CASE(failures_that_are_not_deferred_are_noticed) {
  UpstreamCutPlan plan = planOf(CutExtent::ThirdOfHosts);
  plan.Seed = 1;
  plan.Measures.DefersFailures = false;
  BOOST_TEST(UpstreamCutSimulation(plan).simulate().find("JUDGED") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
