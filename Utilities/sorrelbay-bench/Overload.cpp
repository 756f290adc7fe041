#include "EngineFleet.h"
#include "Experiment.h"
#include <algorithm>

namespace sorrelbay {

namespace {

/// A simulated deployment and its load.
struct OverloadCase {
  std::string Deployment;
  EngineFleetPlan Plan;
};

/// A policy, as a change to the plan of a simulation.
struct Policy {
  std::string Name;
  std::function<void(EngineFleetPlan &)> Apply;
};

EngineFleetPlan planOf(const EngineProfile &profile, int hosts, int engines,
                       double perSecond) {
  EngineFleetPlan plan;
  plan.Make = profile;
  plan.Hosts = hosts;
  plan.EnginesPerZone = engines;
  plan.Kinds = mixedPrompts(perSecond);
  return plan;
}

/// The callers of one class have little time, and all callers return once.
EngineFleetPlan mixedTimesPlan(const EngineProfile &profile, double load) {
  EngineFleetPlan plan = planOf(profile, 9, 2, 75 * load);
  plan.Kinds[0].CallerTime = seconds(10);
  plan.Kinds[1].CallerTime = milliseconds(2500);
  plan.Kinds[2].CallerTime = seconds(8);
  plan.DoCallersReturn = true;
  return plan;
}

EngineFleetPlan estimating(const EngineProfile &profile, double factor) {
  EngineFleetPlan plan = mixedTimesPlan(profile, 1.5);
  plan.EstimateFactor = factor;
  return plan;
}

std::vector<OverloadCase> overloadCases() {
  const EngineProfile slow{38, 4.73, 0.014, 40, 2048, 96, 297000};
  const EngineProfile fast{140, 2.2, 0, 53, 2048, 48, 444000};
  EngineFleetPlan burstPlan = planOf(slow, 6, 6, 140);
  burstPlan.IsScaled = true;
  burstPlan.Seconds = 50;
  burstPlan.Load = {{0, 0.7}, {28, 1.3}};
  burstPlan.ZoneReclaims = {{30, 2}, {35, 1}};
  return {{"below capacity", planOf(slow, 9, 4, 110)},
          {"near capacity", planOf(slow, 9, 3, 110)},
          {"1.5 times", planOf(slow, 9, 2, 110)},
          {"fast engines", planOf(fast, 7, 1, 110)},
          {"rush, reclaims", burstPlan},
          {"mixed times, 0.7", mixedTimesPlan(slow, 0.7)},
          {"mixed times, 1", mixedTimesPlan(slow, 1)},
          {"mixed times, 1.5", mixedTimesPlan(slow, 1.5)},
          {"mixed times, 3", mixedTimesPlan(slow, 3)},
          {"1.5, estimates twice too long", estimating(slow, 2)},
          {"1.5, estimates half as long", estimating(slow, 0.5)}};
}

std::vector<Policy> policies() {
  return {
      {"sorrelbay", [](EngineFleetPlan &) {}},
      {"admits all calls",
       [](EngineFleetPlan &plan) { plan.RefusesLateCalls = false; }},
      {"no prefill target",
       [](EngineFleetPlan &plan) { plan.Replicas.TargetPrefillShare = 1e9; }},
      {"no cost tolerance",
       [](EngineFleetPlan &plan) {
         plan.Table.Engines.CostTolerance = 0;
         plan.Table.Engines.CostToleranceShare = 0;
       }},
      {"prefill weight 1",
       [](EngineFleetPlan &plan) { plan.Table.Engines.PrefillWeight = 1; }},
      {"open call weight 0",
       [](EngineFleetPlan &plan) { plan.Table.Engines.OpenCallWeight = 0; }},
  };
}

double leastAnswered(const std::vector<CallTally> &tallies) {
  double least = 1;
  for (const CallTally &it : tallies)
    least = std::min(least, it.answeredShare());
  return least;
}

std::vector<Figure> run(const ExperimentOptions &options) {
  std::vector<Figure> figures;
  for (const OverloadCase &overloadCase : overloadCases())
    for (const Policy &policy : policies()) {
      const bool isProductPolicy = policy.Name == "sorrelbay";
      const auto figure = [&](const char *name, const char *unit,
                              const char *wanted) {
        return Figure{
            overloadCase.Deployment, policy.Name, name, unit, {}, wanted};
      };
      Figure answered = figure("calls answered in their callers' time", "%",
                               isProductPolicy ? "most" : "");
      Figure repeats = figure("repeats answered", "%", "");
      Figure leastServed = figure("least answered class", "%", "");
      Figure largest = figure("least answered class of large prompts", "%", "");
      Figure inVain = figure("tokens for callers who had left", "%", "");
      Figure inTime = figure("calls in time", "%", "");
      Figure recomputedShared{overloadCase.Deployment,
                              policy.Name,
                              "shared tokens prefilled",
                              "million",
                              {},
                              ""};
      for (std::uint64_t seed = 1; seed <= options.Seeds; ++seed) {
        EngineFleetPlan plan = overloadCase.Plan;
        plan.Seed = seed;
        policy.Apply(plan);
        const EngineFleetResult result = EngineFleet(plan).play();
        inTime.Values.push_back(100 * result.All.inTimeShare());
        answered.Values.push_back(100 * result.All.answeredShare());
        repeats.Values.push_back(100 * result.Repeats.answeredShare());
        leastServed.Values.push_back(100 * leastAnswered(result.ByKind));
        largest.Values.push_back(100 * leastAnswered(result.LargestByKind));
        inVain.Values.push_back(100 * result.TokensInVain /
                                std::max(1.0, result.TokensOfWork));
        recomputedShared.Values.push_back(
            static_cast<double>(result.RecomputedSharedTokens) / 1e6);
      }
      for (const Figure &it :
           {answered, repeats, leastServed, largest, inVain, inTime})
        figures.push_back(it);
      figures.push_back(recomputedShared);
    }
  return figures;
}

} // namespace

Experiment overloadExperiment() {
  return {"overload",
          "placement, admission and autoscaling where prefill limits the "
          "throughput",
          run};
}

} // namespace sorrelbay
