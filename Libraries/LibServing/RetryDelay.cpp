#include "LibServing/RetryDelay.h"
#include <algorithm>

namespace sorrelbay {

/// Callers follow a delay of at most this part of their remaining time.
static constexpr int TimeLeftDivisor = 3;

Duration retryDelay(const RetryDelayInput &input, double fraction) {
  const Duration longest = std::max<Duration>(
      Duration::zero(), std::min(input.TimeLeft / TimeLeftDivisor,
                                 input.TimeLeft - input.OwnTime));
  const double spread =
      toSeconds(std::min(input.Shortest, input.LongestSpread));
  return std::min(longest, input.Shortest + fromSeconds(spread * fraction));
}

} // namespace sorrelbay
