#include "GatewayFleet.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include "LibObjectApi/RelayedChangesParts.h"
#include "LibServing/FleetReportCheck.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace sorrelbay {

namespace {

/// Shortest time between two reports, whatever triggers them.
constexpr Duration MinPublishInterval = milliseconds(20);
/// Intervals at which the store is queried for peers: short and increasing
/// after the start, when all hosts may have started together, then long.
constexpr Duration FirstLookupInterval = milliseconds(500);
constexpr Duration LookupInterval = seconds(10);
/// In a large fleet, a host that does not aggregate discovers others through
/// the peers of its group and its aggregator; a new host announces itself to
/// the peers of its group.
constexpr Duration RareLookupInterval = seconds(60);
constexpr int FirstLookupCount = 3;
/// Most bytes of relayed changes in one message. Larger sets are split, since
/// one message would delay the reports behind it; a single object that is
/// larger is fetched by each host.
constexpr std::size_t MaxRelayedBytes = 48UL * 1024;
/// Changes of at least this size are encoded once for all receivers; a message
/// that differs for each of them follows. Smaller ones take a single message.
constexpr std::size_t MinSharedBytes = 2UL * 1024;
/// Processes of peers with implausible figures that are remembered.
constexpr std::size_t MaxImplausibleReporters = 256;

void logSource(const FleetReport &report, bool counts) {
  LogLine(Severity::Info, counts ? "peer counted" : "peer no longer counted")
      .field("peer", sourceOf(report).text())
      .field("reporter", report.Reporter.text());
}

std::vector<HostId> without(std::vector<HostId> hosts,
                            const std::vector<HostId> &some) {
  const std::set<HostId> left(some.begin(), some.end());
  hosts.erase(
      std::remove_if(hosts.begin(), hosts.end(),
                     [&](const HostId &it) { return left.count(it) != 0; }),
      hosts.end());
  return hosts;
}

std::size_t sizeOf(const RelayedChanges &relayed) {
  std::size_t bytes = 0;
  for (const ResourceChange &it : relayed.Changes.Changes)
    bytes += it.Object.Body.size() + it.Object.Status.size();
  return bytes;
}

bool hasLargeObject(const ResourceChanges &changes) {
  return std::any_of(changes.Changes.begin(), changes.Changes.end(),
                     [](const ResourceChange &it) {
                       return it.Object.Body.size() + it.Object.Status.size() >
                              MaxRelayedBytes;
                     });
}

} // namespace

GatewayFleet::GatewayFleet(GatewayState &state, GatewayFleetHooks hooks)
    : State(state), Hooks(std::move(hooks)), LookupTimer(state.Loop),
      PublishTimer(state.Loop), ProcessStartedAt(bootNow()),
      ReportMerger(state.Fleet,
                   {state.Replicas, state.Demand, state.RateLimiters,
                    state.Usage, state.Time, state.Quarantine,
                    state.ShortDemand},
                   ProcessStartedAt, logSource) {}

void GatewayFleet::listen() {
  FleetLink::Hooks hooks;
  hooks.OnReport = [this](const FleetReport &report) { applyReport(report); };
  hooks.OnRelayedChanges = [this](const RelayedChanges &relayed) {
    Hooks.OnRelayedChanges(relayed);
  };
  Link = std::make_unique<FleetLink>(State.Loop, State.Settings.PeerListen,
                                     State.Settings.Host, hooks);
}

void GatewayFleet::start() { lookUpPeers(); }

FleetMember GatewayFleet::self() const {
  FleetMember self = Hooks.Self();
  self.Host = State.Settings.Host;
  self.Zone = State.Settings.Zone;
  self.PeerAddress = Link->address();
  self.Capacity = State.Settings.Cores;
  self.AcceptsUpdates = true;
  return self;
}

FleetReport GatewayFleet::ownReport(Instant now) {
  FleetReport report;
  report.Reporter = State.Settings.Host;
  report.Zone = State.Settings.Zone;
  report.Incarnation = State.Incarnation;
  report.Sequence = Sequence;
  report.Uptime = now - ProcessStartedAt;
  report.SentAt = now.time_since_epoch().count();
  report.FleetTimeMs = toEpochMilliseconds(State.Time.own(now));
  report.Members = {self()};
  ReportMerger.fillOwnReport(report, now);
  report.Moves = Hooks.EncodedRollouts(ReportScope::Host);
  return report;
}

void GatewayFleet::tick(Instant now) {
  for (const HostId &it : State.Fleet.removeSilent(now)) {
    LogLine(Severity::Warning, "peer gone").field("peer", it.text());
    PeerClocks.erase(it);
  }
  ReportMerger.recount(self(), now);
  ReportMerger.converge(now);
  updateLinks(now);
  publish(now);
  CostLog.log(Link->cost(), now);
}

void GatewayFleet::updateLinks(Instant now) {
  std::vector<HostId> peers = State.Fleet.reportPeers(self(), now);
  if (State.Fleet.isAggregatedByZone() && aggregates(now)) {
    const auto others = State.Fleet.otherAggregators(now);
    peers.insert(peers.end(), others.begin(), others.end());
  }
  std::map<HostId, FleetLink::PeerEndpoint> wanted;
  for (const HostId &it : peers)
    if (const FleetMember *member = State.Fleet.memberOf(it))
      wanted[it] = {member->PeerAddress, member->AcceptsUpdates};
  Link->keep(wanted, now);
}

void GatewayFleet::publish(Instant now) {
  ++Sequence;
  PublishedAt = now;
  const FleetReport own = ownReport(now);
  State.Fleet.noteOwn(own, now);
  sendOwnReport(own, now);
  if (State.Fleet.isAggregatedByZone() && aggregates(now))
    publishAggregates(own, now);
}

/// Sends this host's report. Only the other collectors need a collector's work
/// in detail; the other hosts get it within the zone's sum, and get a heartbeat
/// from the collector.
void GatewayFleet::sendOwnReport(const FleetReport &own, Instant now) {
  const std::vector<HostId> peers =
      State.Fleet.reportPeers(own.Members.front(), now);
  const bool isAggregated = State.Fleet.isAggregatedByZone();
  if (!isAggregated || !State.Fleet.collects(own.Members.front(), now)) {
    if (!isAggregated || OwnRepeats.isNeeded(own, now))
      Link->sendReport(ReportStream::Own, peers, own);
    return;
  }
  const std::vector<HostId> collectors = State.Fleet.collectors(now);
  FleetReport heartbeat = own;
  heartbeat.Open.clear();
  heartbeat.Demand.clear();
  heartbeat.ShortDemand.clear();
  heartbeat.Used.clear();
  heartbeat.Levels.clear();
  heartbeat.Usage.clear();
  heartbeat.Moves.clear();
  Link->sendReport(ReportStream::Own, collectors, own);
  // The sums of an aggregator show that it is running.
  if (State.Fleet.aggregates(own.Members.front(), now))
    return;
  Link->sendReport(ReportStream::Heartbeat, without(peers, collectors),
                   heartbeat);
}

/// Sends this zone's sum to other zones' aggregators, and that sum and the sum
/// of the other zones to this zone.
void GatewayFleet::publishAggregates(const FleetReport &own, Instant now) {
  const FleetReport zone = State.Fleet.zoneReport(own, now);
  const std::vector<HostId> collectors = State.Fleet.collectors(now);
  const std::vector<HostId> group = State.Fleet.groupPeers();
  publishSum(ReportStream::Zone, State.Fleet.otherAggregators(now), zone, now);
  const FleetReport others = State.Fleet.othersReport(own, now);
  publishSum(ReportStream::OtherZonesWithMoves, collectors, others, now);
  publishSum(ReportStream::OtherZones, without(group, collectors), others, now);
  FleetReport ownZone = State.Fleet.ownZoneReport(zone);
  // All hosts need rollout steps and vetoes at once; only hosts that decide
  // need the evidence.
  ownZone.Moves = Hooks.EncodedRollouts(ownZone.Scope);
  publishSum(ReportStream::OwnZone, group, ownZone, now);
}

void GatewayFleet::publishSum(ReportStream stream,
                              const std::vector<HostId> &to, FleetReport sum,
                              Instant now) {
  if (!Sums.takeTurn(stream, sum, now))
    return;
  // A host that receives only sums would otherwise follow a single host's
  // clock.
  sum.FleetTimeMs = toEpochMilliseconds(State.Time.at(now));
  sum.Usage.clear();
  const bool renewsSlowParts = Sums.renewsSlowParts(stream, sum, now);
  if (renewsSlowParts)
    ReportMerger.fillUsage(sum);
  const bool hasEvidence = stream == ReportStream::Zone ||
                           stream == ReportStream::OtherZonesWithMoves;
  if (hasEvidence && renewsSlowParts)
    sum.Moves = Hooks.EncodedRollouts(sum.Scope);
  else if (stream != ReportStream::OwnZone)
    sum.Moves.clear();
  Link->sendReport(stream, to, sum);
  Sums.noteSent(stream, Link->stepBytes(stream), now);
}

void GatewayFleet::publishPromptly() {
  const Instant now = bootNow();
  if (now - PublishedAt >= MinPublishInterval)
    publish(now);
}

/// The same, but if the last report is too recent a report follows as soon as
/// the interval is over: a caller may send a call that crashes upstreams to
/// another host at once.
void GatewayFleet::publishCrashes() {
  const Duration left = PublishedAt + MinPublishInterval - bootNow();
  if (left <= Duration::zero())
    return publish(bootNow());
  if (IsPublishDue)
    return;
  IsPublishDue = true;
  PublishTimer.expires_after(left);
  PublishTimer.async_wait([this](boost::system::error_code ec) {
    IsPublishDue = false;
    if (!ec)
      publishPromptly();
  });
}

/// Takes the figures out of a peer's report that no host can have. Those of one
/// process are logged and counted once.
FleetReport GatewayFleet::withoutImplausible(FleetReport report) {
  const std::size_t count = countImplausible(report);
  removeImplausible(report);
  if (ImplausibleReporters.size() >= MaxImplausibleReporters ||
      !ImplausibleReporters.insert(report.Incarnation).second)
    return report;
  State.Counts.countRefusedEntry("reports");
  LogLine(Severity::Warning, "implausible figures of a peer ignored")
      .field("peer", report.Reporter.text())
      .field("incarnation", report.Incarnation.text())
      .field("figures", static_cast<std::int64_t>(count));
  return report;
}

void GatewayFleet::applyReport(const FleetReport &report) {
  if (countImplausible(report) != 0)
    return applyReport(withoutImplausible(report));
  const Instant now = bootNow();
  if (!State.Fleet.receive(report, now))
    return;
  PeerClocks[report.Reporter] = report.SentAt;
  Hooks.OnPeerRollouts(report.Moves);
  const std::uint64_t known = State.Quarantine.revision();
  ReportMerger.take(report, self(), now);
  // The other hosts of the zone and the other zones learn of crashes by this
  // host's reports only.
  if (State.Quarantine.revision() != known &&
      State.Fleet.isAggregatedByZone() && aggregates(now))
    publishCrashes();
}

void GatewayFleet::relayChanges(ResourceKind kind, std::uint64_t from,
                                const ResourceChanges &changes, Instant begun) {
  const Instant now = bootNow();
  if (!aggregates(now))
    return;
  RelayedChanges relayed;
  relayed.Kind = kind;
  relayed.From = from;
  relayed.Changes.AtRevision = changes.AtRevision;
  relayed.IsTruncated = hasLargeObject(changes);
  if (!relayed.IsTruncated)
    relayed.Changes.Changes = changes.Changes;
  relayed.Age = now - begun;
  std::vector<HostId> peers = State.Fleet.groupPeers();
  if (State.Fleet.isAggregatedByZone() && isFleetLeader(now)) {
    const auto others = State.Fleet.otherAggregators(now);
    peers.insert(peers.end(), others.begin(), others.end());
  }
  std::vector<RelayedChanges> parts = splitIntoParts(relayed, MaxRelayedBytes);
  RelayedChanges confirmation = parts.back();
  const bool isSmall =
      parts.size() == 1 && sizeOf(confirmation) < MinSharedBytes;
  if (relayed.IsTruncated || isSmall) {
    parts.pop_back();
  } else {
    confirmation.From = confirmation.Changes.AtRevision;
    confirmation.Changes.Changes.clear();
    parts.back().Echo = 0;
  }
  for (const RelayedChanges &it : parts)
    Link->send(peers, it);
  confirmRelayedChanges(confirmation, peers);
}

/// Sends the last message of a relay, which confirms each receiver's view and
/// differs for each of them. It holds few changes or none.
void GatewayFleet::confirmRelayedChanges(RelayedChanges confirmation,
                                         const std::vector<HostId> &peers) {
  for (const HostId &it : peers) {
    // A host that has not sent a report yet has no clock to echo and cannot
    // determine the age of the changes.
    const auto echo = PeerClocks.find(it);
    confirmation.Echo = echo == PeerClocks.end() ? 0 : echo->second;
    Link->send({it}, confirmation);
  }
}

/// Registers this host unless the store holds the same entry already, possibly
/// from an earlier process at the same address. A listing that is not the
/// latest may show an entry that has been removed since.
void GatewayFleet::registerIfMissing(const std::vector<FleetMember> &members,
                                     bool isLatest) {
  if (IsRegistered || State.isStopping())
    return;
  const FleetMember self = this->self();
  IsRegistered =
      isLatest &&
      std::any_of(members.begin(), members.end(), [&](const FleetMember &it) {
        return it.Host == self.Host && it.Zone == self.Zone &&
               it.PeerAddress == self.PeerAddress &&
               it.Capacity == self.Capacity;
      });
  if (!IsRegistered)
    registerHost();
}

void GatewayFleet::registerHost() {
  const FleetMember self = this->self();
  Resource own;
  own.Name = self.Host.text();
  own.Body = nlohmann::json{{"peer_address", self.PeerAddress},
                            {"zone", self.Zone.text()},
                            {"cores", self.Capacity}}
                 .dump();
  State.Hooks.Store.Create(ResourceKind::Hosts, own,
                           [this, own](const StoreResult<Resource> &result) {
                             IsRegistered = result.Got.has_value();
                             if (IsRegistered ||
                                 result.Failure != StoreFailure::Conflict)
                               return;
                             // The entry of an earlier process, which may have
                             // another address.
                             State.Hooks.Store.Replace(
                                 ResourceKind::Hosts, own,
                                 [this](const StoreResult<Resource> &replaced) {
                                   IsRegistered = replaced.Got.has_value();
                                 });
                           });
}

void GatewayFleet::leave() {
  State.Hooks.Store.Remove(ResourceKind::Hosts, State.Settings.Host.text(),
                           [](const StoreResult<Resource> &) {});
}

/// Parses a host's entry. PeerAddress is empty if the entry has none or is
/// malformed.
static FleetMember registeredMember(const Resource &object) {
  FleetMember out;
  const auto body = nlohmann::json::parse(object.Body, nullptr, false);
  if (!body.is_object())
    return out;
  out.Host = HostId(object.Name);
  const auto text = [&](const char *key) {
    const auto it = body.find(key);
    return it != body.end() && it->is_string() ? it->get<std::string>() : "";
  };
  out.PeerAddress = text("peer_address");
  out.Zone = ZoneId(text("zone"));
  const auto cores = body.find("cores");
  if (cores != body.end() && cores->is_number())
    out.Capacity = cores->get<double>();
  return out;
}

void GatewayFleet::listPeers() {
  State.Hooks.Store.List(ResourceKind::Hosts, ListFreshness::FirstPageLatest,
                         [this](const StoreResult<ResourceListing> &result) {
                           if (!result.Got)
                             return;
                           std::vector<FleetMember> members;
                           for (const Resource &it : result.Got->Objects) {
                             const FleetMember member = registeredMember(it);
                             if (!member.PeerAddress.empty())
                               members.push_back(member);
                           }
                           State.Fleet.noteRegistered(members);
                           registerIfMissing(members, result.Got->IsLatest);
                         });
}

/// Lists the registered hosts now and again later. While the first lookups
/// follow each other quickly, one is left out if sums already arrive, which
/// list all hosts.
void GatewayFleet::lookUpPeers() {
  if (State.isStopping())
    return;
  const Instant now = bootNow();
  const bool isCoveredBySums = PeerLookups > 0 &&
                               PeerLookups < FirstLookupCount && IsRegistered &&
                               State.Fleet.hasRecentZoneSum(now);
  if (!isCoveredBySums)
    listPeers();
  const bool usesRelayedReports =
      State.Fleet.isAggregatedByZone() && !aggregates(now);
  const Duration later =
      usesRelayedReports ? RareLookupInterval : LookupInterval;
  const bool isFirst =
      ++PeerLookups <= FirstLookupCount && !State.Fleet.hasRecentZoneSum(now);
  LookupTimer.expires_after(
      isFirst ? FirstLookupInterval * (2 * PeerLookups - 1) : later);
  LookupTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec)
      lookUpPeers();
  });
}

} // namespace sorrelbay
