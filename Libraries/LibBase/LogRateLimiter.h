#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// How many log lines of one sort may be written: so many a second, and a
/// second's worth at once. What is left out is counted, so that a reader knows
/// that lines are missing. Not thread-safe.
class LogRateLimiter {
public:
  explicit LogRateLimiter(double linesPerSecond)
      : Rate(linesPerSecond), Saved(linesPerSecond) {}

  /// Takes a line out of the budget; false if there is none left.
  bool take(Instant now);
  /// Lines that were left out since this was last asked.
  std::int64_t takeSuppressedCount();

private:
  double Rate;
  double Saved;
  Instant FilledAt{};
  std::int64_t LeftOut = 0;
};

} // namespace sorrelbay
