#include "LibBase/LogRateLimiter.h"
#include <algorithm>

namespace sorrelbay {

bool LogRateLimiter::take(Instant now) {
  if (LastRefill != Instant{})
    AvailableLines =
        std::min(Rate, AvailableLines + Rate * toSeconds(now - LastRefill));
  LastRefill = now;
  if (AvailableLines < 1) {
    ++SuppressedCount;
    return false;
  }
  AvailableLines -= 1;
  return true;
}

std::int64_t LogRateLimiter::takeSuppressedCount() {
  const std::int64_t n = SuppressedCount;
  SuppressedCount = 0;
  return n;
}

} // namespace sorrelbay
