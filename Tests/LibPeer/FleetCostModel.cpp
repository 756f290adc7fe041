#include "FleetCostModel.h"

namespace sorrelbay {

namespace {

constexpr int Zones = 6;
constexpr int LargeHostsPerZone = 10;
constexpr Duration Round = milliseconds(250);
constexpr Duration MeanCallTime = milliseconds(1500);
constexpr std::int64_t TeamBurst = 72000;
constexpr std::int64_t TeamRate = 36000;
constexpr std::int64_t MeanPromptTokens = 4000;

double draw(std::mt19937_64 &random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

int drawBelow(int limit, std::mt19937_64 &random) {
  return std::uniform_int_distribution<int>(0, limit - 1)(random);
}

FleetMember memberOf(int zone, int number) {
  FleetMember out;
  out.Host = HostId("edge-" + std::to_string(zone) + "-" +
                    std::to_string(1000 + number));
  out.Zone = ZoneId("zone-" + std::to_string(zone));
  out.PeerAddress =
      "10." + std::to_string(zone) + ".1." + std::to_string(number) + ":7600";
  out.CallerAddress = out.PeerAddress;
  out.RelayAddress = out.PeerAddress;
  out.IsReady = true;
  out.AcceptsUpdates = true;
  out.Capacity = number < LargeHostsPerZone ? 1 : 0.12;
  return out;
}

int openIn(const FleetReport &report) {
  int calls = 0;
  for (const auto &[id, work] : report.Open)
    calls += work.Calls;
  return calls;
}

} // namespace

void SampleCalls::begin(FleetReport &report, Instant now,
                        std::mt19937_64 &random) {
  const auto tokens =
      static_cast<std::int64_t>(1 + draw(random) * 2 * MeanPromptTokens);
  Call call{
      now + MeanCallTime / 2 +
          fromSeconds(toSeconds(MeanCallTime) * draw(random)),
      UpstreamId("engine-" + std::to_string(drawBelow(Size.Upstreams, random))),
      {1, tokens, tokens}};
  OutstandingWork &work = report.Open[call.Upstream];
  work = work + call.Work;
  const TeamId team("team-" + std::to_string(drawBelow(Size.Teams, random)));
  report.Used[team] += tokens;
  report.Levels[team] = static_cast<double>(TeamBurst - tokens);
  RefilledAt[team] = now + fromSeconds(static_cast<double>(tokens) / TeamRate);
  Open.push_back(call);
}

void SampleCalls::end(FleetReport &report, const Call &call) {
  const auto it = report.Open.find(call.Upstream);
  it->second = it->second - call.Work;
  if (it->second.Calls == 0)
    report.Open.erase(it);
}

void SampleCalls::advance(FleetReport &report, Duration span, Instant now,
                          std::mt19937_64 &random) {
  std::poisson_distribution<int> arrivals(CallsPerSecond * toSeconds(span));
  for (int n = arrivals(random); n > 0; --n)
    begin(report, now, random);
  for (auto it = Open.begin(); it != Open.end();) {
    if (it->EndsAt > now) {
      ++it;
      continue;
    }
    end(report, *it);
    it = Open.erase(it);
  }
  for (auto it = RefilledAt.begin(); it != RefilledAt.end();) {
    const double missing =
        std::max(0.0, toSeconds(it->second - now)) * TeamRate;
    report.Levels[it->first] = static_cast<double>(TeamBurst) - missing;
    it = missing > 0 ? std::next(it) : RefilledAt.erase(it);
  }
}

FleetCostModel::FleetCostModel(const FleetSize &size)
    : Size(size), OrdinaryInbox(HostId()) {
  const int perZone = size.Hosts / Zones;
  std::vector<FleetMember> registered;
  for (int zone = 0; zone < Zones; ++zone) {
    for (int n = 0; n < perZone; ++n)
      registered.push_back(memberOf(zone, n));
    const FleetMember first = memberOf(zone, 0);
    Host sum{first, {}, SampleCalls(size, perZone), {}, ReportInbox(HostId())};
    sum.Report.Scope = ReportScope::Zone;
    for (int n = 0; n < perZone; ++n)
      sum.Report.Members.push_back(memberOf(zone, n));
    if (zone != 0)
      OtherZones.push_back(std::move(sum));
  }
  for (int n = 0; n < perZone; ++n) {
    const FleetMember member = memberOf(0, n);
    Host host{member, {}, SampleCalls(size, 1), {}, ReportInbox(HostId())};
    host.Report.Members = {member};
    Hosts.push_back(std::move(host));
  }
  for (std::vector<Host> *all : {&Hosts, &OtherZones})
    for (Host &it : *all) {
      it.Report.Reporter = it.Member.Host;
      it.Report.Zone = it.Member.Zone;
      it.Report.Incarnation = IncarnationId(it.Member.Host.text() + "/1");
    }
  OrdinaryInbox = ReportInbox(Hosts.back().Member.Host);
  AggregatorView = std::make_unique<FleetView>(FleetViewSettings{
      Hosts.front().Member.Host, Hosts.front().Member.Zone, Now});
  OrdinaryView = std::make_unique<FleetView>(FleetViewSettings{
      Hosts.back().Member.Host, Hosts.back().Member.Zone, Now});
  AggregatorView->noteRegistered(registered);
  OrdinaryView->noteRegistered(registered);
}

std::int64_t FleetCostModel::valuesIn(const std::string &message) {
  return static_cast<std::int64_t>(ColumnReader(message).size());
}

void FleetCostModel::reportToAggregator(Host &host) {
  host.Outbox.add(ReportStream::Own, host.Report);
  for (const std::string &it :
       host.Outbox.messagesFor(Hosts.front().Member.Host, ReportStream::Own)) {
    ColumnReader message(it);
    const auto arrival = host.InboxAtAggregator.receive(message);
    if (arrival.Report)
      AggregatorView->receive(*arrival.Report, Now);
    if (!IsCounted)
      continue;
    ++Aggregator.MessagesReceived;
    Aggregator.BytesReceived += static_cast<std::int64_t>(it.size());
    Aggregator.ValuesDecoded += valuesIn(it);
  }
}

void FleetCostModel::reportOfOtherZones() {
  for (Host &it : OtherZones) {
    it.Report.Sequence = Sequence;
    it.Calls.advance(it.Report, Round, Now, Random);
    for (const auto &[team, used] : it.Report.Used)
      it.Report.Pace[team] = static_cast<double>(used % TeamRate);
    AggregatorView->receive(it.Report, Now);
  }
}

void FleetCostModel::deliverToOrdinaryHost(ReportStream stream) {
  for (const std::string &it :
       SumOutbox.messagesFor(Hosts.back().Member.Host, stream)) {
    ColumnReader message(it);
    const auto arrival = OrdinaryInbox.receive(message);
    if (arrival.Report)
      OrdinaryView->receive(*arrival.Report, Now);
    if (!IsCounted)
      continue;
    ++Ordinary.MessagesReceived;
    Ordinary.BytesReceived += static_cast<std::int64_t>(it.size());
    Ordinary.ValuesDecoded += valuesIn(it);
  }
}

void FleetCostModel::publish(ReportStream stream, FleetReport sum,
                             std::size_t receivers) {
  if (!Sums.takeTurn(stream, sum, Now))
    return;
  Sums.renewsSlowParts(stream, sum, Now);
  SumOutbox.add(stream, sum);
  Sums.noteSent(stream, SumOutbox.stepBytes(stream), Now);
  if (stream != ReportStream::Zone)
    deliverToOrdinaryHost(stream);
  if (!IsCounted)
    return;
  Aggregator.MessagesSent += static_cast<std::int64_t>(receivers);
  Aggregator.BytesSent +=
      static_cast<std::int64_t>(receivers * SumOutbox.stepBytes(stream));
}

void FleetCostModel::publishSums() {
  const FleetReport &own = Hosts.front().Report;
  AggregatorView->noteOwn(own, Now);
  const FleetReport zone = AggregatorView->zoneReport(own, Now);
  publish(ReportStream::Zone, zone,
          AggregatorView->otherAggregators(Now).size());
  publish(ReportStream::OtherZones, AggregatorView->othersReport(own, Now),
          Hosts.size() - 1);
  publish(ReportStream::OwnZone, AggregatorView->ownZoneReport(zone),
          Hosts.size() - 1);
}

void FleetCostModel::rounds(int count, bool isCounted) {
  IsCounted = isCounted;
  for (int n = 0; n < count; ++n) {
    Now += Round;
    ++Sequence;
    AggregatorView->removeSilent(Now);
    for (Host &it : Hosts) {
      it.Report.Sequence = Sequence;
      it.Calls.advance(it.Report, Round, Now, Random);
      if (&it != &Hosts.front())
        reportToAggregator(it);
    }
    OrdinaryView->noteOwn(Hosts.back().Report, Now);
    reportOfOtherZones();
    publishSums();
  }
}

int FleetCostModel::openInZone() const {
  int calls = 0;
  for (const Host &it : Hosts)
    calls += openIn(it.Report);
  return calls;
}

int FleetCostModel::openInOtherZones() const {
  int calls = 0;
  for (const Host &it : OtherZones)
    calls += openIn(it.Report);
  return calls;
}

} // namespace sorrelbay
