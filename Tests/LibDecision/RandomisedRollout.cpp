#include "Utilities/sorrelbay-bench/CanaryModel.h"
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace sorrelbay;

namespace {

constexpr std::uint64_t SeedsInCi = 1;

std::uint64_t seedsToRun() {
  const char *wanted = std::getenv("SORRELBAY_SOAK_SEEDS");
  return wanted == nullptr ? SeedsInCi : std::strtoull(wanted, nullptr, 10);
}

/// Adds lost, delayed and repeated gossip, and daemons that restart or pause.
CanaryScenario withFaults(const CanaryScenario &base) {
  CanaryScenario out = base;
  out.EndsWhenRolledBack = true;
  out.After = minutes(5);
  out.GossipLost = 0.2;
  out.GossipRepeated = 0.1;
  out.GossipDelay = milliseconds(300);
  out.Restarts = 0.002;
  out.Pauses = 0.005;
  return out;
}

// A daemon that has not received the veto stops once its peers have not
// answered for a second. The rest of the time allows for lost messages.
constexpr Duration MaxSendAfterVeto = seconds(6);
// A fault that shows at once is found while the share is small. One that shows
// later, or only at a larger share, affects more calls.
constexpr std::uint64_t MaxCallsForImmediateFault = 700;
constexpr std::uint64_t MaxCallsForLateFault = 1200;

/// Returns what is wrong with the rollout, or an empty string.
std::string checkBadRollout(const CanaryFault &fault,
                            const RolloutResult &result) {
  const bool isImmediate = fault.From <= 0 && !fault.OnlyUnderLoad;
  if (!result.IsRolledBack)
    return "not rolled back";
  if (result.CallsToFault >
      (isImmediate ? MaxCallsForImmediateFault : MaxCallsForLateFault))
    return std::to_string(result.CallsToFault) + " calls reached the fault";
  if (result.SentAgainstVeto > 0)
    return "sent by a daemon that had received the veto";
  if (result.LastAfterVeto > MaxSendAfterVeto)
    return "sent " + std::to_string(toMilliseconds(result.LastAfterVeto)) +
           " ms after the veto";
  return "";
}

/// A variant without one mechanism, and a scenario whose check must then fail.
struct VariantRow {
  CanaryVariant Variant;
  CanaryScenario Scenario;
};

std::vector<VariantRow> variantRows() {
  const CanaryScenario base = deploymentScenarios().front();
  CanaryScenario lateFault = withFaults(base);
  lateFault.Fault = {"late", 0.2, 0, 1.05, false, {}};
  CanaryScenario oneRoute = withFaults(base);
  oneRoute.Routes[0].Part = 0.8;
  oneRoute.Routes[1].Part = 0.15;
  oneRoute.Routes[2].Part = 0.05;
  oneRoute.Fault = {"one route", 0.05, 0, 0, false, base.Routes.back().Id};
  CanaryScenario load = withFaults(base);
  load.Fault = {"load", 0.3, 0, 0, true, {}};
  CanaryScenario split = withFaults(base);
  split.Hosts = 24;
  split.Fault = {"split", 0.05, 0, 0, false, {}};
  CanaryScenario paused = withFaults(base);
  paused.Fault = {"paused", 0.5, 0, 0.3, false, {}};
  paused.Pauses = 0.02;
  std::vector<VariantRow> out(5);
  out[0].Variant.Name = "no pooling";
  out[0].Variant.PoolsEvidence = false;
  out[0].Scenario = split;
  out[1].Variant.Name = "not per route";
  out[1].Variant.JudgesPerRoute = false;
  out[1].Scenario = oneRoute;
  out[2].Variant.Name = "no judging after the full share";
  out[2].Variant.JudgesAfterFullShare = false;
  out[2].Scenario = lateFault;
  out[3].Variant.Name = "unpacked canary";
  out[3].Variant.PacksReplicas = false;
  out[3].Scenario = load;
  out[4].Variant.Name = "stale knowledge used";
  out[4].Variant.ChecksStaleness = false;
  out[4].Scenario = paused;
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutRuns)

BOOST_AUTO_TEST_CASE(randomised_bad_versions_reach_few_callers) {
  for (std::uint64_t seed = 1; seed <= seedsToRun(); ++seed)
    for (const CanaryScenario &base : deploymentScenarios())
      for (const CanaryFault &fault : faultsOf(base)) {
        CanaryScenario scenario = withFaults(base);
        scenario.Fault = fault;
        BOOST_TEST_INFO(base.Deployment << ", " << fault.Name << ", seed "
                                        << seed);
        BOOST_CHECK_EQUAL(checkBadRollout(fault, runRollout(scenario, seed)),
                          "");
      }
}

BOOST_AUTO_TEST_CASE(randomised_good_versions_are_rolled_out_in_time) {
  for (std::uint64_t seed = 1; seed <= seedsToRun(); ++seed)
    for (const CanaryScenario &base : deploymentScenarios()) {
      const RolloutResult result = runRollout(withFaults(base), seed);
      BOOST_TEST_INFO(base.Deployment << ", seed " << seed);
      BOOST_CHECK(result.IsInTime);
    }
}

// Each mechanism exists for one kind of fault. Without it, more callers reach
// the faulty version, and the same check must fail.
BOOST_AUTO_TEST_CASE(randomised_variants_fail_the_check) {
  for (const VariantRow &row : variantRows()) {
    BOOST_TEST_INFO(row.Variant.Name);
    std::string fault;
    for (std::uint64_t seed = 1; seed <= 3 && fault.empty(); ++seed) {
      const CanaryFault &cause = row.Scenario.Fault;
      fault =
          checkBadRollout(cause, runRollout(row.Scenario, seed, row.Variant));
      BOOST_CHECK_EQUAL(checkBadRollout(cause, runRollout(row.Scenario, seed)),
                        "");
    }
    BOOST_TEST_MESSAGE(row.Variant.Name << ": " << fault);
    BOOST_CHECK(!fault.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()
