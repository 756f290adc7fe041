#include "CanaryModel.h"
#include "Experiment.h"
#include <algorithm>
#include <cmath>
#include <future>
#include <map>

namespace sorrelbay {

namespace {

constexpr std::uint64_t BadRolloutsPerSeed = 3;
constexpr std::uint64_t GoodRolloutsPerSeed = 5;
constexpr std::uint64_t ConcurrentSeeds = 4;
constexpr double Alpha = 0.01;
constexpr double Percent = 100;

/// Failure rate of a version that fails five times as often as usual, for which
/// sequentialBound() is computed.
constexpr double ReferenceRate = 0.05;
const char *const ReferenceFault = "5% failures";

/// A measured policy: the product's, or a baseline.
struct MeasuredPolicy {
  std::string Name;
  std::function<RolloutResult(const CanaryScenario &, std::uint64_t)> Run;
};

/// Four stages of equal length; rolled back at more than three times the usual
/// rates.
BaselinePolicy fixedLadder() {
  constexpr std::uint64_t MinJudgedCalls = 100;
  constexpr double MaxFailureRate = 0.03;
  constexpr double MaxLateRate = 0.12;
  BaselinePolicy out;
  out.Share = [](double elapsedShare) {
    constexpr double Shares[] = {0.05, 0.25, 0.5, 1};
    const auto stage = static_cast<std::size_t>(elapsedShare * 4);
    return Shares[std::min<std::size_t>(stage, 3)];
  };
  out.IsBad = [](const EvidenceCount &seen) {
    const auto calls = static_cast<double>(seen.Calls);
    if (seen.Calls < MinJudgedCalls)
      return false;
    return static_cast<double>(seen.Failures) > MaxFailureRate * calls ||
           static_cast<double>(seen.Late) > MaxLateRate * calls;
  };
  return out;
}

BaselinePolicy noCanary() {
  BaselinePolicy out;
  out.Share = [](double) { return 1.0; };
  out.IsBad = [](const EvidenceCount &) { return false; };
  return out;
}

std::vector<MeasuredPolicy> policies() {
  const auto whole = [](const CanaryScenario &scenario, std::uint64_t seed) {
    return runRollout(scenario, seed);
  };
  const auto ladder = [](const CanaryScenario &scenario, std::uint64_t seed) {
    return runBaseline(scenario, seed, fixedLadder());
  };
  const auto none = [](const CanaryScenario &scenario, std::uint64_t seed) {
    return runBaseline(scenario, seed, noCanary());
  };
  return {{"sequential test", whole},
          {"fixed ladder", ladder},
          {"no canary", none}};
}

/// Lower bound on the expected number of calls after which any test with the
/// error rate Alpha can distinguish the two failure rates.
double sequentialBound(double good, double bad) {
  const double divergence =
      bad * std::log(bad / good) + (1 - bad) * std::log((1 - bad) / (1 - good));
  return std::log(1 / Alpha) / divergence;
}

/// The values of one seed by the name of the figure.
using SeedValues = std::map<std::string, double>;

void runBadRollouts(const CanaryScenario &base, const MeasuredPolicy &policy,
                    std::uint64_t seed, SeedValues &values) {
  for (const CanaryFault &fault : faultsOf(base)) {
    CanaryScenario scenario = base;
    scenario.Fault = fault;
    scenario.EndsWhenRolledBack = true;
    const double calls = scenario.CallsPerSecond * toSeconds(scenario.Deadline);
    for (std::uint64_t n = 0; n < BadRolloutsPerSeed; ++n) {
      const RolloutResult result =
          policy.Run(scenario, seed * BadRolloutsPerSeed + n);
      const auto toFault = static_cast<double>(result.CallsToFault);
      const auto toNew = static_cast<double>(result.CallsToNew);
      const double rolloutWeight =
          1.0 / static_cast<double>(BadRolloutsPerSeed);
      values["calls to it, " + fault.Name] += toFault * rolloutWeight;
      values["share of the move, " + fault.Name] +=
          Percent * toNew / calls * rolloutWeight;
      if (fault.Name == ReferenceFault)
        values["calls to it / bound"] +=
            toFault * rolloutWeight /
            sequentialBound(scenario.BaseFailureRate, ReferenceRate);
      double &latest = values["last call after the evidence"];
      latest = std::max(latest, toSeconds(result.LastAfterEvidence));
      values["bad versions taken back"] +=
          result.IsRolledBack ? Percent * rolloutWeight /
                                    static_cast<double>(faultsOf(base).size())
                              : 0;
    }
  }
}

void runGoodRollouts(const CanaryScenario &base, const MeasuredPolicy &policy,
                     std::uint64_t seed, SeedValues &values) {
  for (std::uint64_t n = 0; n < GoodRolloutsPerSeed; ++n) {
    CanaryScenario scenario = base;
    // In every second rollout a zone's reclaim makes both versions late.
    if (n % 2 == 1) {
      scenario.SlowFrom = 0.3;
      scenario.SlowUntil = 0.45;
    }
    const RolloutResult result =
        policy.Run(scenario, seed * GoodRolloutsPerSeed + n);
    const double rolloutWeight =
        Percent / static_cast<double>(GoodRolloutsPerSeed);
    values["good versions taken back"] +=
        result.IsRolledBack ? rolloutWeight : 0;
    values["of these for want of evidence"] +=
        result.IsRolledBackForDeadline ? rolloutWeight : 0;
    values["good versions in time"] += result.IsInTime ? rolloutWeight : 0;
    values["forced steps of a good version"] +=
        static_cast<double>(result.ForcedSteps) /
        static_cast<double>(GoodRolloutsPerSeed);
  }
}

SeedValues runSeed(const CanaryScenario &base, const MeasuredPolicy &policy,
                   std::uint64_t seed) {
  SeedValues values;
  runBadRollouts(base, policy, seed, values);
  runGoodRollouts(base, policy, seed, values);
  return values;
}

struct FigureAim {
  const char *Prefix;
  const char *Unit;
  const char *Aim;
};

const FigureAim FigureAims[] = {
    {"calls to it / bound", "", "at most 1.5"},
    {"calls to it", "calls", ""},
    {"share of the move", "%", "at most 2"},
    {"last call after the evidence", "s", "at most 1"},
    {"bad versions taken back", "%", "100"},
    {"good versions taken back", "%", "mean at most 1"},
    {"good versions in time", "%", "mean at least 99"},
    {"of these", "%", ""},
    {"forced steps", "steps", ""},
};

Figure figureOf(const std::string &deployment, const std::string &policy,
                const std::string &name) {
  for (const FigureAim &it : FigureAims)
    if (name.rfind(it.Prefix, 0) == 0)
      return {deployment, policy, name, it.Unit, {}, it.Aim};
  return {deployment, policy, name, "", {}, ""};
}

std::vector<SeedValues> runSeeds(const CanaryScenario &base,
                                 const MeasuredPolicy &policy,
                                 std::uint64_t seeds) {
  std::vector<SeedValues> out(seeds);
  std::vector<std::future<void>> workers;
  for (std::uint64_t first = 0; first < ConcurrentSeeds; ++first)
    workers.push_back(std::async(std::launch::async, [&, first] {
      for (std::uint64_t n = first; n < seeds; n += ConcurrentSeeds)
        out[n] = runSeed(base, policy, n + 1);
    }));
  for (std::future<void> &it : workers)
    it.get();
  return out;
}

std::vector<Figure> runCanary(const ExperimentOptions &options) {
  std::vector<Figure> out;
  for (const CanaryScenario &base : deploymentScenarios())
    for (const MeasuredPolicy &policy : policies()) {
      const std::vector<SeedValues> seeds =
          runSeeds(base, policy, options.Seeds);
      for (const auto &entry : seeds.front()) {
        Figure figure = figureOf(base.Deployment, policy.Name, entry.first);
        for (const SeedValues &it : seeds)
          figure.Values.push_back(it.at(entry.first));
        out.push_back(std::move(figure));
      }
    }
  return out;
}

} // namespace

Experiment canaryExperiment() {
  return {"canary",
          "calls sent to bad versions, and good versions rolled out in time",
          runCanary};
}

} // namespace sorrelbay
