#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sorrelbay {

/// What the command line asks of an experiment.
struct ExperimentOptions {
  /// Seeds 1 to Seeds are run; each gives one value of every figure.
  std::uint64_t Seeds = 20;
};

/// One figure under one policy: its value for every seed, with its unit. The
/// aim is text for the reader, empty where the row is a baseline's.
struct Figure {
  std::string Deployment;
  std::string Policy;
  std::string Name;
  std::string Unit;
  std::vector<double> Values;
  std::string Aim;
};

/// The median of the values; 0 if there are none.
double median(std::vector<double> values);

/// An experiment that drives the product's decision code, and its baselines on
/// the same seeds.
struct Experiment {
  std::string Name;
  std::string Summary;
  std::function<std::vector<Figure>(const ExperimentOptions &)> Run;
};

/// Each experiment is made by a function in the file pair of its name.
Experiment canaryExperiment();
Experiment placementExperiment();
Experiment admissionExperiment();
Experiment hostPlannerExperiment();
Experiment recoveryExperiment();
Experiment capacityExperiment();
Experiment overloadExperiment();

} // namespace sorrelbay
