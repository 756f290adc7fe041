#include "LibServing/AllotmentReserve.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

/// The largest fraction of the burst that is reserved. With more, the least
/// urgent calls of a team that resumes after a pause would hardly get a burst.
static constexpr double MaxBurstShare = 0.5;

/// The time in which a difference to the required level is to be evened out.
/// Much less than the lag of reports would let the level oscillate.
static constexpr double SettlingSeconds = 2;
/// The range of the desired pace, as a fraction of the rate.
static constexpr double MinDesiredPace = 0.3;
static constexpr double MaxDesiredPace = 1.3;
/// Below this fraction of the rate, the pace says little.
static constexpr double MinPace = 0.1;
/// The range of the ratio of the two paces that is used in one step.
static constexpr double MinPaceRatio = 0.4;
static constexpr double MaxPaceRatio = 1.3;
/// The exponents with which the ratio is applied per step. Growth is slower,
/// since the pace that results from it is known only a second later.
static constexpr double ShrinkExponent = 0.2;
static constexpr double GrowthExponent = 0.1;
static constexpr double MinFraction = 0.02;

double AllotmentReserve::requiredLevel(int rank, std::int64_t rate,
                                       std::int64_t burst) const {
  const CallClass of = callClass();
  if (of.Count <= 1)
    return 0;
  const double reserve = std::min(Seconds * static_cast<double>(rate),
                                  MaxBurstShare * static_cast<double>(burst));
  return reserve * std::clamp(rank, 0, of.Count - 1) / (of.Count - 1);
}

double AllotmentReserve::nextFraction(double fraction, int rank,
                                      const BucketState &bucket,
                                      double steps) const {
  const auto rate = static_cast<double>(bucket.Rate);
  const double above =
      bucket.Level - requiredLevel(rank, bucket.Rate, bucket.Burst);
  const double desired = rate * std::clamp(1 + above / (SettlingSeconds * rate),
                                           MinDesiredPace, MaxDesiredPace);
  const double ratio =
      std::clamp(desired / std::max(bucket.Pace, MinPace * rate), MinPaceRatio,
                 MaxPaceRatio);
  if (ratio < 1)
    return std::max(MinFraction,
                    fraction * std::pow(ratio, ShrinkExponent * steps));
  // While the class is refused, the pace doesn't show what its fraction yields.
  if (above <= 0)
    return fraction;
  return std::min(1.0, fraction * std::pow(ratio, GrowthExponent * steps));
}

} // namespace sorrelbay
