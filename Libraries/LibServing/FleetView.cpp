#include "LibServing/FleetView.h"
#include <algorithm>

namespace sorrelbay {

/// The number of own contributions that are kept. A sum that contains one
/// arrives within a second, in which a host sends a few reports, or more while
/// prompts are large.
static constexpr std::size_t MaxOwnContributions = 64;

SourceId sourceOf(const FleetReport &report) {
  switch (report.Scope) {
  case ReportScope::Zone:
    return SourceId("zone " + report.Zone.text());
  case ReportScope::OtherZones:
    return SourceId("other zones");
  case ReportScope::OwnZone:
    return SourceId("own zone");
  case ReportScope::Host:
    break;
  }
  return SourceId("host " + report.Reporter.text());
}

FleetView::FleetView(FleetViewSettings settings)
    : Settings(std::move(settings)) {}

void FleetView::noteRegistered(const std::vector<FleetMember> &members) {
  HasRegistered = true;
  Registered.clear();
  RegisteredByZone.clear();
  for (const FleetMember &it : members)
    if (it.Host != Settings.Self)
      Registered[it.Host] = it;
  for (const auto &[host, it] : Registered)
    RegisteredByZone[it.Zone].push_back(it);
  for (auto &[zone, hosts] : RegisteredByZone)
    std::sort(hosts.begin(), hosts.end(),
              [](const FleetMember &a, const FleetMember &b) {
                return rankOf(a) < rankOf(b);
              });
  updateAllHosts();
}

void FleetView::updateAllHosts() {
  std::vector<HostId> hosts{Settings.Self};
  hosts.reserve(1 + Registered.size() + Known.size());
  for (const auto &[host, it] : Registered)
    hosts.push_back(host);
  for (const auto &[host, it] : Known)
    if (Registered.count(host) == 0)
      hosts.push_back(host);
  KnownHostCount = hosts.size();
  std::sort(hosts.begin(), hosts.end());
  if (HasRegistered)
    AllHosts = std::move(hosts);
}

bool FleetView::isAggregatedByZone() const {
  return KnownHostCount > Settings.FullMeshHosts;
}

bool FleetView::isForThisHost(const FleetReport &report) const {
  switch (report.Scope) {
  case ReportScope::Host:
    return report.Reporter != Settings.Self;
  case ReportScope::Zone:
    return report.Zone != Settings.Zone;
  case ReportScope::OtherZones:
  case ReportScope::OwnZone:
    return report.Zone == Settings.Zone && report.Reporter != Settings.Self;
  }
  return false;
}

bool FleetView::receive(const FleetReport &report, Instant now) {
  if (!isForThisHost(report))
    return false;
  const SourceId source = sourceOf(report);
  StoredReport &storedReport = Reports[source];
  const bool isSameIncarnation =
      storedReport.Report.Incarnation == report.Incarnation;
  if (isSameIncarnation && report.Sequence <= storedReport.Report.Sequence)
    return false;
  // While two hosts aggregate at the same time, only the first is accepted
  // until it is silent; alternating between two sums would charge the teams
  // twice.
  const bool isSum = report.Scope != ReportScope::Host;
  if (isSum && !isSameIncarnation &&
      now - storedReport.At < Settings.AggregatorTimeout)
    return false;
  updateKnownMembers(report, now);
  noteReporter(report, now);
  if (report.Scope == ReportScope::Host && report.Zone == Settings.Zone)
    ZoneUsed.note(source,
                  {report.Incarnation, report.Used, {}, CounterBaseline::Zero},
                  now);
  // While all hosts have only just started, aggregators change quickly and each
  // sum contains the previous ones. Later a new aggregator may be missing some
  // usage, or include usage that was admitted long ago.
  if (report.Scope == ReportScope::Zone)
    OthersUsed.note(source,
                    {report.Incarnation, report.Used, report.Pace,
                     report.Uptime < Settings.StartupPeriod
                         ? CounterBaseline::PreviousReporter
                         : CounterBaseline::EstimatedFromPace},
                    now);
  storedReport.Report = report;
  storedReport.At = now;
  // The time in transit is not known; it makes statements look newer.
  const Duration clockOffset = now - Instant(Duration(report.SentAt));
  for (LimitStatements *statements :
       {&storedReport.Report.RateLimits, &storedReport.Report.RejectionLimits})
    for (auto &[id, it] : *statements)
      it.At += clockOffset;
  if (report.Scope == ReportScope::OwnZone)
    subtractOwnContribution(storedReport.Report);
  return true;
}

const FleetReport *FleetView::reportOf(const SourceId &source) const {
  const auto it = Reports.find(source);
  return it == Reports.end() ? nullptr : &it->second.Report;
}

/// Subtracts this host's own contribution from a sum over its zone, as of the
/// report that the sum includes. A sum that includes a report of an earlier
/// process contains nothing of this one.
void FleetView::subtractOwnContribution(FleetReport &sum) const {
  const auto included = sum.Included.find(Settings.Self);
  if (included == sum.Included.end())
    return;
  const auto part =
      std::find_if(OwnContributions.begin(), OwnContributions.end(),
                   [&](const OwnContribution &it) {
                     return it.Sequence == included->second;
                   });
  if (part == OwnContributions.end())
    return;
  for (const auto &[id, work] : part->Open) {
    OutstandingWork &it = sum.Open[id];
    it.Calls = std::max(0, it.Calls - work.Calls);
    it.PromptTokens =
        std::max<std::int64_t>(0, it.PromptTokens - work.PromptTokens);
    it.Tokens = std::max<std::int64_t>(0, it.Tokens - work.Tokens);
  }
  for (const auto &[service, rate] : part->Demand)
    sum.Demand[service] = std::max(0.0, sum.Demand[service] - rate);
  for (const auto &[service, rate] : part->ShortDemand)
    sum.ShortDemand[service] = std::max(0.0, sum.ShortDemand[service] - rate);
  for (const auto &[team, units] : part->Used)
    sum.Used[team] -= units;
}

void FleetView::updateKnownMembers(const FleetReport &report, Instant now) {
  const std::size_t before = Known.size();
  for (const FleetMember &it : report.Members) {
    if (it.Host == Settings.Self)
      continue;
    // A host's own report takes precedence over what others report about it.
    const bool isOwnReport = report.Scope == ReportScope::Host;
    const bool isOfSum =
        (report.Scope == ReportScope::OwnZone) == (it.Zone == Settings.Zone);
    if (!isOwnReport && !isOfSum)
      continue;
    KnownMember &known = Known[it.Host];
    const bool isOutranked =
        !isOwnReport && it.Host != report.Reporter &&
        now - known.LastReportAt < Settings.AggregatorTimeout;
    if (isOutranked)
      continue;
    known = {it, now, isOwnReport ? now : known.LastReportAt};
    Ranking.set(it);
  }
  if (Known.size() != before)
    updateAllHosts();
  if (report.Scope == ReportScope::Host || report.Members.empty())
    return;
  // A sum lists all running hosts of the zones that it covers.
  std::set<HostId> listedHosts;
  for (const FleetMember &it : report.Members)
    listedHosts.insert(it.Host);
  for (auto &[host, it] : Known) {
    const ZoneId &zone = it.Member.Zone;
    const bool isCovered = report.Scope == ReportScope::OtherZones
                               ? zone != Settings.Zone
                               : zone == report.Zone;
    if (isCovered && listedHosts.count(host) == 0 &&
        now - it.LastReportAt >= Settings.AggregatorTimeout)
      it.LastSeenAt = std::min(it.LastSeenAt, now - silenceLimitOf(it));
  }
}

/// A sum shows that its reporter, the zone's aggregator, is running.
void FleetView::noteReporter(const FleetReport &report, Instant now) {
  const auto known = Known.find(report.Reporter);
  if (report.Scope != ReportScope::Host && known != Known.end())
    known->second.LastSeenAt = known->second.LastReportAt = now;
}

/// How long a host may be silent before it counts as unreachable. Updates about
/// hosts that are known from sums pass through one or two other hosts and
/// arrive less often.
Duration FleetView::silenceLimitOf(const KnownMember &it) const {
  const bool isReportedDirectly =
      !isAggregatedByZone() || it.LastSeenAt == it.LastReportAt;
  return isReportedDirectly ? Settings.SilenceLimit : Settings.SilenceLimit * 2;
}

bool FleetView::isAnswering(const KnownMember &it, Instant now) const {
  return now - it.LastSeenAt < silenceLimitOf(it);
}

/// Whether the host is included in rankings. A host that reports directly is
/// dropped after a short silence. A host that a sum has listed since its own
/// last report, if any, is kept until the next aggregator has had time to take
/// over.
bool FleetView::isLive(const KnownMember &it, Duration silence,
                       Instant now) const {
  if (now - it.LastSeenAt < silence)
    return true;
  const bool isListedInSum =
      isAggregatedByZone() &&
      it.LastSeenAt - it.LastReportAt >= Settings.AggregatorTimeout;
  return isListedInSum && now - it.LastSeenAt < Settings.SilenceLimit * 2;
}

std::vector<HostId> FleetView::removeSilent(Instant now) {
  std::vector<HostId> removedHosts;
  for (auto it = Known.begin(); it != Known.end();) {
    const Duration silence = now - it->second.LastSeenAt;
    const bool hasDeparted =
        it->second.Member.IsLeaving && silence > Settings.SilenceLimit;
    if (!hasDeparted && silence < Settings.RemovalTimeout) {
      ++it;
      continue;
    }
    removedHosts.push_back(it->first);
    Reports.erase(SourceId("host " + it->first.text()));
    Ranking.erase(it->first);
    it = Known.erase(it);
  }
  if (!removedHosts.empty())
    updateAllHosts();
  for (auto it = Reports.begin(); it != Reports.end();)
    it = now - it->second.At < Settings.RemovalTimeout ? std::next(it)
                                                       : Reports.erase(it);
  return removedHosts;
}

HostRanking::Predicate FleetView::isLiveHost(Duration silence,
                                             Instant now) const {
  return [this, silence, now](const HostId &host) {
    return isLive(Known.at(host), silence, now);
  };
}

/// The number of live hosts of the group that rank before this one, at most
/// `limit`.
std::size_t FleetView::rankInGroup(const FleetMember &self, std::size_t limit,
                                   Instant now) const {
  const auto isLive = isLiveHost(Settings.AggregatorTimeout, now);
  if (isAggregatedByZone())
    return Ranking.countBefore(Settings.Zone, rankOf(self), limit, isLive);
  std::size_t before = 0;
  for (const ZoneId &zone : Ranking.zones())
    before += Ranking.countBefore(zone, rankOf(self), limit - before, isLive);
  return before;
}

/// The host's rank in the whole fleet, at most `limit`. Updates about hosts of
/// other zones arrive about once a second, so those get the longer silence
/// limit.
std::size_t FleetView::rankInFleet(const FleetMember &self, std::size_t limit,
                                   Instant now) const {
  std::size_t before = rankInGroup(self, limit, now);
  if (!isAggregatedByZone())
    return before;
  for (const ZoneId &zone : Ranking.zones())
    if (zone != Settings.Zone)
      before += Ranking.countBefore(
          zone, rankOf(self), limit - before,
          [&](const HostId &host) { return isAnswering(Known.at(host), now); });
  return before;
}

/// Before the first reports arrive every host would rank itself first.
bool FleetView::hasContactedOthers(Instant now) const {
  const Duration age = now - Settings.ProcessStartedAt;
  if (age < Settings.AggregatorTimeout)
    return false;
  return !Known.empty() || Registered.empty() || age >= Settings.StartupPeriod;
}

bool FleetView::aggregates(const FleetMember &self, Instant now) const {
  return hasContactedOthers(now) && !self.IsLeaving &&
         rankInGroup(self, 1, now) == 0;
}

bool FleetView::isAmongFirst(const FleetMember &self, std::size_t count,
                             Instant now) const {
  return hasContactedOthers(now) && !self.IsLeaving &&
         rankInFleet(self, count, now) < count;
}

/// A host that has only just started has seen few others; until then it also
/// counts the registered hosts, or all hosts of a zone would consider
/// themselves collectors.
bool FleetView::collects(const FleetMember &self, Instant now) const {
  if (!isAggregatedByZone() || aggregates(self, now))
    return true;
  const std::size_t limit = Settings.CollectorsPerZone;
  std::size_t before = rankInGroup(self, limit, now);
  if (now - Settings.ProcessStartedAt < Settings.StartupPeriod)
    for (const HostId &it : unseenHostsOf(Settings.Zone, limit, now))
      if (rankOf(Registered.at(it)) < rankOf(self))
        ++before;
  return !self.IsLeaving && before < limit;
}

bool FleetView::isFleetLeader(const FleetMember &self, Instant now) const {
  return aggregates(self, now) && rankInFleet(self, 1, now) == 0;
}

std::vector<HostId> FleetView::reportPeers(const FleetMember &self,
                                           Instant now) const {
  if (collects(self, now))
    return groupPeers();
  std::vector<HostId> out = collectors(now);
  const bool isStarting =
      now - Settings.ProcessStartedAt < Settings.StartupPeriod;
  const std::vector<HostId> unseen =
      isStarting ? unseenHostsOf(Settings.Zone, Settings.CollectorsPerZone, now)
                 : firstAndRotatingHost(Settings.Zone, now);
  out.insert(out.end(), unseen.begin(), unseen.end());
  return out;
}

std::vector<HostId> FleetView::collectors(Instant now) const {
  return Ranking.first(Settings.Zone, Settings.CollectorsPerZone,
                       isLiveHost(Settings.AggregatorTimeout, now));
}

std::vector<HostId> FleetView::groupPeers() const {
  const bool onlyZone = isAggregatedByZone();
  std::set<HostId> out;
  for (const auto &[host, it] : Registered)
    if (!onlyZone || it.Zone == Settings.Zone)
      out.insert(host);
  for (const auto &[host, it] : Known)
    if (!onlyZone || it.Member.Zone == Settings.Zone)
      out.insert(host);
  return {out.begin(), out.end()};
}

std::vector<HostId> FleetView::otherAggregators(Instant now) const {
  std::set<ZoneId> zones;
  for (const auto &[zone, hosts] : RegisteredByZone)
    zones.insert(zone);
  for (const ZoneId &zone : Ranking.zones())
    zones.insert(zone);
  zones.erase(Settings.Zone);
  std::set<HostId> out;
  const auto isLive = isLiveHost(Settings.SilenceLimit * 2, now);
  const std::size_t count = Settings.AggregatorsPerZone;
  for (const ZoneId &zone : zones) {
    // A host that can reach the store again becomes the aggregator before other
    // zones receive its report. Without the second list, its zone would miss
    // the reports sent in the meantime.
    for (const std::vector<HostId> &hosts :
         {Ranking.first(zone, count, isLive),
          Ranking.firstIfReached(zone, count, isLive),
          firstAndRotatingHost(zone, now)})
      out.insert(hosts.begin(), hosts.end());
  }
  return {out.begin(), out.end()};
}

/// The registered hosts of the zone that have not been seen recently, at most
/// `count`, in the order in which they would aggregate.
std::vector<HostId> FleetView::unseenHostsOf(const ZoneId &zone,
                                             std::size_t count,
                                             Instant now) const {
  std::vector<HostId> hosts;
  const auto registered = RegisteredByZone.find(zone);
  if (registered == RegisteredByZone.end())
    return hosts;
  for (const FleetMember &it : registered->second) {
    if (hosts.size() >= count)
      break;
    const auto known = Known.find(it.Host);
    if (known == Known.end() || !isAnswering(known->second, now))
      hosts.push_back(it.Host);
  }
  return hosts;
}

/// The highest-ranked unseen host, plus one of the others in rotation.
/// Otherwise two zones whose aggregators know only lower-ranked hosts of each
/// other would never connect; and hosts that exited long ago stay registered in
/// the store, so the first alone is not enough.
std::vector<HostId> FleetView::firstAndRotatingHost(const ZoneId &zone,
                                                    Instant now) const {
  const std::vector<HostId> unseen =
      unseenHostsOf(zone, Registered.size(), now);
  if (unseen.empty())
    return {};
  const auto turn =
      static_cast<std::size_t>(toSeconds(now.time_since_epoch())) %
      unseen.size();
  std::vector<HostId> out{unseen.front()};
  if (turn != 0)
    out.push_back(unseen[turn]);
  return out;
}

const FleetMember *FleetView::memberOf(const HostId &host) const {
  const auto known = Known.find(host);
  if (known != Known.end())
    return &known->second.Member;
  const auto registered = Registered.find(host);
  return registered == Registered.end() ? nullptr : &registered->second;
}

std::vector<const FleetReport *> FleetView::counted(const FleetMember &self,
                                                    Instant now) const {
  const bool hasZoneSums = isAggregatedByZone();
  const bool isAggregator = hasZoneSums && aggregates(self, now);
  const bool isCollector = collects(self, now);
  const auto counts = [&](const FleetReport &it) {
    switch (it.Scope) {
    case ReportScope::Host:
      return !hasZoneSums || (isCollector && it.Zone == Settings.Zone);
    case ReportScope::OwnZone:
      return hasZoneSums && !isCollector;
    case ReportScope::Zone:
      return isAggregator;
    case ReportScope::OtherZones:
      return hasZoneSums && !isAggregator;
    }
    return false;
  };
  std::vector<const FleetReport *> out;
  for (const auto &[source, storedReport] : Reports)
    if (counts(storedReport.Report))
      out.push_back(&storedReport.Report);
  return out;
}

std::set<SourceId>
FleetView::sourcesExcept(const std::set<SourceId> &some) const {
  std::set<SourceId> out;
  for (const auto &[source, storedReport] : Reports)
    if (some.count(source) == 0)
      out.insert(source);
  return out;
}

static void addTo(DemandByService &sum, const DemandByService &demand) {
  for (const auto &[service, rate] : demand)
    sum[service] += rate;
}

static void addTo(std::map<UpstreamId, OutstandingWork> &sum,
                  const std::map<UpstreamId, OutstandingWork> &open) {
  for (const auto &[id, work] : open) {
    OutstandingWork &it = sum[id];
    it.Calls += work.Calls;
    it.PromptTokens += work.PromptTokens;
    it.Tokens += work.Tokens;
  }
}

/// The median level that the reports give for each team.
static std::map<TeamId, double>
medianLevels(const std::vector<const FleetReport *> &reports) {
  std::map<TeamId, std::vector<double>> all;
  for (const FleetReport *it : reports)
    for (const auto &[team, level] : it->Levels)
      all[team].push_back(level);
  std::map<TeamId, double> out;
  for (auto &[team, levels] : all) {
    const auto middle = levels.begin() + static_cast<long>(levels.size() / 2);
    std::nth_element(levels.begin(), middle, levels.end());
    out[team] = *middle;
  }
  return out;
}

FleetReport FleetView::zoneReport(const FleetReport &own, Instant now) const {
  FleetReport out = own;
  out.Scope = ReportScope::Zone;
  out.Used = ZoneUsed.total();
  out.Pace = ZoneUsed.pace(now);
  std::vector<const FleetReport *> summed{&own};
  for (const auto &[source, storedReport] : Reports) {
    if (storedReport.Report.Scope != ReportScope::Host ||
        storedReport.Report.Zone != Settings.Zone)
      continue;
    summed.push_back(&storedReport.Report);
    addTo(out.Open, storedReport.Report.Open);
    addTo(out.Demand, storedReport.Report.Demand);
    addTo(out.ShortDemand, storedReport.Report.ShortDemand);
    mergeNewest(out.RateLimits, storedReport.Report.RateLimits);
    mergeNewest(out.RejectionLimits, storedReport.Report.RejectionLimits);
    out.Uptime = std::max(out.Uptime, storedReport.Report.Uptime);
  }
  for (const auto &[host, it] : Known)
    if (it.Member.Zone == Settings.Zone &&
        (it.Member.IsLeaving || isAnswering(it, now)))
      out.Members.push_back(it.Member);
  out.Levels = medianLevels(summed);
  return out;
}

FleetReport FleetView::ownZoneReport(const FleetReport &zone) const {
  FleetReport out = zone;
  out.Scope = ReportScope::OwnZone;
  out.Included[zone.Reporter] = zone.Sequence;
  for (const auto &[source, storedReport] : Reports) {
    const FleetReport &it = storedReport.Report;
    if (it.Scope == ReportScope::Host && it.Zone == Settings.Zone)
      out.Included[it.Reporter] = it.Sequence;
  }
  return out;
}

FleetReport FleetView::othersReport(const FleetReport &own, Instant now) const {
  FleetReport out = own;
  out.Scope = ReportScope::OtherZones;
  out.Used = OthersUsed.total();
  out.Pace = OthersUsed.pace(now);
  out.Open.clear();
  out.Demand.clear();
  out.ShortDemand.clear();
  std::vector<const FleetReport *> summed;
  for (const auto &[source, storedReport] : Reports) {
    if (storedReport.Report.Scope != ReportScope::Zone)
      continue;
    summed.push_back(&storedReport.Report);
    addTo(out.Open, storedReport.Report.Open);
    addTo(out.Demand, storedReport.Report.Demand);
    addTo(out.ShortDemand, storedReport.Report.ShortDemand);
    mergeNewest(out.RateLimits, storedReport.Report.RateLimits);
    mergeNewest(out.RejectionLimits, storedReport.Report.RejectionLimits);
    out.Uptime = std::max(out.Uptime, storedReport.Report.Uptime);
  }
  out.Members.clear();
  for (const auto &[host, it] : Known)
    if (it.Member.Zone != Settings.Zone &&
        (it.Member.IsLeaving || isAnswering(it, now)))
      out.Members.push_back(it.Member);
  out.Levels = medianLevels(summed);
  return out;
}

void FleetView::noteOwn(const FleetReport &own, Instant now) {
  ZoneUsed.note(sourceOf(own),
                {own.Incarnation, own.Used, {}, CounterBaseline::Zero}, now);
  OwnContributions.push_back(
      {own.Sequence, own.Open, own.Demand, own.Used, own.ShortDemand});
  if (OwnContributions.size() > MaxOwnContributions)
    OwnContributions.pop_front();
}

bool FleetView::isOfOwnZone(const HostId &host) const {
  const auto it = Known.find(host);
  return host == Settings.Self ||
         (it != Known.end() && it->second.Member.Zone == Settings.Zone);
}

std::vector<HostId> FleetView::servingHosts(const FleetMember &self,
                                            Instant now) const {
  std::vector<HostId> out;
  const auto isServing = [](const FleetMember &it) {
    return it.IsReady && !it.IsLeaving && it.UnreachableServices.empty();
  };
  if (isServing(self))
    out.push_back(Settings.Self);
  for (const auto &[host, it] : Known)
    if (isServing(it.Member) && isAnswering(it, now))
      out.push_back(host);
  std::sort(out.begin(), out.end());
  return out;
}

SendingHosts FleetView::sendingHosts() const {
  SendingHosts out;
  out.Self = Settings.Self;
  out.All.push_back(Settings.Self);
  for (const auto &[host, it] : Known)
    if (!it.Member.IsLeaving)
      out.All.push_back(host);
  std::sort(out.All.begin(), out.All.end());
  out.AreOthersUnknown =
      Known.empty() && (!HasRegistered || !Registered.empty());
  return out;
}

int FleetView::hostCount() const {
  const auto n = std::count_if(Known.begin(), Known.end(), [](const auto &it) {
    return !it.second.Member.IsLeaving;
  });
  return 1 + static_cast<int>(n);
}

bool FleetView::holdsDuties(Instant now) const {
  return std::any_of(Known.begin(), Known.end(), [&](const auto &it) {
    const FleetMember &member = it.second.Member;
    return member.HoldsDuties && !member.IsStoreUnreachable &&
           isAnswering(it.second, now);
  });
}

bool FleetView::hasRecentZoneSum(Instant now) const {
  const auto it = Reports.find(SourceId("own zone"));
  return it != Reports.end() && now - it->second.At < Settings.SilenceLimit;
}

double FleetView::silentFraction(Instant now) const {
  const auto silent =
      std::count_if(Known.begin(), Known.end(), [&](const auto &it) {
        return !it.second.Member.IsLeaving && !isAnswering(it.second, now);
      });
  return static_cast<double>(silent) / hostCount();
}

bool FleetView::hasRecentContact(Duration maxAge, Instant now) const {
  return std::any_of(Known.begin(), Known.end(), [&](const auto &it) {
    return now - it.second.LastSeenAt < maxAge;
  });
}

} // namespace sorrelbay
