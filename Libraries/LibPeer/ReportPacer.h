#pragma once

#include "LibBase/Time.h"
#include <algorithm>
#include <cstddef>

namespace sorrelbay {

/// Limits the bytes a second that a stream of reports takes at each receiver. A
/// report is due while the bytes of those before it are paid for, and at the
/// latest after a given time, since receivers take a longer silence for a
/// failure. While reports are small each one is due.
class ReportPacer {
public:
  ReportPacer(double bytesPerSecond, Duration longestPause)
      : BytesPerSecond(bytesPerSecond), LongestPause(longestPause) {}

  bool isDue(Instant now) const {
    return now >= PaidAt || now - SentAt >= LongestPause;
  }
  /// Records that a report of that size was sent.
  void noteSent(std::size_t bytes, Instant now) {
    const double span = static_cast<double>(bytes) / BytesPerSecond;
    PaidAt = std::max(PaidAt, SentAt) + fromSeconds(span);
    PaidAt = std::clamp(PaidAt, now - LongestPause, now + LongestPause);
    SentAt = now;
  }

private:
  double BytesPerSecond;
  Duration LongestPause;
  Instant SentAt{};
  /// When the bytes that were sent are paid for.
  Instant PaidAt{};
};

} // namespace sorrelbay
