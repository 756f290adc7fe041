#include "LibDecision/DrainRate.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

// Half of a measurement's weight is left after so many busy seconds.
static constexpr double HalfLifeSeconds = 5;
// The gains of the usual round-trip estimator of TCP (RFC 6298).
static constexpr double MeanGain = 0.125;
static constexpr double DeviationGain = 0.25;

DrainRate::DrainRate(double initialRate, Duration initialResponseTime)
    : Work(initialRate * InitialBusySeconds),
      MeanResponseTime(toSeconds(initialResponseTime)),
      ResponseTimeDeviation(toSeconds(initialResponseTime) / 2) {}

void DrainRate::noteBusyTime(Duration span) {
  const double kept = std::exp2(-toSeconds(span) / HalfLifeSeconds);
  Work *= kept;
  BusySeconds = BusySeconds * kept + toSeconds(span);
}

void DrainRate::noteResponseTime(Duration hold) {
  const double error = toSeconds(hold) - MeanResponseTime;
  MeanResponseTime += MeanGain * error;
  ResponseTimeDeviation +=
      DeviationGain * (std::abs(error) - ResponseTimeDeviation);
}

double DrainRate::rate() const {
  constexpr double LeastRate = 0.01;
  return std::max(LeastRate, Work / BusySeconds);
}

Duration DrainRate::hold(double deviations) const {
  return fromSeconds(MeanResponseTime + deviations * ResponseTimeDeviation);
}

} // namespace sorrelbay
