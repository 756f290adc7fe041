#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// A token bucket that limits the rate of log lines of one kind, in lines per
/// second, with a burst of one second. Suppressed lines are counted, so that
/// their number can be logged. Not thread-safe.
class LogRateLimiter {
public:
  explicit LogRateLimiter(double linesPerSecond)
      : Rate(linesPerSecond), AvailableLines(linesPerSecond) {}

  /// Consumes one token of the bucket; returns false if none is left, in which
  /// case the line must not be logged.
  bool take(Instant now);
  /// The number of lines suppressed since the previous call.
  std::int64_t takeSuppressedCount();

private:
  double Rate;
  double AvailableLines;
  Instant LastRefill{};
  std::int64_t SuppressedCount = 0;
};

} // namespace sorrelbay
