#include "LibServing/FleetView.h"
#include <algorithm>

namespace sorrelbay {

/// Own reports that are kept: a sum comes back within a second, and a host
/// reports a few times in that time, or more often while prompts are large.
static constexpr std::size_t MostOwnParts = 64;

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

/// The order in which hosts aggregate: the largest first, those that are cut
/// off from the store last. Where the store is away all are; somebody has to
/// tell other zones all the same, or each zone would give out the whole of a
/// team's allotment.
static bool ranksBefore(const FleetMember &a, const FleetMember &b) {
  if (a.IsStoreUnreachable != b.IsStoreUnreachable)
    return b.IsStoreUnreachable;
  return a.Capacity != b.Capacity ? a.Capacity > b.Capacity : a.Host < b.Host;
}

FleetView::FleetView(FleetViewSettings settings)
    : Settings(std::move(settings)) {}

void FleetView::noteRegistered(const std::vector<FleetMember> &members) {
  HasRegistered = true;
  Registered.clear();
  for (const FleetMember &it : members)
    if (it.Host != Settings.Self)
      Registered[it.Host] = it;
  countHosts();
}

void FleetView::countHosts() {
  HostsSeen = 1 + Registered.size();
  for (const auto &[host, it] : Known)
    if (Registered.count(host) == 0)
      ++HostsSeen;
}

bool FleetView::isAggregatedByZone() const {
  return HostsSeen > Settings.FullMeshHosts;
}

bool FleetView::isForUs(const FleetReport &report) const {
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
  if (!isForUs(report))
    return false;
  const SourceId source = sourceOf(report);
  Heard &heard = Reports[source];
  const bool isSameLife = heard.Report.Incarnation == report.Incarnation;
  if (isSameLife && report.Sequence <= heard.Report.Sequence)
    return false;
  // Of two that aggregate at the same time the first is believed until it is
  // silent; going to and fro between two sums would charge the teams twice.
  const bool isSum = report.Scope != ReportScope::Host;
  if (isSum && !isSameLife && now - heard.At < Settings.AggregatorTimeout)
    return false;
  noteMembers(report, now);
  if (report.Scope == ReportScope::Host && report.Zone == Settings.Zone)
    ZoneUsed.note(source,
                  {report.Incarnation, report.Used, {}, CountFrom::Zero}, now);
  // While all hosts are young those that aggregate change quickly, and each sum
  // holds the ones before it. Later a new aggregator may know of less, or of
  // more that was let in long ago.
  if (report.Scope == ReportScope::Zone)
    OthersUsed.note(source,
                    {report.Incarnation, report.Used, report.Pace,
                     report.Uptime < Settings.StartupPeriod ? CountFrom::Known
                                                            : CountFrom::Now},
                    now);
  heard.Report = report;
  heard.At = now;
  if (report.Scope == ReportScope::OwnZone)
    takeOutOwn(heard.Report);
  return true;
}

const FleetReport *FleetView::reportOf(const SourceId &source) const {
  const auto it = Reports.find(source);
  return it == Reports.end() ? nullptr : &it->second.Report;
}

/// Takes this host's own part out of a sum over its zone, as it was in the
/// report that the sum holds. A sum that holds a report of an earlier process
/// holds nothing of this one.
void FleetView::takeOutOwn(FleetReport &sum) const {
  const auto included = sum.Included.find(Settings.Self);
  if (included == sum.Included.end())
    return;
  const auto part =
      std::find_if(OwnParts.begin(), OwnParts.end(), [&](const OwnPart &it) {
        return it.Sequence == included->second;
      });
  if (part == OwnParts.end())
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
  for (const auto &[team, units] : part->Used)
    sum.Used[team] -= units;
}

void FleetView::noteMembers(const FleetReport &report, Instant now) {
  const std::size_t before = Known.size();
  for (const FleetMember &it : report.Members) {
    if (it.Host == Settings.Self)
      continue;
    // A host's own word goes before what others say of it.
    const bool isOwnWord = report.Scope == ReportScope::Host;
    const bool isOfSum =
        (report.Scope == ReportScope::OwnZone) == (it.Zone == Settings.Zone);
    if (!isOwnWord && !isOfSum)
      continue;
    KnownMember &known = Known[it.Host];
    if (isOwnWord)
      known = {it, now, now};
    else if (now - known.LastReportAt >= Settings.AggregatorTimeout)
      known = {it, now, known.LastReportAt};
  }
  if (Known.size() != before)
    countHosts();
  if (report.Scope == ReportScope::Host || report.Members.empty())
    return;
  // A sum names all that still answer there.
  std::set<HostId> named;
  for (const FleetMember &it : report.Members)
    named.insert(it.Host);
  for (auto &[host, it] : Known) {
    const ZoneId &zone = it.Member.Zone;
    const bool isCovered = report.Scope == ReportScope::OtherZones
                               ? zone != Settings.Zone
                               : zone == report.Zone;
    if (isCovered && named.count(host) == 0 &&
        now - it.LastReportAt >= Settings.AggregatorTimeout)
      it.LastSeenAt = std::min(it.LastSeenAt, now - silenceOf(it));
  }
}

/// How long a host may be silent before it counts as not answering. Of hosts
/// that are known by sums news comes by one or two others and less often.
Duration FleetView::silenceOf(const KnownMember &it) const {
  const bool isByOwnWord =
      !isAggregatedByZone() || it.LastSeenAt == it.LastReportAt;
  return isByOwnWord ? Settings.Silence : Settings.Silence * 2;
}

bool FleetView::isAnswering(const KnownMember &it, Instant now) const {
  return now - it.LastSeenAt < silenceOf(it);
}

/// Whether the host counts where hosts are ranked. One that speaks to this host
/// is silent after a short time; of one that a sum has named since it spoke
/// last, if it ever did, the word of the sum counts until the next aggregator
/// has had the time to begin.
bool FleetView::isLive(const KnownMember &it, Duration silence,
                       Instant now) const {
  if (now - it.LastSeenAt < silence)
    return true;
  const bool isNamed =
      isAggregatedByZone() &&
      it.LastSeenAt - it.LastReportAt >= Settings.AggregatorTimeout;
  return isNamed && now - it.LastSeenAt < Settings.Silence * 2;
}

std::vector<HostId> FleetView::removeSilent(Instant now) {
  std::vector<HostId> gone;
  for (auto it = Known.begin(); it != Known.end();) {
    const Duration silence = now - it->second.LastSeenAt;
    const bool isLeft =
        it->second.Member.IsLeaving && silence > Settings.Silence;
    if (!isLeft && silence < Settings.Gone) {
      ++it;
      continue;
    }
    gone.push_back(it->first);
    Reports.erase(SourceId("host " + it->first.text()));
    it = Known.erase(it);
  }
  if (!gone.empty())
    countHosts();
  for (auto it = Reports.begin(); it != Reports.end();)
    it =
        now - it->second.At < Settings.Gone ? std::next(it) : Reports.erase(it);
  return gone;
}

/// The hosts that may aggregate, of the zone or of all, the first first.
std::vector<FleetMember> FleetView::ranked(const ZoneId *zone, Duration silence,
                                           Instant now) const {
  std::vector<FleetMember> out;
  for (const auto &[host, it] : Known) {
    const bool isOfGroup = !zone || it.Member.Zone == *zone;
    if (isOfGroup && isLive(it, silence, now) && !it.Member.IsLeaving)
      out.push_back(it.Member);
  }
  std::sort(out.begin(), out.end(), ranksBefore);
  return out;
}

std::size_t FleetView::placeInGroup(const FleetMember &self,
                                    Instant now) const {
  const bool zoned = isAggregatedByZone();
  return static_cast<std::size_t>(
      std::count_if(Known.begin(), Known.end(), [&](const auto &known) {
        const KnownMember &it = known.second;
        const bool isOfGroup = !zoned || it.Member.Zone == Settings.Zone;
        return isOfGroup && !it.Member.IsLeaving &&
               isLive(it, Settings.AggregatorTimeout, now) &&
               ranksBefore(it.Member, self);
      }));
}

/// The same among all hosts; of other zones' hosts news comes once a second.
std::size_t FleetView::placeOfAll(const FleetMember &self, Instant now) const {
  const auto others =
      std::count_if(Known.begin(), Known.end(), [&](const auto &known) {
        const KnownMember &it = known.second;
        return it.Member.Zone != Settings.Zone && !it.Member.IsLeaving &&
               isAnswering(it, now) && ranksBefore(it.Member, self);
      });
  return placeInGroup(self, now) +
         (isAggregatedByZone() ? static_cast<std::size_t>(others) : 0);
}

/// Before it has heard of the others each host is the first that it knows of.
bool FleetView::hasHeardOthers(Instant now) const {
  const Duration age = now - Settings.ProcessStartedAt;
  if (age < Settings.AggregatorTimeout)
    return false;
  return !Known.empty() || Registered.empty() || age >= Settings.StartupPeriod;
}

bool FleetView::aggregates(const FleetMember &self, Instant now) const {
  return hasHeardOthers(now) && !self.IsLeaving && placeInGroup(self, now) == 0;
}

bool FleetView::isAmongFirst(const FleetMember &self, std::size_t count,
                             Instant now) const {
  return hasHeardOthers(now) && !self.IsLeaving &&
         placeOfAll(self, now) < count;
}

/// A host that has only just started has heard of few; those that have
/// registered then count, or all hosts of a zone would take themselves for the
/// first.
bool FleetView::collects(const FleetMember &self, Instant now) const {
  if (!isAggregatedByZone() || aggregates(self, now))
    return true;
  std::size_t before = placeInGroup(self, now);
  if (now - Settings.ProcessStartedAt < Settings.StartupPeriod)
    for (const FleetMember &it : unheardOf(Settings.Zone, now))
      if (ranksBefore(it, self))
        ++before;
  return !self.IsLeaving && before < Settings.CollectorsPerZone;
}

bool FleetView::leads(const FleetMember &self, Instant now) const {
  return aggregates(self, now) && placeOfAll(self, now) == 0;
}

std::vector<HostId> FleetView::reportPeers(const FleetMember &self,
                                           Instant now) const {
  if (collects(self, now))
    return groupPeers();
  std::vector<HostId> out = collectors(now);
  const auto unheard = unheardOf(Settings.Zone, now);
  if (now - Settings.ProcessStartedAt >= Settings.StartupPeriod) {
    const auto some = someOf(unheard, now);
    out.insert(out.end(), some.begin(), some.end());
    return out;
  }
  for (std::size_t n = 0; n < unheard.size() && n < Settings.CollectorsPerZone;
       ++n)
    out.push_back(unheard[n].Host);
  return out;
}

std::vector<HostId> FleetView::collectors(Instant now) const {
  std::vector<HostId> out;
  const auto live = ranked(&Settings.Zone, Settings.AggregatorTimeout, now);
  for (std::size_t n = 0; n < live.size() && n < Settings.CollectorsPerZone;
       ++n)
    out.push_back(live[n].Host);
  return out;
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
  for (const auto &[host, it] : Registered)
    zones.insert(it.Zone);
  for (const auto &[host, it] : Known)
    zones.insert(it.Member.Zone);
  zones.erase(Settings.Zone);
  std::set<HostId> out;
  const auto addFirst = [&](const std::vector<FleetMember> &hosts) {
    for (std::size_t n = 0; n < hosts.size() && n < Settings.AggregatorsPerZone;
         ++n)
      out.insert(hosts[n].Host);
  };
  for (const ZoneId &zone : zones) {
    auto heard = ranked(&zone, Settings.Silence * 2, now);
    addFirst(heard);
    // Hosts that were cut off aggregate again before other zones hear that they
    // reach the store; what they were not told, their zone would not hear.
    for (FleetMember &it : heard)
      it.IsStoreUnreachable = false;
    std::sort(heard.begin(), heard.end(), ranksBefore);
    addFirst(heard);
    const auto unheard = someOf(unheardOf(zone, now), now);
    out.insert(unheard.begin(), unheard.end());
  }
  return {out.begin(), out.end()};
}

/// Hosts of the zone that have registered and weren't heard of, in the order in
/// which they would aggregate.
std::vector<FleetMember> FleetView::unheardOf(const ZoneId &zone,
                                              Instant now) const {
  std::vector<FleetMember> hosts;
  for (const auto &[host, it] : Registered) {
    const auto known = Known.find(host);
    const bool isHeard =
        known != Known.end() && isAnswering(known->second, now);
    if (it.Zone == zone && !isHeard)
      hosts.push_back(it);
  }
  std::sort(hosts.begin(), hosts.end(), ranksBefore);
  return hosts;
}

/// The one that would aggregate first, and the others by turns. Two zones whose
/// aggregators know only of each other's lesser hosts would never come to know
/// each other; and entries of hosts that are long gone stay in the store.
std::vector<HostId> FleetView::someOf(const std::vector<FleetMember> &unheard,
                                      Instant now) {
  if (unheard.empty())
    return {};
  const auto turn =
      static_cast<std::size_t>(toSeconds(now.time_since_epoch())) %
      unheard.size();
  std::vector<HostId> out{unheard.front().Host};
  if (turn != 0)
    out.push_back(unheard[turn].Host);
  return out;
}

std::string FleetView::peerAddressOf(const HostId &host) const {
  const auto known = Known.find(host);
  if (known != Known.end())
    return known->second.Member.PeerAddress;
  const auto registered = Registered.find(host);
  return registered == Registered.end() ? "" : registered->second.PeerAddress;
}

std::vector<const FleetReport *> FleetView::counted(const FleetMember &self,
                                                    Instant now) const {
  const bool zoned = isAggregatedByZone();
  const bool isAggregator = zoned && aggregates(self, now);
  const bool isCollector = collects(self, now);
  const auto counts = [&](const FleetReport &it) {
    switch (it.Scope) {
    case ReportScope::Host:
      return !zoned || (isCollector && it.Zone == Settings.Zone);
    case ReportScope::OwnZone:
      return zoned && !isCollector;
    case ReportScope::Zone:
      return isAggregator;
    case ReportScope::OtherZones:
      return zoned && !isAggregator;
    }
    return false;
  };
  std::vector<const FleetReport *> out;
  for (const auto &[source, heard] : Reports)
    if (counts(heard.Report))
      out.push_back(&heard.Report);
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

/// The middle of what several reports say of each team.
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
  for (const auto &[source, heard] : Reports) {
    if (heard.Report.Scope != ReportScope::Host ||
        heard.Report.Zone != Settings.Zone)
      continue;
    summed.push_back(&heard.Report);
    addTo(out.Open, heard.Report.Open);
    addTo(out.Demand, heard.Report.Demand);
    out.Uptime = std::max(out.Uptime, heard.Report.Uptime);
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
  for (const auto &[source, heard] : Reports) {
    const FleetReport &it = heard.Report;
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
  std::vector<const FleetReport *> summed;
  for (const auto &[source, heard] : Reports) {
    if (heard.Report.Scope != ReportScope::Zone)
      continue;
    summed.push_back(&heard.Report);
    addTo(out.Open, heard.Report.Open);
    addTo(out.Demand, heard.Report.Demand);
    out.Uptime = std::max(out.Uptime, heard.Report.Uptime);
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
  ZoneUsed.note(sourceOf(own), {own.Incarnation, own.Used, {}, CountFrom::Zero},
                now);
  OwnParts.push_back({own.Sequence, own.Open, own.Demand, own.Used});
  if (OwnParts.size() > MostOwnParts)
    OwnParts.pop_front();
}

bool FleetView::isOfOwnZone(const HostId &host) const {
  const auto it = Known.find(host);
  return host == Settings.Self ||
         (it != Known.end() && it->second.Member.Zone == Settings.Zone);
}

std::vector<KnownMember> FleetView::members() const {
  std::vector<KnownMember> out;
  out.reserve(Known.size());
  for (const auto &[host, it] : Known)
    out.push_back(it);
  return out;
}

std::vector<HostId> FleetView::allHosts() const {
  if (!HasRegistered)
    return {};
  std::set<HostId> out{Settings.Self};
  for (const auto &[host, it] : Registered)
    out.insert(host);
  for (const auto &[host, it] : Known)
    out.insert(host);
  return {out.begin(), out.end()};
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
  return it != Reports.end() && now - it->second.At < Settings.Silence;
}

double FleetView::silentFraction(Instant now) const {
  const auto silent =
      std::count_if(Known.begin(), Known.end(), [&](const auto &it) {
        return !it.second.Member.IsLeaving && !isAnswering(it.second, now);
      });
  return static_cast<double>(silent) / hostCount();
}

bool FleetView::hasRecentContact(Duration notLonger, Instant now) const {
  return std::any_of(Known.begin(), Known.end(), [&](const auto &it) {
    return now - it.second.LastSeenAt < notLonger;
  });
}

} // namespace sorrelbay
