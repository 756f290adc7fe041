#include "LibDecision/DrainRate.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

// Busy seconds after which the weight of a measurement has halved.
static constexpr double HalfLifeSeconds = 5;
// The gains of the TCP round-trip time estimator (RFC 6298).
static constexpr double MeanGain = 0.125;
static constexpr double DeviationGain = 0.25;

DrainRate::DrainRate(double initialRate, Duration initialResponseTime)
    : CompletedCost(initialRate * InitialBusySeconds),
      MeanResponseTime(toSeconds(initialResponseTime)),
      ResponseTimeDeviation(toSeconds(initialResponseTime) / 2) {}

void DrainRate::noteBusyTime(Duration span) {
  const double decay = std::exp2(-toSeconds(span) / HalfLifeSeconds);
  CompletedCost *= decay;
  BusySeconds = BusySeconds * decay + toSeconds(span);
}

void DrainRate::noteResponseTime(Duration responseTime) {
  const double error = toSeconds(responseTime) - MeanResponseTime;
  MeanResponseTime += MeanGain * error;
  ResponseTimeDeviation +=
      DeviationGain * (std::abs(error) - ResponseTimeDeviation);
}

double DrainRate::rate() const {
  constexpr double MinRate = 0.01;
  return std::max(MinRate, CompletedCost / BusySeconds);
}

Duration DrainRate::responseTime(double deviations) const {
  return fromSeconds(MeanResponseTime + deviations * ResponseTimeDeviation);
}

} // namespace sorrelbay
