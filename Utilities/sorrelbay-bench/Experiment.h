#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sorrelbay {

/// Options of the command line that apply to every experiment.
struct ExperimentOptions {
  /// Number of runs, with the seeds 1 to Seeds; each run gives one value of
  /// every figure.
  std::uint64_t Seeds = 20;
};

/// One measured quantity under one policy, with its unit and its value for
/// every seed. Aim is the target as text; it is empty for baselines.
struct Figure {
  std::string Deployment;
  std::string Policy;
  std::string Name;
  std::string Unit;
  std::vector<double> Values;
  std::string Aim;
};

/// The median of the values; 0 if there are no values.
double median(std::vector<double> values);

/// An experiment that runs the product's decision code and its baselines with
/// the same seeds.
struct Experiment {
  std::string Name;
  std::string Summary;
  std::function<std::vector<Figure>(const ExperimentOptions &)> Run;
};

/// Each of these functions is defined in the source file of its name.
Experiment canaryExperiment();
Experiment placementExperiment();
Experiment admissionExperiment();
Experiment hostPlannerExperiment();
Experiment recoveryExperiment();
Experiment capacityExperiment();
Experiment overloadExperiment();
Experiment placesExperiment();
Experiment shortPromptsExperiment();

} // namespace sorrelbay
