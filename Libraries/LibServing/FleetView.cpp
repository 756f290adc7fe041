#include "LibServing/FleetView.h"
#include <algorithm>

namespace sorrelbay {

SourceId sourceOf(const FleetReport &report) {
  switch (report.Scope) {
  case ReportScope::Zone:
    return SourceId("zone " + report.Zone.text());
  case ReportScope::OtherZones:
    return SourceId("other zones");
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
  if (a.IsCutOff != b.IsCutOff)
    return b.IsCutOff;
  return a.Capacity != b.Capacity ? a.Capacity > b.Capacity : a.Host < b.Host;
}

FleetView::FleetView(FleetViewSettings settings)
    : Settings(std::move(settings)) {}

void FleetView::noteRegistered(const std::vector<FleetMember> &members) {
  Registered.clear();
  for (const FleetMember &it : members)
    if (it.Host != Settings.Self)
      Registered[it.Host] = it;
}

bool FleetView::isZoned() const {
  std::size_t n = Registered.size();
  for (const auto &[host, it] : Known)
    if (Registered.count(host) == 0)
      ++n;
  return n + 1 > Settings.FullMesh;
}

bool FleetView::isForUs(const FleetReport &report) const {
  switch (report.Scope) {
  case ReportScope::Host:
    return report.Reporter != Settings.Self;
  case ReportScope::Zone:
    return report.Zone != Settings.Zone;
  case ReportScope::OtherZones:
    return report.Zone == Settings.Zone && report.Reporter != Settings.Self;
  }
  return false;
}

bool FleetView::hear(const FleetReport &report, Instant now) {
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
  if (isSum && !isSameLife && now - heard.At < Settings.AggregatorSilence)
    return false;
  noteMembers(report, now);
  if (report.Scope == ReportScope::Host && report.Zone == Settings.Zone)
    ZoneUsed.note(source,
                  {report.Incarnation, report.Used, {}, CountFrom::Zero}, now);
  // While all hosts are young those that aggregate change quickly, and each sum
  // holds the ones before it. Later a new aggregator may know of less, or of
  // more that was let in long ago.
  if (report.Scope == ReportScope::Zone)
    OthersUsed.note(
        source,
        {report.Incarnation, report.Used, report.Pace,
         report.Uptime < Settings.Young ? CountFrom::Known : CountFrom::Now},
        now);
  heard.Report = report;
  heard.At = now;
  return true;
}

void FleetView::noteMembers(const FleetReport &report, Instant now) {
  for (const FleetMember &it : report.Members) {
    if (it.Host == Settings.Self)
      continue;
    HeardMember &known = Known[it.Host];
    // A host's own word goes before what others say of it.
    const bool isOwnWord = report.Scope == ReportScope::Host;
    if (!isOwnWord && it.Zone == Settings.Zone)
      continue;
    known = {it, now};
  }
  if (report.Scope == ReportScope::Host || report.Members.empty())
    return;
  // A sum names all that still answer there.
  std::set<HostId> named;
  for (const FleetMember &it : report.Members)
    named.insert(it.Host);
  for (auto &[host, it] : Known) {
    const ZoneId &zone = it.Member.Zone;
    const bool isCovered = report.Scope == ReportScope::Zone
                               ? zone == report.Zone
                               : zone != Settings.Zone;
    if (isCovered && named.count(host) == 0)
      it.HeardAt = std::min(it.HeardAt, now - silenceOf(it.Member));
  }
}

/// How long a host may be silent before it counts as not answering. Of other
/// zones' hosts news comes by two others and less often.
Duration FleetView::silenceOf(const FleetMember &member) const {
  const bool isNear = !isZoned() || member.Zone == Settings.Zone;
  return isNear ? Settings.Silence : Settings.Silence * 2;
}

bool FleetView::isAnswering(const HeardMember &it, Instant now) const {
  return now - it.HeardAt < silenceOf(it.Member);
}

std::vector<HostId> FleetView::forgetSilent(Instant now) {
  std::vector<HostId> gone;
  for (auto it = Known.begin(); it != Known.end();) {
    const Duration silence = now - it->second.HeardAt;
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
    if (isOfGroup && now - it.HeardAt < silence && !it.Member.IsLeaving)
      out.push_back(it.Member);
  }
  std::sort(out.begin(), out.end(), ranksBefore);
  return out;
}

std::size_t FleetView::placeInGroup(const FleetMember &self,
                                    Instant now) const {
  const ZoneId *zone = isZoned() ? &Settings.Zone : nullptr;
  const auto all = ranked(zone, Settings.AggregatorSilence, now);
  return static_cast<std::size_t>(
      std::count_if(all.begin(), all.end(), [&](const FleetMember &it) {
        return ranksBefore(it, self);
      }));
}

bool FleetView::aggregates(const FleetMember &self, Instant now) const {
  // Before it has heard of the others each host is the first that it knows of.
  return now - Settings.BornAt >= Settings.AggregatorSilence &&
         isAmongFirst(self, 1, now);
}

bool FleetView::isAmongFirst(const FleetMember &self, std::size_t count,
                             Instant now) const {
  return !self.IsLeaving && placeInGroup(self, now) < count;
}

std::vector<HostId> FleetView::groupPeers() const {
  const bool onlyZone = isZoned();
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
  std::vector<HostId> out;
  for (const ZoneId &zone : zones) {
    const auto heard = ranked(&zone, Settings.Silence * 2, now);
    for (std::size_t n = 0; n < heard.size() && n < Settings.AggregatorsTold;
         ++n)
      out.push_back(heard[n].Host);
    const std::vector<HostId> unheard = unheardOf(zone, now);
    out.insert(out.end(), unheard.begin(), unheard.end());
  }
  return out;
}

/// Hosts of the zone that have registered and weren't heard of: the one that
/// would aggregate first, and the others by turns. Two zones whose aggregators
/// know only of each other's lesser hosts would never come to know each other;
/// and entries of hosts that are long gone stay in the store.
std::vector<HostId> FleetView::unheardOf(const ZoneId &zone,
                                         Instant now) const {
  std::vector<FleetMember> hosts;
  for (const auto &[host, it] : Registered) {
    const auto known = Known.find(host);
    const bool isHeard =
        known != Known.end() && isAnswering(known->second, now);
    if (it.Zone == zone && !isHeard)
      hosts.push_back(it);
  }
  if (hosts.empty())
    return {};
  std::sort(hosts.begin(), hosts.end(), ranksBefore);
  const auto turn =
      static_cast<std::size_t>(toSeconds(now.time_since_epoch())) %
      hosts.size();
  std::vector<HostId> out{hosts.front().Host};
  if (turn != 0)
    out.push_back(hosts[turn].Host);
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
  const bool isTold = isZoned();
  const bool isAggregator = isTold && aggregates(self, now);
  std::vector<const FleetReport *> out;
  for (const auto &[source, heard] : Reports) {
    const FleetReport &it = heard.Report;
    const bool isNear = it.Zone == Settings.Zone;
    const bool counts = it.Scope == ReportScope::Host ? !isTold || isNear
                        : it.Scope == ReportScope::Zone
                            ? isAggregator
                            : isTold && !isAggregator;
    if (counts)
      out.push_back(&it);
  }
  return out;
}

static void addTo(DemandByService &sum, const DemandByService &demand) {
  for (const auto &[service, rate] : demand)
    sum[service] += rate;
}

static void addTo(std::map<UpstreamId, OpenWork> &sum,
                  const std::map<UpstreamId, OpenWork> &open) {
  for (const auto &[id, work] : open) {
    OpenWork &it = sum[id];
    it.Calls += work.Calls;
    it.PromptTokens += work.PromptTokens;
    it.Tokens += work.Tokens;
  }
}

FleetReport FleetView::zoneReport(const FleetReport &own, Instant now) const {
  FleetReport out = own;
  out.Scope = ReportScope::Zone;
  out.Used = ZoneUsed.total();
  out.Pace = ZoneUsed.pace(now);
  for (const auto &[source, heard] : Reports) {
    if (heard.Report.Scope != ReportScope::Host ||
        heard.Report.Zone != Settings.Zone)
      continue;
    addTo(out.Open, heard.Report.Open);
    addTo(out.Demand, heard.Report.Demand);
    out.Uptime = std::max(out.Uptime, heard.Report.Uptime);
  }
  for (const auto &[host, it] : Known)
    if (it.Member.Zone == Settings.Zone &&
        (it.Member.IsLeaving || isAnswering(it, now)))
      out.Members.push_back(it.Member);
  return out;
}

FleetReport FleetView::othersReport(const FleetReport &own, Instant now) const {
  FleetReport out = own;
  out.Scope = ReportScope::OtherZones;
  out.Used = OthersUsed.total();
  out.Pace = OthersUsed.pace(now);
  out.Open.clear();
  out.Demand.clear();
  for (const auto &[source, heard] : Reports) {
    if (heard.Report.Scope != ReportScope::Zone)
      continue;
    addTo(out.Open, heard.Report.Open);
    addTo(out.Demand, heard.Report.Demand);
    out.Uptime = std::max(out.Uptime, heard.Report.Uptime);
  }
  out.Members.clear();
  for (const auto &[host, it] : Known)
    if (it.Member.Zone != Settings.Zone &&
        (it.Member.IsLeaving || isAnswering(it, now)))
      out.Members.push_back(it.Member);
  return out;
}

void FleetView::noteOwn(const FleetReport &own, Instant now) {
  ZoneUsed.note(sourceOf(own), {own.Incarnation, own.Used, {}, CountFrom::Zero},
                now);
}

std::vector<HeardMember> FleetView::members() const {
  std::vector<HeardMember> out;
  out.reserve(Known.size());
  for (const auto &[host, it] : Known)
    out.push_back(it);
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
    return member.HoldsDuties && !member.IsCutOff &&
           isAnswering(it.second, now);
  });
}

bool FleetView::hearsAll(Instant now) const {
  return std::all_of(Known.begin(), Known.end(), [&](const auto &it) {
    return it.second.Member.IsLeaving || isAnswering(it.second, now);
  });
}

bool FleetView::hearsAny(Duration notLonger, Instant now) const {
  return std::any_of(Known.begin(), Known.end(), [&](const auto &it) {
    return now - it.second.HeardAt < notLonger;
  });
}

} // namespace sorrelbay
