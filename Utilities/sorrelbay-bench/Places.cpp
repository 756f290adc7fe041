#include "DeskFleet.h"
#include "Experiment.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

namespace {

struct NamedApproach {
  const char *Name;
  PlaceApproach How;
};

const NamedApproach Approaches[] = {{"no limit", PlaceApproach::NoLimit},
                                    {"sorrelbay", PlaceApproach::AdaptiveLimit},
                                    {"leases", PlaceApproach::Leases}};

void addFigures(std::vector<Figure> &figures, const std::string &deployment,
                DeskFleetPlan plan, std::uint64_t seeds) {
  for (const NamedApproach &it : Approaches) {
    const bool isProduct = it.How == PlaceApproach::AdaptiveLimit;
    const auto figure = [&](const char *name, const char *unit,
                            const char *wanted) {
      return Figure{deployment, it.Name, name, unit, {}, wanted};
    };
    Figure answered = figure("calls answered in their callers' time", "%",
                             isProduct ? "most" : "");
    Figure first = figure("first tries answered", "%", "");
    Figure repeats = figure("repeats answered", "%", "");
    Figure small = figure("small teams' calls answered", "%", "");
    Figure rejected = figure("rejected by desks", "%", "");
    Figure inVain = figure("work for callers who had left", "%", "");
    Figure delay = figure("refusal after the last start, p99", "ms", "");
    plan.How = it.How;
    for (plan.Seed = 1; plan.Seed <= seeds; ++plan.Seed) {
      const DeskFleetResult result = DeskFleet(plan).play();
      answered.Values.push_back(100 * result.All.answeredShare());
      first.Values.push_back(100 * result.FirstTries.answeredShare());
      repeats.Values.push_back(100 * result.Repeats.answeredShare());
      small.Values.push_back(100 * result.SmallTeams.answeredShare());
      rejected.Values.push_back(100.0 * result.RejectedByDesks /
                                std::max(1, result.All.Calls));
      inVain.Values.push_back(100 * toSeconds(result.WorkInVain) /
                              std::max(0.001, toSeconds(result.Work)));
      delay.Values.push_back(quantile(result.RefusalDelays, 0.99));
    }
    for (const Figure &all :
         {answered, first, repeats, small, rejected, inVain, delay})
      figures.push_back(all);
  }
}

std::vector<Figure> run(const ExperimentOptions &options) {
  std::vector<Figure> figures;
  for (const int hosts : {6, 68, 350}) {
    const std::string name = std::to_string(hosts) + " hosts";
    DeskFleetPlan mixed;
    mixed.Hosts = hosts;
    mixed.ShortestTime = milliseconds(100);
    mixed.LongestTime = seconds(10);
    mixed.DoCallersReturn = true;
    for (const auto &[load, text] :
         {std::pair(0.7, ", 0.7"), std::pair(1.0, ", 1"),
          std::pair(1.5, ", 1.5"), std::pair(3.0, ", 3")}) {
      DeskFleetPlan plan = mixed;
      plan.Load = load;
      addFigures(figures, name + text, plan, options.Seeds);
    }
    DeskFleetPlan plan = mixed;
    plan.Load = 1.5;
    plan.HasBadReports = true;
    addFigures(figures, name + ", 1.5, bad reports", plan, options.Seeds);
    plan = mixed;
    plan.Load = 1.5;
    plan.EstimateFactor = 2;
    addFigures(figures, name + ", 1.5, estimates twice too long", plan,
               options.Seeds);
    plan.EstimateFactor = 0.5;
    addFigures(figures, name + ", 1.5, estimates half as long", plan,
               options.Seeds);
    plan = mixed;
    plan.Load = 0.7;
    plan.LargeTeam = 10;
    addFigures(figures, name + ", 0.7, one team at ten times", plan,
               options.Seeds);
  }
  return figures;
}

} // namespace

Experiment placesExperiment() {
  return {"places", "limits of the calls that hosts have open at a few desks",
          run};
}

} // namespace sorrelbay
