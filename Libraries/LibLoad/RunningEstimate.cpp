#include "LibLoad/RunningEstimate.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

/// The gains and the factor of RFC 6298.
static constexpr double MeanGain = 0.125;
static constexpr double DeviationGain = 0.25;
static constexpr double TimeoutDeviations = 4;
static constexpr double UpperBoundDeviations = 2;
/// Values after which the weight of the first one is small.
static constexpr int MinCount = 10;

void RunningEstimate::note(double value) {
  if (!std::isfinite(value) || value < 0)
    return;
  if (Count == 0) {
    Mean = value;
    Deviation = value / 2;
  } else {
    Deviation += DeviationGain * (std::abs(value - Mean) - Deviation);
    Mean += MeanGain * (value - Mean);
  }
  Count = std::min(Count + 1, MinCount);
}

bool RunningEstimate::isKnown() const { return Count >= MinCount; }

double RunningEstimate::upperBound() const {
  return Mean + UpperBoundDeviations * Deviation;
}

double RunningEstimate::timeout() const {
  return Mean + std::max(Mean, TimeoutDeviations * Deviation);
}

} // namespace sorrelbay
