#include "LibDecision/SequentialTest.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

// Half of the weight is on a fault from the start. The rest decreases slowly
// with the interval down to a lower bound, which limits how much longer a very
// late fault takes to find.
static constexpr double FirstStartWeight = 0.5;
static constexpr double MinStartWeight = 1.0 / 2000;
// Keeps the sums finite; far above any threshold.
static constexpr double MaxSum = 1e30;

double logRatioOf(std::uint64_t calls, std::uint64_t bad, double oldRate,
                  double newRate) {
  const auto badCount = static_cast<double>(bad);
  const auto goodCount = static_cast<double>(calls - std::min(bad, calls));
  return badCount * std::log(newRate / oldRate) +
         goodCount * std::log((1 - newRate) / (1 - oldRate));
}

LogRatios logRatiosOf(std::uint64_t calls, std::uint64_t bad, double oldRate) {
  LogRatios out{};
  for (std::size_t n = 0; n < out.size(); ++n) {
    const double odds = OddsRatios[n] * oldRate / (1 - oldRate);
    out[n] = logRatioOf(calls, bad, oldRate, odds / (1 + odds));
  }
  return out;
}

LogRatios operator+(const LogRatios &a, const LogRatios &b) {
  LogRatios out{};
  for (std::size_t n = 0; n < out.size(); ++n)
    out[n] = a[n] + b[n];
  return out;
}

LogRatios operator*(double factor, const LogRatios &ratios) {
  LogRatios out{};
  for (std::size_t n = 0; n < out.size(); ++n)
    out[n] = factor * ratios[n];
  return out;
}

double SequentialTest::startWeight() const {
  if (Intervals == 0)
    return FirstStartWeight;
  const auto n = static_cast<double>(Intervals);
  return std::max(MinStartWeight, (1 - FirstStartWeight) / (n * (n + 1)));
}

void SequentialTest::closeInterval(const LogRatios &interval) {
  const double weight = startWeight();
  for (std::size_t n = 0; n < Sums.size(); ++n)
    Sums[n] = std::min(MaxSum, (Sums[n] + weight) * std::exp(interval[n]));
  ++Intervals;
}

double SequentialTest::value(const LogRatios &open) const {
  const double weight = startWeight();
  double sum = 0;
  for (std::size_t n = 0; n < Sums.size(); ++n)
    sum += OddsWeights[n] * (Sums[n] + weight) * std::exp(open[n]);
  return sum;
}

} // namespace sorrelbay
