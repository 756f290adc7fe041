#include "LibServing/FleetReportMerger.h"

namespace sorrelbay {

/// The number of usage windows that a report carries.
static constexpr std::size_t ReportedWindows = 3;
/// Processes that are started together may start this far apart.
static constexpr Duration MaxStartSkew = seconds(1);
/// What is known of crashes is reported this often, as reports may be lost.
static constexpr Duration CrashReportInterval = seconds(1);

/// The newest windows, at most ReportedWindows of them.
static std::map<WindowNumber, TeamCounts>
newestWindows(std::map<WindowNumber, TeamCounts> windows) {
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
  if (!report.Crashes.empty())
    Tables.Quarantine.merge(report.Crashes, Tables.Time.at(now));
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
  const SourceId source = sourceOf(report);
  const FleetReport *known = View.reportOf(source);
  if (known && CountedReports.count(source) != 0)
    applyReport(*known, now);
  else if (UncountedSources.count(source) == 0)
    recount(self, now);
}

void FleetReportMerger::applyReport(const FleetReport &report, Instant now) {
  const SourceId source = sourceOf(report);
  Tables.Replicas.notePeer(source, report.Open);
  for (const auto &[id, statement] : report.RateLimits)
    Tables.Replicas.statements().notePeerRateLimit(id, statement);
  for (const auto &[id, statement] : report.RejectionLimits)
    Tables.Replicas.statements().notePeerRejectionLimit(id, statement);
  Tables.Demand.notePeer(source, report.Demand);
  Tables.ShortDemand.notePeer(source, report.ShortDemand);
  const bool isSum = report.Scope != ReportScope::Host;
  // When this host becomes or stops being an aggregator, the teams have already
  // been charged for the content of a new sum through earlier sums.
  const bool isAlreadyCharged =
      isSum && HasCountedSum && CountedReports.count(source) == 0;
  HasCountedSum = HasCountedSum || isSum;
  FleetReport &known = CountedReports[source];
  // A team that the process has not reported before has used nothing until
  // then.
  const bool isKnownProcess = known.Incarnation == report.Incarnation;
  const bool isOlder = isAlreadyCharged ||
                       (!isKnownProcess &&
                        report.Uptime > now - ProcessStartedAt + MaxStartSkew);
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
  known.Incarnation = report.Incarnation;
  known.Scope = report.Scope;
  known.Reporter = report.Reporter;
  known.Zone = report.Zone;
}

void FleetReportMerger::removeSource(const SourceId &source) {
  Tables.Replicas.forgetPeer(source);
  Tables.Demand.forgetPeer(source);
  Tables.ShortDemand.forgetPeer(source);
  for (auto &[team, limiter] : Tables.RateLimiters)
    limiter.erasePeer(source);
  Tables.Time.forgetPeer(source);
}

void FleetReportMerger::recount(const FleetMember &self, Instant now) {
  ++Recounts;
  Tables.Replicas.statements().setServingHosts(self.Host,
                                               View.servingHosts(self, now));
  Tables.Replicas.statements().setSendingHosts(View.sendingHosts());
  Tables.Replicas.forgetOldStatements(now);
  std::set<SourceId> countedSources;
  for (const FleetReport *it : View.counted(self, now)) {
    const SourceId source = sourceOf(*it);
    countedSources.insert(source);
    if (CountedReports.count(source) != 0)
      continue;
    applyReport(*it, now);
    OnSource(*it, true);
  }
  for (auto it = CountedReports.begin(); it != CountedReports.end();) {
    if (countedSources.count(it->first) != 0) {
      ++it;
      continue;
    }
    OnSource(it->second, false);
    removeSource(it->first);
    it = CountedReports.erase(it);
  }
  UncountedSources = View.sourcesExcept(countedSources);
}

void FleetReportMerger::converge(Instant now) {
  for (auto &[team, limiter] : Tables.RateLimiters)
    limiter.converge(now);
}

void FleetReportMerger::fillOwnReport(FleetReport &report, Instant now) {
  report.Open = Tables.Replicas.ownWork();
  report.Demand = Tables.Demand.own(now);
  report.ShortDemand = Tables.ShortDemand.own(now);
  report.RateLimits = Tables.Replicas.statements().ownRateLimits(now);
  report.RejectionLimits = Tables.Replicas.statements().ownRejectionLimits(now);
  for (const auto &[team, limiter] : Tables.RateLimiters) {
    if (limiter.used() != 0)
      report.Used[team] = limiter.used();
    if (const auto level = limiter.settledLevel())
      report.Levels[team] = *level;
  }
  report.Usage = newestWindows(Tables.Usage.own());
  const std::uint64_t revision = Tables.Quarantine.revision();
  if (revision == ReportedCrashRevision &&
      now - CrashesReportedAt < CrashReportInterval)
    return;
  report.Crashes = Tables.Quarantine.knowledge(Tables.Time.at(now));
  ReportedCrashRevision = revision;
  CrashesReportedAt = now;
}

void FleetReportMerger::fillUsage(FleetReport &sum) const {
  sum.Usage = newestWindows(sum.Scope == ReportScope::OtherZones
                                ? Tables.Usage.otherZones()
                                : Tables.Usage.ownZone());
}

} // namespace sorrelbay
