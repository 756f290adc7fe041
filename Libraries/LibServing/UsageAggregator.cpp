#include "LibServing/UsageAggregator.h"
#include <algorithm>

namespace sorrelbay {

/// The pace is measured over PaceSpan from samples taken every SampleInterval.
static constexpr Duration PaceSpan = seconds(1);
static constexpr Duration SampleInterval = milliseconds(200);
/// The longest time between two reporters for which growth is estimated.
static constexpr Duration MaxReporterGap = seconds(5);

/// Handles the first report of another process.
void UsageAggregator::beginIncarnation(Known &known,
                                       const ReportedUsage &usageReport,
                                       Instant now) {
  const bool isFirst = known.Incarnation.empty();
  known.Incarnation = usageReport.Incarnation;
  if (usageReport.From == CounterBaseline::PreviousReporter)
    return;
  known.Used.clear();
  if (usageReport.From == CounterBaseline::Zero)
    return;
  known.Used = usageReport.Used;
  if (isFirst)
    return;
  const double gap = toSeconds(std::min(now - known.At, MaxReporterGap));
  for (const auto &[team, pace] : usageReport.Pace)
    known.Used[team] -= static_cast<UsedUnits>(pace * gap);
}

void UsageAggregator::note(const SourceId &source,
                           const ReportedUsage &usageReport, Instant now) {
  Known &known = Sources[source];
  const bool isFirst = known.Incarnation.empty();
  if (known.Incarnation != usageReport.Incarnation)
    beginIncarnation(known, usageReport, now);
  // What a source counted during a long silence is spread over that time.
  const double spansSinceReport =
      isFirst ? 1 : toSeconds(now - known.At) / toSeconds(PaceSpan);
  known.At = now;
  for (const auto &[team, units] : usageReport.Used) {
    UsedUnits &before = known.Used[team];
    const UsedUnits growth = std::max<UsedUnits>(0, units - before);
    before = units;
    Total[team] += growth;
    // The first report of a source covers its whole lifetime and gives no pace.
    if (!isFirst)
      Grown[team] += static_cast<UsedUnits>(static_cast<double>(growth) /
                                            std::max(1.0, spansSinceReport));
  }
  sample(now);
}

void UsageAggregator::sample(Instant now) {
  if (!Samples.empty() && now - Samples.back().At < SampleInterval)
    return;
  Samples.push_back({now, Grown});
  while (Samples.size() > 1 && now - Samples[1].At >= PaceSpan)
    Samples.pop_front();
}

std::map<TeamId, double> UsageAggregator::pace(Instant now) const {
  std::map<TeamId, double> out;
  if (Samples.empty() || now - Samples.front().At < PaceSpan)
    return out;
  const Sample &from = Samples.front();
  const double span = toSeconds(now - from.At);
  for (const auto &[team, units] : Grown) {
    const auto before = from.Grown.find(team);
    const UsedUnits then = before == from.Grown.end() ? 0 : before->second;
    out[team] = static_cast<double>(units - then) / span;
  }
  return out;
}

} // namespace sorrelbay
