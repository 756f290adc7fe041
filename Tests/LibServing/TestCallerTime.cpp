#include "DeskFleet.h"
#include "EngineFleet.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace sorrelbay;

namespace {

EngineFleetPlan randomEngines(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  EngineFleetPlan plan;
  plan.Make = {38, 4.73, 0.014, 40, 2048, 96, 297000};
  plan.Kinds = mixedPrompts(30 + static_cast<double>(random() % 120));
  plan.Hosts = 1 + static_cast<int>(random() % 9);
  plan.EnginesPerZone = 1;
  plan.Seconds = 15;
  plan.DoCallersReturn = true;
  for (PromptKind &it : plan.Kinds)
    it.CallerTime = milliseconds(1500 + random() % 9000);
  plan.Seed = seed;
  return plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_time)

// An operator states a shorter latency target, and calls whose callers would
// have waited are refused, or others are served before them.
BOOST_AUTO_TEST_CASE(randomised_latency_targets_change_no_decision) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    EngineFleetPlan plan = randomEngines(seed);
    const EngineFleetResult usual = EngineFleet(plan).play();
    BOOST_TEST(usual.Decisions.size() > 300U);
    for (const double factor : {0.1, 10.0}) {
      EngineFleetPlan scaled = plan;
      for (PromptKind &it : scaled.Kinds)
        it.Target = fromSeconds(toSeconds(it.Target) * factor);
      BOOST_TEST((EngineFleet(scaled).play().Decisions == usual.Decisions),
                 "seed " << seed << ", targets times " << factor);
    }
  }
}

// Under overload most calls are refused or answered too late, and nobody is
// served although the engines work all the time.
BOOST_AUTO_TEST_CASE(engines_serve_callers_beyond_their_capacity) {
  for (const double load : {1.0, 1.5, 3.0})
    for (const double factor : {0.5, 1.0, 2.0}) {
      EngineFleetPlan plan;
      plan.Make = {38, 4.73, 0.014, 40, 2048, 96, 297000};
      plan.Kinds = mixedPrompts(75 * load);
      plan.Kinds[1].CallerTime = milliseconds(2500);
      plan.Hosts = 9;
      plan.EnginesPerZone = 2;
      plan.Seconds = 20;
      plan.EstimateFactor = factor;
      const EngineFleetResult result = EngineFleet(plan).play();
      BOOST_TEST(result.All.answeredShare() * load > 0.5,
                 "load " << load << ", estimates times " << factor << ": "
                         << result.All.answeredShare());
      BOOST_TEST(result.TokensInVain < 0.2 * result.TokensOfWork);
      for (const CallTally &it : result.ByKind)
        BOOST_TEST(it.answeredShare() * load > 0.125);
    }
}

// The same at desks, whose callers have from a tenth of a second to ten.
BOOST_AUTO_TEST_CASE(desks_serve_callers_beyond_their_capacity) {
  for (const double load : {1.0, 1.5, 3.0})
    for (const double factor : {0.5, 1.0, 2.0}) {
      DeskFleetPlan plan;
      plan.How = PlaceApproach::AdaptiveLimit;
      plan.Load = load;
      plan.EstimateFactor = factor;
      plan.ShortestTime = milliseconds(100);
      plan.LongestTime = seconds(10);
      plan.HasBadReports = factor != 1;
      const DeskFleetResult result = DeskFleet(plan).play();
      BOOST_TEST(result.All.answeredShare() * load > 0.8,
                 "load " << load << ", estimates times " << factor << ": "
                         << result.All.answeredShare());
      BOOST_TEST(result.SmallTeams.answeredShare() >
                 0.95 * result.All.answeredShare());
      BOOST_TEST((result.WorkInVain * 50 < result.Work));
    }
}

// A caller that returns after a refusal has less time left, and no less chance
// than any other caller with that time.
BOOST_AUTO_TEST_CASE(callers_that_return_are_served) {
  DeskFleetPlan plan;
  plan.How = PlaceApproach::AdaptiveLimit;
  plan.Load = 1.5;
  plan.DoCallersReturn = true;
  const DeskFleetResult result = DeskFleet(plan).play();
  BOOST_TEST(result.Repeats.Calls > 1000);
  BOOST_TEST(result.Repeats.answeredShare() > 0.1);
}

BOOST_AUTO_TEST_SUITE_END()
