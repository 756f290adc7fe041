#pragma once

#include <chrono>
#include <cstdint>

namespace sorrelbay {

/// A duration in microseconds.
using Duration = std::chrono::microseconds;
/// A point in time since the epoch. Decision code takes it as a parameter; only
/// the daemons and tools read a clock.
using Instant = std::chrono::time_point<std::chrono::system_clock, Duration>;

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// The current time of the wall clock, for daemons and tools only.
inline Instant now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

/// Converts to whole milliseconds, truncated.
inline std::int64_t toMilliseconds(Duration span) {
  return duration_cast<milliseconds>(span).count();
}

/// Converts to seconds, with fractions.
inline double toSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// Converts from seconds, truncated to microseconds.
inline Duration fromSeconds(double n) {
  return duration_cast<Duration>(std::chrono::duration<double>(n));
}

/// Converts to milliseconds since the epoch, the format of points in time in
/// messages.
inline std::int64_t toEpochMilliseconds(Instant at) {
  return toMilliseconds(at.time_since_epoch());
}

/// The inverse of toEpochMilliseconds.
inline Instant fromEpochMilliseconds(std::int64_t n) {
  return Instant(milliseconds(n));
}

} // namespace sorrelbay
