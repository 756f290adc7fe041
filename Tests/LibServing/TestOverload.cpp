#include "EngineFleet.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace sorrelbay;

namespace {

/// Engines whose bottleneck is prefill and not slots.
EngineProfile prefillBoundEngines() {
  return {38, 4.73, 0.014, 40, 2048, 96, 297000};
}

EngineFleetPlan fleet(double perSecond) {
  EngineFleetPlan plan;
  plan.Make = prefillBoundEngines();
  plan.Kinds = mixedPrompts(perSecond);
  return plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload)

// Callers send nearly twice the prompts that the engines can prefill. If all
// are admitted, each prompt delays those behind it, until callers leave before
// their responses end; if the excess is rejected at once, the rest is answered.
BOOST_AUTO_TEST_CASE(more_prompts_than_engines_can_prefill) {
  EngineFleetPlan plan = fleet(80);
  plan.EnginesPerZone = 1;
  plan.Load = {{0, 0.5}, {8, 0.9}};
  const EngineFleetResult limited = EngineFleet(plan).play();
  plan.RefusesLateCalls = false;
  const EngineFleetResult open = EngineFleet(plan).play();
  BOOST_TEST_MESSAGE("answered " << open.All.answeredShare() << " and "
                                 << limited.All.answeredShare());
  BOOST_TEST(open.All.answeredShare() < 0.5);
  BOOST_TEST(limited.All.answeredShare() > 0.5);
  BOOST_TEST(limited.All.Failed < limited.All.Answered / 4);
}

// In the same overload, large prompts of a kind are rejected no more often than
// its small ones, and urgent kinds no more often than others.
BOOST_AUTO_TEST_CASE(urgent_calls_are_rejected_no_more_often) {
  EngineFleetPlan plan = fleet(80);
  plan.EnginesPerZone = 1;
  plan.Load = {{0, 0.5}, {8, 0.9}};
  const EngineFleetResult result = EngineFleet(plan).play();
  const CallTally &urgent = result.ByKind[1];
  const CallTally &least = result.ByKind[2];
  BOOST_TEST(urgent.answeredShare() > least.answeredShare() - 0.05);
  for (const CallTally &it : result.ByKind)
    BOOST_TEST(it.answeredShare() > 0.25);
}

// At low load few calls are open and most replicas seem idle, so that they are
// removed. The load then rises and zones are reclaimed, and callers wait for
// seconds until other replicas have started.
BOOST_AUTO_TEST_CASE(a_load_peak_and_a_reclaim_after_low_load) {
  EngineFleetPlan plan = fleet(140);
  plan.IsScaled = true;
  plan.Seconds = 50;
  plan.Load = {{0, 0.7}, {28, 1.3}};
  plan.ZoneReclaims = {{30, 2}, {35, 1}};
  const EngineFleetResult result = EngineFleet(plan).play();
  plan.Replicas.TargetPrefillShare = 1e9;
  const EngineFleetResult byCalls = EngineFleet(plan).play();
  BOOST_TEST(result.All.inTimeShare() > 0.85);
  BOOST_TEST(result.All.inTimeShare() > byCalls.All.inTimeShare() + 0.05);
  BOOST_TEST(result.worstSpan() > byCalls.worstSpan());
}

// At a constant low load, replicas that are not needed cost money.
BOOST_AUTO_TEST_CASE(replicas_that_are_not_needed_go) {
  EngineFleetPlan plan = fleet(30);
  plan.IsScaled = true;
  plan.Seconds = 60;
  const EngineFleetResult result = EngineFleet(plan).play();
  BOOST_TEST(result.All.inTimeShare() > 0.95);
  BOOST_TEST(result.EngineSeconds < 0.7 * 18 * 60);
}

// One of many engines becomes five times slower. Its calls are late as long as
// it gets an equal share of them.
BOOST_AUTO_TEST_CASE(one_slow_engine_among_good_ones) {
  EngineFleetPlan plan = fleet(60);
  plan.EnginesPerZone = 3;
  plan.FirstEngineSlowdown = 5;
  const EngineFleetResult result = EngineFleet(plan).play();
  BOOST_TEST(result.All.inTimeShare() > 0.9);
}

// Three in ten of the long calls belong to one conversation. Its affinity
// upstream alone cannot serve them, and if all engines prefilled its prompt
// again, that would exceed their capacity.
BOOST_AUTO_TEST_CASE(a_hot_conversation_spreads_over_several_engines) {
  EngineFleetPlan plan = fleet(100);
  plan.Kinds.push_back({"hot", 18, 2900, 3800, 1, 50, milliseconds(1000), 1});
  const EngineFleetResult result = EngineFleet(plan).play();
  BOOST_TEST(result.ByKind.back().inTimeShare() > 0.85);
  BOOST_TEST(result.All.inTimeShare() > 0.85);
}

namespace {

/// The studios with a burst of long drafts, or with their usual load.
EngineFleetResult studios(double burst, bool reservesEngines) {
  EngineFleetPlan plan = studiosPlan(burst);
  if (!reservesEngines)
    plan.Table.Engines.Partition.ShortPromptTime = Duration::zero();
  return EngineFleet(plan).play();
}

enum StudiosKind { Drafts, Replies, Tags };

} // namespace

// Long drafts arrive at 2.4 times their usual rate. Hosts learn of each other's
// prompts late, so that urgent short prompts are queued behind long ones and
// have their first byte too late. Long prompts that get too few engines would
// be refused.
BOOST_AUTO_TEST_CASE(short_prompts_during_a_burst_of_long_ones) {
  const auto with = studios(2.4, true).ByKindInBurst;
  const auto without = studios(2.4, false).ByKindInBurst;
  BOOST_TEST(with[Replies].inTimeShare() > 0.93);
  BOOST_TEST(with[Replies].inTimeShare() >
             without[Replies].inTimeShare() + 0.15);
  BOOST_TEST(with[Tags].inTimeShare() > without[Tags].inTimeShare() + 0.05);
  BOOST_TEST(with[Drafts].inTimeShare() > 0.8);
  BOOST_TEST(with[Drafts].inTimeShare() > without[Drafts].inTimeShare() - 0.12);
}

// At the usual load nothing has to be separated. Reserved engines must not make
// calls of any class late, for lack of slots or of engines.
BOOST_AUTO_TEST_CASE(reserved_engines_at_the_usual_load) {
  const EngineFleetResult with = studios(1, true);
  const EngineFleetResult without = studios(1, false);
  BOOST_TEST(with.Reserved > 0);
  BOOST_TEST(without.Reserved == 0);
  for (const StudiosKind kind : {Drafts, Replies, Tags})
    BOOST_TEST(with.ByKind[kind].inTimeShare() >
               without.ByKind[kind].inTimeShare() - 0.02);
}

namespace {

struct Shape {
  const char *Name;
  EngineProfile Profile;
  int Zones;
  int EnginesPerZone;
  int Hosts;
  double PerSecond;
};

std::ostream &operator<<(std::ostream &out, const Shape &it) {
  return out << it.Name;
}

const Shape Shapes[] = {
    {"four times slower", {9.6, 19, 0.05, 160, 2048, 96, 297000}, 3, 6, 6, 28},
    {"as measured", {38, 4.73, 0.014, 40, 2048, 96, 297000}, 3, 6, 9, 110},
    {"four times faster", {150, 2.2, 0.0, 53, 2048, 48, 444000}, 4, 2, 7, 120},
    {"few slots", {140, 2.2, 0.0, 53, 2048, 16, 444000}, 4, 4, 7, 110},
    {"one zone", {38, 4.73, 0.014, 40, 2048, 32, 274000}, 1, 12, 6, 80},
    {"six zones", {38, 4.73, 0.014, 40, 512, 64, 274000}, 6, 3, 12, 110},
};

} // namespace

// The settings are used with engines that are several times faster or slower,
// and with other numbers of slots, chunk sizes and zones. Below capacity nearly
// all calls are in time, and far above it some still are.
BOOST_DATA_TEST_CASE(engines_of_any_type, boost::unit_test::data::make(Shapes),
                     shape) {
  EngineFleetPlan plan;
  plan.Make = shape.Profile;
  plan.Zones = shape.Zones;
  plan.EnginesPerZone = shape.EnginesPerZone;
  plan.Hosts = shape.Hosts;
  plan.Kinds = mixedPrompts(shape.PerSecond);
  if (shape.Profile.TokensPerMs < 10)
    for (PromptKind &it : plan.Kinds)
      it.CallerTime *= 4;
  const EngineFleetResult below = EngineFleet(plan).play();
  BOOST_TEST(below.All.answeredShare() > 0.9);
  plan.Load = {{0, 1}, {10, 4}};
  const EngineFleetResult above = EngineFleet(plan).play();
  BOOST_TEST(above.All.answeredShare() > 0.2);
}

BOOST_AUTO_TEST_SUITE_END()
