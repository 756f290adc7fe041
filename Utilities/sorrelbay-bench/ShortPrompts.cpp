#include "EngineFleet.h"
#include "Experiment.h"

namespace sorrelbay {

namespace {

/// A policy, as a change to the settings of the reserved engines.
struct Policy {
  std::string Name;
  std::function<void(PromptPartitionSettings &)> Apply;
};

std::vector<Policy> policies() {
  return {
      {"sorrelbay", [](PromptPartitionSettings &) {}},
      {"no reserved engines",
       [](PromptPartitionSettings &it) {
         it.ShortPromptTime = Duration::zero();
       }},
      {"short up to 25 ms",
       [](PromptPartitionSettings &it) {
         it.ShortPromptTime = milliseconds(25);
       }},
      {"utilization 25%",
       [](PromptPartitionSettings &it) {
         it.TargetUtilization = 0.25;
         it.MaxUtilization = 0.325;
       }},
      {"always preferred",
       [](PromptPartitionSettings &it) { it.MinOthersWaitPrompts = 0; }},
      {"never preferred",
       [](PromptPartitionSettings &it) { it.MaxExtraWaitPrompts = 0; }},
  };
}

std::vector<Figure> run(const ExperimentOptions &options) {
  std::vector<Figure> figures;
  for (const double burst : {1.0, 2.4})
    for (const Policy &policy : policies()) {
      const std::string deployment =
          burst > 1 ? "studios, burst" : "studios, usual";
      const std::size_t first = figures.size();
      for (const PromptKind &kind : studiosPlan(burst).Kinds) {
        const bool isAim = policy.Name == "sorrelbay";
        figures.push_back({deployment,
                           policy.Name,
                           kind.Name + " in time",
                           "%",
                           {},
                           isAim ? "most" : ""});
        figures.push_back({deployment,
                           policy.Name,
                           kind.Name + " 90th percentile",
                           "ms",
                           {},
                           ""});
      }
      for (std::uint64_t seed = 1; seed <= options.Seeds; ++seed) {
        EngineFleetPlan plan = studiosPlan(burst);
        plan.Seed = seed;
        policy.Apply(plan.Table.Engines.Partition);
        const EngineFleetResult result = EngineFleet(plan).play();
        const auto &tallies = burst > 1 ? result.ByKindInBurst : result.ByKind;
        for (std::size_t kind = 0; kind < tallies.size(); ++kind) {
          figures[first + 2 * kind].Values.push_back(
              100 * tallies[kind].inTimeShare());
          figures[first + 2 * kind + 1].Values.push_back(
              tallies[kind].firstTokenMs(0.9));
        }
      }
    }
  return figures;
}

} // namespace

Experiment shortPromptsExperiment() {
  return {"short-prompts",
          "engines reserved for short prompts, while long ones arrive in a "
          "burst",
          run};
}

} // namespace sorrelbay
