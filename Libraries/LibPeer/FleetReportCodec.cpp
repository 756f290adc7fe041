#include "LibPeer/FleetReportCodec.h"
#include "LibPeer/PeerFailures.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

using nlohmann::json;

/// Must be changed whenever the format changes incompatibly, so that hosts of
/// different versions do not misread each other.
static constexpr int FormatNumber = 6;

namespace {

enum class MessageKind { Report, ChangeRelay };

std::string toBytes(const json &message) {
  const auto bytes = json::to_cbor(message);
  return {bytes.begin(), bytes.end()};
}

json fromMember(const FleetMember &it) {
  return {it.Host.text(),        it.Zone.text(), it.PeerAddress,
          it.CallerAddress,      it.IsReady,     it.IsLeaving,
          it.IsStoreUnreachable, it.HoldsDuties, it.LeaseRevision,
          it.FencingToken,       it.Capacity};
}

FleetMember toMember(const json &from) {
  FleetMember out;
  out.Host = HostId(from.at(0).get<std::string>());
  out.Zone = ZoneId(from.at(1).get<std::string>());
  from.at(2).get_to(out.PeerAddress);
  from.at(3).get_to(out.CallerAddress);
  from.at(4).get_to(out.IsReady);
  from.at(5).get_to(out.IsLeaving);
  from.at(6).get_to(out.IsStoreUnreachable);
  from.at(7).get_to(out.HoldsDuties);
  from.at(8).get_to(out.LeaseRevision);
  from.at(9).get_to(out.FencingToken);
  from.at(10).get_to(out.Capacity);
  return out;
}

template <typename Value>
json fromTeams(const std::map<TeamId, Value> &byTeam) {
  json out = json::array();
  for (const auto &[team, value] : byTeam)
    out.push_back({team.text(), value});
  return out;
}

template <typename Value> std::map<TeamId, Value> toTeams(const json &from) {
  std::map<TeamId, Value> out;
  for (const json &it : from)
    out[TeamId(it.at(0).get<std::string>())] = it.at(1).get<Value>();
  return out;
}

FleetReport toReport(const json &all) {
  FleetReport report;
  const int scope = all.at(2).get<int>();
  if (scope < 0 || scope > static_cast<int>(ReportScope::OwnZone))
    throw PeerMessageRefused("fleet report has an unknown scope");
  report.Scope = static_cast<ReportScope>(scope);
  report.Reporter = HostId(all.at(3).get<std::string>());
  report.Zone = ZoneId(all.at(4).get<std::string>());
  report.Incarnation = IncarnationId(all.at(5).get<std::string>());
  all.at(6).get_to(report.Sequence);
  report.Uptime = Duration(all.at(7).get<std::int64_t>());
  all.at(8).get_to(report.SentAt);
  all.at(9).get_to(report.FleetTimeMs);
  for (const json &it : all.at(10))
    report.Members.push_back(toMember(it));
  for (const json &it : all.at(11))
    report.Open[UpstreamId(it.at(0).get<std::string>())] = {
        it.at(1).get<int>(), it.at(2).get<std::int64_t>(),
        it.at(3).get<std::int64_t>()};
  report.Used = toTeams<UsedUnits>(all.at(12));
  report.Levels = toTeams<double>(all.at(13));
  for (const json &window : all.at(14))
    report.Usage[window.at(0).get<WindowNumber>()] =
        toTeams<std::int64_t>(window.at(1));
  all.at(15).get_to(report.Moves);
  report.Pace = toTeams<double>(all.at(16));
  for (const json &it : all.at(17))
    report.Demand[ServiceId(it.at(0).get<std::string>())] =
        it.at(1).get<double>();
  for (const json &it : all.at(18))
    report.Included[HostId(it.at(0).get<std::string>())] =
        it.at(1).get<std::uint64_t>();
  return report;
}

RelayedChanges toRelayedChanges(const json &all) {
  RelayedChanges relayedChanges;
  const auto kind = all.at(2).get<std::size_t>();
  if (kind >= ResourceKindCount)
    throw PeerMessageRefused("relayed changes have an unknown resource kind");
  relayedChanges.Kind = static_cast<ResourceKind>(kind);
  all.at(3).get_to(relayedChanges.From);
  all.at(4).get_to(relayedChanges.Changes.AtRevision);
  all.at(5).get_to(relayedChanges.IsTruncated);
  relayedChanges.Age = Duration(all.at(6).get<std::int64_t>());
  all.at(7).get_to(relayedChanges.Echo);
  for (const json &it : all.at(8)) {
    ResourceChange change;
    it.at(0).get_to(change.Object.Name);
    it.at(1).get_to(change.Object.Body);
    it.at(2).get_to(change.Object.Status);
    it.at(3).get_to(change.Object.Revision);
    it.at(4).get_to(change.IsRemoved);
    relayedChanges.Changes.Changes.push_back(change);
  }
  return relayedChanges;
}

} // namespace

std::string encodeFleetMessage(const FleetReport &report) {
  json members = json::array();
  for (const FleetMember &it : report.Members)
    members.push_back(fromMember(it));
  json open = json::array();
  for (const auto &[id, work] : report.Open)
    open.push_back({id.text(), work.Calls, work.PromptTokens, work.Tokens});
  json demand = json::array();
  for (const auto &[service, rate] : report.Demand)
    demand.push_back({service.text(), rate});
  json usage = json::array();
  for (const auto &[window, counts] : report.Usage)
    usage.push_back({window, fromTeams(counts)});
  json included = json::array();
  for (const auto &[host, sequence] : report.Included)
    included.push_back({host.text(), sequence});
  return toBytes({FormatNumber, static_cast<int>(MessageKind::Report),
                  static_cast<int>(report.Scope), report.Reporter.text(),
                  report.Zone.text(), report.Incarnation.text(),
                  report.Sequence, report.Uptime.count(), report.SentAt,
                  report.FleetTimeMs, members, open, fromTeams(report.Used),
                  fromTeams(report.Levels), usage, report.Moves,
                  fromTeams(report.Pace), demand, included});
}

std::string encodeFleetMessage(const RelayedChanges &relayedChanges) {
  json changes = json::array();
  for (const ResourceChange &it : relayedChanges.Changes.Changes)
    changes.push_back({it.Object.Name, it.Object.Body, it.Object.Status,
                       it.Object.Revision, it.IsRemoved});
  return toBytes({FormatNumber, static_cast<int>(MessageKind::ChangeRelay),
                  static_cast<int>(relayedChanges.Kind), relayedChanges.From,
                  relayedChanges.Changes.AtRevision, relayedChanges.IsTruncated,
                  relayedChanges.Age.count(), relayedChanges.Echo, changes});
}

FleetMessage decodeFleetMessage(const std::string &bytes) {
  try {
    const json all = json::from_cbor(bytes);
    if (all.at(0).get<int>() != FormatNumber)
      throw PeerMessageRefused(
          "fleet message has an unsupported format number");
    if (all.at(1).get<int>() == static_cast<int>(MessageKind::ChangeRelay))
      return toRelayedChanges(all);
    return toReport(all);
  } catch (const json::exception &error) {
    throw PeerMessageRefused(std::string("fleet message can't be decoded: ") +
                             error.what());
  }
}

} // namespace sorrelbay
