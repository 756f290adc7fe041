#pragma once

#include "LibBase/Time.h"
#include "LibServing/FleetReport.h"

namespace sorrelbay {

/// Leaves out reports that repeat the one before, as long as their receivers
/// don't take the silence for a failure. Each message wakes its receiver; in a
/// large fleet, most hosts have nothing new several times a second. Not
/// thread-safe.
class RepeatFilter {
public:
  /// Whether the report is to be sent: it has other work, usage, members or
  /// statements than the last one that was sent, or that was a while ago. It
  /// then counts as sent. Levels and demand change all the time and wait.
  bool isNeeded(const FleetReport &report, Instant now);

private:
  FleetReport Sent;
  Instant SentAt{};
};

} // namespace sorrelbay
