#include "LibBase/LogRateLimiter.h"
#include <algorithm>

namespace sorrelbay {

bool LogRateLimiter::take(Instant now) {
  if (FilledAt != Instant{})
    Saved = std::min(Rate, Saved + Rate * toSeconds(now - FilledAt));
  FilledAt = now;
  if (Saved < 1) {
    ++LeftOut;
    return false;
  }
  Saved -= 1;
  return true;
}

std::int64_t LogRateLimiter::takeSuppressedCount() {
  const std::int64_t n = LeftOut;
  LeftOut = 0;
  return n;
}

} // namespace sorrelbay
