#include "FleetReportSamples.h"
#include <cmath>

namespace sorrelbay {

static int drawBelow(int limit, std::mt19937_64 &random) {
  return std::uniform_int_distribution<int>(0, limit - 1)(random);
}

static FleetMember drawMember(int number, std::mt19937_64 &random) {
  FleetMember out;
  out.Host = HostId("edge-" + std::to_string(number));
  out.Zone = ZoneId("zone-" + std::to_string(number % 6));
  out.PeerAddress = "10.0.0." + std::to_string(number) + ":7600";
  out.CallerAddress = "10.0.0." + std::to_string(number) + ":7601";
  out.IsReady = drawBelow(10, random) != 0;
  out.Capacity = number % 16 == 0 ? 1 : 0.12;
  out.AcceptsUpdates = true;
  if (drawBelow(20, random) == 0)
    out.UnreachableServices.insert(ServiceId("desk"));
  return out;
}

static void drawUpstream(FleetReport &report, const SampleSize &size,
                         std::mt19937_64 &random) {
  const int n = drawBelow(size.Upstreams, random);
  const UpstreamId id("engine-" + std::to_string(n));
  if (drawBelow(2, random) == 0)
    report.Open.erase(id);
  else
    report.Open[id] = {1 + drawBelow(4, random), drawBelow(20000, random),
                       drawBelow(40000, random)};
  if (drawBelow(10, random) == 0)
    report.RateLimits[id] = {
        drawBelow(2, random) == 0 ? std::nullopt : std::optional<double>(2.5),
        Instant(Duration(drawBelow(1000, random)))};
}

static void drawTeam(FleetReport &report, const SampleSize &size,
                     std::mt19937_64 &random) {
  const TeamId team("team-" + std::to_string(drawBelow(size.Teams, random)));
  report.Used[team] += 1 + drawBelow(12000, random);
  report.Levels[team] = drawBelow(70000, random);
  report.Pace[team] = drawBelow(40000, random);
  ++report.Usage[drawBelow(3, random)][team];
}

void changeReport(FleetReport &report, const SampleSize &size, int changes,
                  std::mt19937_64 &random) {
  for (int n = 0; n < changes; ++n) {
    drawUpstream(report, size, random);
    drawTeam(report, size, random);
  }
  report.Demand[ServiceId("engine")] = drawBelow(900, random) / 7.0;
  if (!report.Members.empty() && drawBelow(4, random) == 0) {
    const int n = drawBelow(static_cast<int>(report.Members.size()), random);
    report.Members[static_cast<std::size_t>(n)].IsReady = false;
  }
  ++report.Sequence;
  report.SentAt += 250000;
}

FleetReport drawReport(const SampleSize &size, std::mt19937_64 &random) {
  FleetReport out;
  out.Scope = ReportScope::OtherZones;
  out.Reporter = HostId("edge-0");
  out.Zone = ZoneId("zone-0");
  out.Incarnation = IncarnationId("edge-0/1");
  out.Moves = "moves";
  for (int n = 0; n < size.Hosts; ++n)
    out.Members.push_back(drawMember(n, random));
  changeReport(out, size, size.Upstreams + size.Teams, random);
  return out;
}

static bool areClose(const std::map<TeamId, double> &a,
                     const std::map<TeamId, double> &b) {
  if (a.size() != b.size())
    return false;
  for (auto x = a.begin(), y = b.begin(); x != a.end(); ++x, ++y)
    if (x->first != y->first || std::abs(x->second - y->second) > 0.5)
      return false;
  return true;
}

bool haveSameContents(const FleetReport &a, const FleetReport &b) {
  const auto byHost = [](const FleetReport &it) {
    std::map<HostId, FleetMember> out;
    for (const FleetMember &member : it.Members)
      out[member.Host] = member;
    return out;
  };
  return a.Scope == b.Scope && a.Reporter == b.Reporter && a.Zone == b.Zone &&
         a.Incarnation == b.Incarnation && a.Sequence == b.Sequence &&
         a.SentAt == b.SentAt && a.Open == b.Open && a.Used == b.Used &&
         areClose(a.Pace, b.Pace) && areClose(a.Levels, b.Levels) &&
         a.Demand == b.Demand && a.ShortDemand == b.ShortDemand &&
         a.Usage == b.Usage && a.RateLimits == b.RateLimits &&
         a.RejectionLimits == b.RejectionLimits && a.Moves == b.Moves &&
         byHost(a) == byHost(b);
}

} // namespace sorrelbay
