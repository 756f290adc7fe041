#include "Experiment.h"
#include "Report.h"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

using namespace sorrelbay;

/// All experiments, in the order in which they run.
static std::vector<Experiment> experiments() {
  return {
      canaryExperiment(),    capacityExperiment(),     placementExperiment(),
      admissionExperiment(), hostPlannerExperiment(),  recoveryExperiment(),
      overloadExperiment(),  shortPromptsExperiment(), placesExperiment(),
  };
}

int main(int argc, char **argv) {
  CLI::App app("Measures sorrelbay's decision code against simple baselines.");
  app.set_version_flag("--version", SORRELBAY_VERSION);
  ExperimentOptions options;
  bool json = false;
  std::string plot;
  std::vector<std::string> names;
  app.add_option("experiments", names,
                 "experiments to run; all of them by default");
  app.add_option("--seeds", options.Seeds,
                 "number of runs, with seeds 1 to this number")
      ->check(CLI::Range(1, 100000));
  app.add_flag("--json", json, "print the figures as one JSON document");
  app.add_option("--plot", plot, "SVG file to write the medians to");
  CLI11_PARSE(app, argc, argv);

  std::vector<Figure> all;
  for (const Experiment &it : experiments()) {
    if (!names.empty() &&
        std::find(names.begin(), names.end(), it.Name) == names.end())
      continue;
    std::vector<Figure> figures = it.Run(options);
    if (!json)
      std::cout << it.Name << ": " << it.Summary << "\n"
                << renderTable(figures) << "\n";
    all.insert(all.end(), figures.begin(), figures.end());
  }
  if (json)
    std::cout << renderJson(all) << "\n";
  if (!plot.empty())
    writePlot(all, plot);
  return 0;
}
