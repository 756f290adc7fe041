#include "LibPeer/FleetReportCodec.h"
#include "LibPeer/PeerFailures.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

using nlohmann::json;

/// Changed whenever hosts of two versions would misread each other.
static constexpr int FormatNumber = 2;

std::string encodeFleetReport(const FleetReport &report) {
  json open = json::array();
  for (const auto &[id, work] : report.Open)
    open.push_back({id.text(), work.Calls, work.PromptTokens, work.Tokens});
  json used = json::array();
  for (const auto &[team, units] : report.Used)
    used.push_back({team.text(), units});
  json usage = json::array();
  for (const auto &[window, counts] : report.Usage) {
    json byTeam = json::array();
    for (const auto &[team, count] : counts)
      byTeam.push_back({team.text(), count});
    usage.push_back({window, byTeam});
  }
  json demand = json::array();
  for (const auto &[service, it] : report.Demand)
    demand.push_back({service.text(), it.Calls, it.Refused, it.PromptTokens,
                      it.OutputTokens});
  const json all = {FormatNumber,
                    report.Host.text(),
                    report.Zone.text(),
                    report.Incarnation.text(),
                    report.Sequence,
                    report.PeerAddress,
                    report.CallerAddress,
                    report.IsReady,
                    report.IsLeaving,
                    report.HoldsDuties,
                    report.PlanVersion,
                    report.TrueTimeMs,
                    open,
                    used,
                    usage,
                    demand,
                    report.Moves};
  const auto bytes = json::to_cbor(all);
  return {bytes.begin(), bytes.end()};
}

FleetReport decodeFleetReport(const std::string &bytes) {
  try {
    const json all = json::from_cbor(bytes);
    if (all.at(0).get<int>() != FormatNumber)
      throw PeerMessageRefused("a report of another format");
    FleetReport report;
    report.Host = HostId(all.at(1).get<std::string>());
    report.Zone = ZoneId(all.at(2).get<std::string>());
    report.Incarnation = IncarnationId(all.at(3).get<std::string>());
    all.at(4).get_to(report.Sequence);
    all.at(5).get_to(report.PeerAddress);
    all.at(6).get_to(report.CallerAddress);
    all.at(7).get_to(report.IsReady);
    all.at(8).get_to(report.IsLeaving);
    all.at(9).get_to(report.HoldsDuties);
    all.at(10).get_to(report.PlanVersion);
    all.at(11).get_to(report.TrueTimeMs);
    for (const json &it : all.at(12))
      report.Open[UpstreamId(it.at(0).get<std::string>())] = {
          it.at(1).get<int>(), it.at(2).get<std::int64_t>(),
          it.at(3).get<std::int64_t>()};
    for (const json &it : all.at(13))
      report.Used[TeamId(it.at(0).get<std::string>())] =
          it.at(1).get<UsedUnits>();
    for (const json &window : all.at(14)) {
      TeamCounts &counts = report.Usage[window.at(0).get<WindowNumber>()];
      for (const json &it : window.at(1))
        counts[TeamId(it.at(0).get<std::string>())] =
            it.at(1).get<std::int64_t>();
    }
    for (const json &it : all.at(15))
      report.Demand[ServiceId(it.at(0).get<std::string>())] = {
          it.at(1).get<std::int64_t>(), it.at(2).get<std::int64_t>(),
          it.at(3).get<std::int64_t>(), it.at(4).get<std::int64_t>()};
    all.at(16).get_to(report.Moves);
    return report;
  } catch (const json::exception &error) {
    throw PeerMessageRefused(std::string("not a report: ") + error.what());
  }
}

} // namespace sorrelbay
