#include "LibServing/UsageAggregator.h"
#include <algorithm>

namespace sorrelbay {

/// The pace is that of so long, looked at so often.
static constexpr Duration PaceSpan = seconds(1);
static constexpr Duration SampleGap = milliseconds(200);
/// Between two reporters a source is believed to have gone on for so long at
/// the most.
static constexpr Duration LongestGap = seconds(5);

/// Another process tells from now on.
void UsageAggregator::begin(Known &known, const ReportedUsage &told,
                            Instant now) {
  const bool isFirst = known.Incarnation.empty();
  known.Incarnation = told.Incarnation;
  if (told.From == CountFrom::Known)
    return;
  known.Used.clear();
  if (told.From == CountFrom::Zero)
    return;
  known.Used = told.Used;
  if (isFirst)
    return;
  const double gap = toSeconds(std::min(now - known.At, LongestGap));
  for (const auto &[team, pace] : told.Pace)
    known.Used[team] -= static_cast<UsedUnits>(pace * gap);
}

void UsageAggregator::note(const SourceId &source, const ReportedUsage &told,
                           Instant now) {
  Known &known = Sources[source];
  const bool isFirst = known.Incarnation.empty();
  if (known.Incarnation != told.Incarnation)
    begin(known, told, now);
  // What a source that was silent for long has counted came over all that time.
  const double late =
      isFirst ? 1 : toSeconds(now - known.At) / toSeconds(PaceSpan);
  known.At = now;
  for (const auto &[team, units] : told.Used) {
    UsedUnits &before = known.Used[team];
    const UsedUnits growth = std::max<UsedUnits>(0, units - before);
    before = units;
    Total[team] += growth;
    // The first word of a source tells of its whole life and of no pace.
    if (!isFirst)
      Grown[team] += static_cast<UsedUnits>(static_cast<double>(growth) /
                                            std::max(1.0, late));
  }
  sample(now);
}

void UsageAggregator::sample(Instant now) {
  if (!Samples.empty() && now - Samples.back().At < SampleGap)
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
