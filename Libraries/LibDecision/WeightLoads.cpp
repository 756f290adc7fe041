#include "LibDecision/WeightLoads.h"
#include <algorithm>

namespace sorrelbay {

// Factor on the required rate that leaves time to spare before the deadlines.
static constexpr double RateHeadroom = 1.25;

/// The rate in bytes per second at which every load of the sorted list finishes
/// in time.
static double neededRate(const std::vector<WeightLoad> &loads, Instant now) {
  double bytes = 0;
  double rate = 0;
  for (const WeightLoad &it : loads) {
    bytes += static_cast<double>(it.Bytes);
    const double left = std::max(0.001, toSeconds(it.Deadline - now));
    rate = std::max(rate, bytes / left);
  }
  return rate;
}

std::vector<PlannedLoad> planLoads(std::vector<WeightLoad> loads,
                                   double bytesPerSecond, Instant now) {
  std::stable_sort(loads.begin(), loads.end(),
                   [](const WeightLoad &a, const WeightLoad &b) {
                     return a.Deadline < b.Deadline;
                   });
  const double rate =
      std::min(bytesPerSecond, RateHeadroom * neededRate(loads, now));
  std::vector<PlannedLoad> out;
  Instant free = now;
  for (const WeightLoad &it : loads) {
    const auto bytes = static_cast<double>(it.Bytes);
    const Instant finish = free + fromSeconds(bytes / bytesPerSecond);
    out.push_back({it, free, finish, finish <= it.Deadline});
    free += fromSeconds(bytes / rate);
  }
  return out;
}

} // namespace sorrelbay
