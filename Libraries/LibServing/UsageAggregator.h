#pragma once

#include "LibBase/Identifier.h"
#include "LibServing/TeamRateLimiter.h"
#include <deque>
#include <map>

namespace sorrelbay {

/// From where a source's counters are added when another process begins to
/// tell them.
enum class CountFrom {
  /// They began at zero with the process.
  Zero,
  /// They go on where the last reporter's ended.
  Known,
  /// What they show was reported by others before; what came since the last
  /// word of
  /// those is taken from the new reporter's pace.
  Now,
};

/// What a source tells.
struct ReportedUsage {
  IncarnationId Incarnation;
  std::map<TeamId, UsedUnits> Used;
  /// Units a second of late, where the reporter knows them.
  std::map<TeamId, double> Pace;
  CountFrom From = CountFrom::Zero;
};

/// Adds up what several sources let in, as one counter that only grows: a
/// source that goes, or begins anew, must not make the sum fall, because those
/// who hear the sum charge the teams with its growth.
class UsageAggregator {
public:
  /// A source has reported its counters.
  void note(const SourceId &source, const ReportedUsage &told, Instant now);
  const std::map<TeamId, UsedUnits> &total() const { return Total; }
  /// How fast the sum grew in the last second or so, in units a second; empty
  /// before it was seen for that long.
  std::map<TeamId, double> pace(Instant now) const;

private:
  struct Known {
    IncarnationId Incarnation;
    std::map<TeamId, UsedUnits> Used;
    Instant At{};
  };
  struct Sample {
    Instant At{};
    std::map<TeamId, UsedUnits> Grown;
  };

  static void begin(Known &known, const ReportedUsage &told, Instant now);
  void sample(Instant now);

  std::map<SourceId, Known> Sources;
  std::map<TeamId, UsedUnits> Total;
  /// The same without what sources had counted before they were first heard.
  std::map<TeamId, UsedUnits> Grown;
  /// Of the last second or so, the oldest first.
  std::deque<Sample> Samples;
};

} // namespace sorrelbay
