#pragma once

#include "LibBase/Identifier.h"
#include "LibServing/TeamRateLimiter.h"
#include <deque>
#include <map>

namespace sorrelbay {

/// The value from which a source's counters are added up when another process
/// starts to report them.
enum class CounterBaseline {
  /// Zero: the counters started with the process.
  Zero,
  /// The last value of the previous reporter, whose counters are continued.
  PreviousReporter,
  /// The counters contain what others reported before. Only the growth since
  /// the previous reporter's last report is added, estimated from the new
  /// reporter's pace.
  EstimatedFromPace,
};

/// What a source reports.
struct ReportedUsage {
  IncarnationId Incarnation;
  std::map<TeamId, UsedUnits> Used;
  /// The recent growth in units per second, where the reporter has measured it.
  std::map<TeamId, double> Pace;
  CounterBaseline From = CounterBaseline::Zero;
};

/// Adds up the admitted units of several sources into counters that never
/// decrease. The receivers charge the teams for a counter's growth, so a source
/// that disappears or restarts must not reduce it.
class UsageAggregator {
public:
  /// Adds the counters that a source has reported.
  void note(const SourceId &source, const ReportedUsage &usageReport,
            Instant now);
  const std::map<TeamId, UsedUnits> &total() const { return Total; }
  /// How fast the total grew in the last second or so, in units per second;
  /// empty until that much time has been covered.
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

  static void beginIncarnation(Known &known, const ReportedUsage &usageReport,
                               Instant now);
  void sample(Instant now);

  std::map<SourceId, Known> Sources;
  std::map<TeamId, UsedUnits> Total;
  /// Like Total, but without what sources had counted before their first
  /// report.
  std::map<TeamId, UsedUnits> Grown;
  /// Samples of the last second or so, oldest first.
  std::deque<Sample> Samples;
};

} // namespace sorrelbay
