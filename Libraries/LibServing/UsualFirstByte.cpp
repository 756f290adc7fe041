#include "LibServing/UsualFirstByte.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

/// A response that takes this many times as long as usual is slow.
static constexpr double SlowFactor = 2;
/// Calls before which the usual time is not relied on.
static constexpr int MinCalls = 20;
/// The share by which one call moves the estimate, at first and later.
static constexpr double FirstStep = 0.5;
static constexpr double LastStep = 0.02;

/// Moves the estimate of the median towards the call by a step that does not
/// depend on how far it is off, so that a few very slow calls count no more
/// than slightly slow ones.
void UsualFirstByte::note(const ServiceId &service, const RouteId &route,
                          double multiple) {
  if (!std::isfinite(multiple) || multiple <= 0)
    return;
  Median &median = ByRoute[{service, route}];
  if (median.Calls == 0)
    median.Value = multiple;
  const double step = std::max(LastStep, FirstStep / (1 + median.Calls));
  median.Value *= multiple > median.Value ? 1 + step : 1 / (1 + step);
  median.Calls = std::min(MinCalls * 1000, median.Calls + 1);
}

bool UsualFirstByte::isSlow(const ServiceId &service, const RouteId &route,
                            double multiple) const {
  const auto it = ByRoute.find({service, route});
  return it != ByRoute.end() && it->second.Calls >= MinCalls &&
         multiple > SlowFactor * it->second.Value;
}

} // namespace sorrelbay
