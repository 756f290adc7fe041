#include "LibServing/FleetReportMerger.h"

namespace sorrelbay {

/// Windows of usage that reports carry.
static constexpr std::size_t ReportedWindows = 3;
/// Processes that were started together may be that much apart.
static constexpr Duration StartSpread = seconds(1);

/// The newest few windows.
static std::map<WindowNumber, TeamCounts>
newest(std::map<WindowNumber, TeamCounts> windows) {
  while (windows.size() > ReportedWindows)
    windows.erase(windows.begin());
  return windows;
}

FleetReportMerger::FleetReportMerger(FleetView &view, FleetTables tables,
                                     Instant processStartedAt,
                                     SourceHook onSource)
    : View(view), Tables(tables), ProcessStartedAt(processStartedAt),
      OnSource(std::move(onSource)) {}

void FleetReportMerger::take(const FleetReport &report, const FleetMember &self,
                             Instant now) {
  for (const auto &[window, counts] : report.Usage) {
    if (report.Scope == ReportScope::Host)
      Tables.Usage.noteHost(report.Zone, report.Incarnation, window, counts);
    else if (report.Scope == ReportScope::Zone)
      Tables.Usage.noteZone(report.Zone, window, counts);
    else if (report.Scope == ReportScope::OwnZone)
      Tables.Usage.noteOwnZone(window, counts);
    else
      Tables.Usage.noteOthers(window, counts);
  }
  const FleetReport *known = View.reportOf(sourceOf(report));
  if (known && Counted.count(sourceOf(report)) != 0)
    count(*known, now);
  else
    recount(self, now);
}

void FleetReportMerger::count(const FleetReport &report, Instant now) {
  const SourceId source = sourceOf(report);
  Tables.Replicas.notePeer(source, report.Open);
  Tables.Demand.notePeer(source, report.Demand);
  const bool isSum = report.Scope != ReportScope::Host;
  // What a sum shows when this host begins or ends to aggregate was charged by
  // way of other sums before.
  const bool isCharged = isSum && HasCountedSum && Counted.count(source) == 0;
  HasCountedSum = HasCountedSum || isSum;
  const bool isOlder =
      isCharged || report.Uptime > now - ProcessStartedAt + StartSpread;
  for (const auto &[team, used] : report.Used) {
    PeerUsage use;
    use.Incarnation = report.Incarnation;
    use.Used = used;
    use.IsOlder = isOlder;
    use.IsSum = isSum;
    const auto pace = report.Pace.find(team);
    if (pace != report.Pace.end())
      use.Pace = pace->second;
    const auto level = report.Levels.find(team);
    if (level != report.Levels.end())
      use.Level = level->second;
    Tables.RateLimiters[team].notePeer(source, use, now);
  }
  Tables.Time.notePeer(source, fromEpochMilliseconds(report.FleetTimeMs), now);
  FleetReport &known = Counted[source];
  known.Scope = report.Scope;
  known.Reporter = report.Reporter;
  known.Zone = report.Zone;
}

void FleetReportMerger::drop(const SourceId &source) {
  Tables.Replicas.forgetPeer(source);
  Tables.Demand.forgetPeer(source);
  for (auto &[team, meter] : Tables.RateLimiters)
    meter.dropPeer(source);
  Tables.Time.forgetPeer(source);
}

void FleetReportMerger::recount(const FleetMember &self, Instant now) {
  std::set<SourceId> counting;
  for (const FleetReport *it : View.counted(self, now)) {
    const SourceId source = sourceOf(*it);
    counting.insert(source);
    if (Counted.count(source) != 0)
      continue;
    count(*it, now);
    OnSource(*it, true);
  }
  for (auto it = Counted.begin(); it != Counted.end();) {
    if (counting.count(it->first) != 0) {
      ++it;
      continue;
    }
    OnSource(it->second, false);
    drop(it->first);
    it = Counted.erase(it);
  }
}

void FleetReportMerger::agree(Instant now) {
  for (auto &[team, meter] : Tables.RateLimiters)
    meter.agree(now);
}

void FleetReportMerger::fillOwnReport(FleetReport &report, Instant now) const {
  report.Open = Tables.Replicas.ownWork();
  report.Demand = Tables.Demand.own(now);
  for (const auto &[team, meter] : Tables.RateLimiters) {
    report.Used[team] = meter.used();
    if (const auto level = meter.settledLevel())
      report.Levels[team] = *level;
  }
  report.Usage = newest(Tables.Usage.own());
}

void FleetReportMerger::fillUsage(FleetReport &sum) const {
  sum.Usage =
      newest(sum.Scope == ReportScope::Zone ? Tables.Usage.ownZone()
                                            : Tables.Usage.otherZones());
}

} // namespace sorrelbay
