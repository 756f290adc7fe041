#include "LibPeer/FleetReportCodec.h"
#include "LibBase/JsonList.h"
#include "LibPeer/CrashKnowledgeJson.h"
#include "LibPeer/PeerFailures.h"
#include "LibPeer/ReportStream.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

using nlohmann::json;

namespace {

std::string toBytes(const json &message) {
  const auto bytes = json::to_cbor(message);
  return {bytes.begin(), bytes.end()};
}

json memberToJson(const FleetMember &it) {
  json unreachable = json::array();
  for (const ServiceId &service : it.UnreachableServices)
    unreachable.push_back(service.text());
  return {it.Host.text(),        it.Zone.text(),   it.PeerAddress,
          it.CallerAddress,      it.IsReady,       it.IsLeaving,
          it.IsStoreUnreachable, it.HoldsDuties,   it.LeaseRevision,
          it.FencingToken,       it.Capacity,      it.RelayAddress,
          unreachable,           it.AcceptsUpdates};
}

/// The number of fields of a member before there were relayed calls, and before
/// there were updates of reports.
constexpr std::size_t MemberFieldsWithoutRelays = 11;
constexpr std::size_t MemberFieldsWithoutUpdates = 13;

FleetMember memberFromJson(const json &from) {
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
  // Hosts of an earlier version accept no relayed calls.
  if (from.size() > MemberFieldsWithoutRelays) {
    from.at(11).get_to(out.RelayAddress);
    for (const json &service : from.at(12))
      out.UnreachableServices.insert(ServiceId(service.get<std::string>()));
  }
  if (from.size() > MemberFieldsWithoutUpdates)
    from.at(13).get_to(out.AcceptsUpdates);
  return out;
}

template <typename Value>
json teamsToJson(const std::map<TeamId, Value> &byTeam) {
  json out = json::array();
  for (const auto &[team, value] : byTeam)
    out.push_back({team.text(), value});
  return out;
}

template <typename Value>
std::map<TeamId, Value> teamsFromJson(const json &from) {
  std::map<TeamId, Value> out;
  for (const json &it : from)
    out[TeamId(it.at(0).get<std::string>())] = it.at(1).get<Value>();
  return out;
}

/// The position of the rate limits in a report.
constexpr std::size_t RateLimitsField = 19;
constexpr std::size_t RejectionLimitsField = 20;
constexpr std::size_t CrashesField = 21;
constexpr std::size_t ShortDemandField = 22;

json demandToJson(const DemandByService &demand) {
  json out = json::array();
  for (const auto &[service, rate] : demand)
    out.push_back({service.text(), rate});
  return out;
}

DemandByService demandFromJson(const json &from) {
  DemandByService out;
  for (const json &it : from)
    out[ServiceId(it.at(0).get<std::string>())] = it.at(1).get<double>();
  return out;
}

json rateLimitsToJson(const LimitStatements &limits) {
  json out = json::array();
  for (const auto &[id, it] : limits)
    out.push_back({id.text(), it.PerSecond ? json(*it.PerSecond) : json(),
                   it.At.time_since_epoch().count()});
  return out;
}

LimitStatements rateLimitsFromJson(const json &from) {
  LimitStatements out;
  for (const json &it : from) {
    LimitStatement &statement = out[UpstreamId(it.at(0).get<std::string>())];
    if (!it.at(1).is_null())
      statement.PerSecond = it.at(1).get<double>();
    statement.At = Instant(Duration(it.at(2).get<std::int64_t>()));
  }
  return out;
}

FleetReport fleetReportFromJson(const json &messageFields) {
  FleetReport report;
  const int scope = messageFields.at(2).get<int>();
  if (scope < 0 || scope > static_cast<int>(ReportScope::OwnZone))
    throw PeerMessageRefused("fleet report has an unknown scope");
  report.Scope = static_cast<ReportScope>(scope);
  report.Reporter = HostId(messageFields.at(3).get<std::string>());
  report.Zone = ZoneId(messageFields.at(4).get<std::string>());
  report.Incarnation = IncarnationId(messageFields.at(5).get<std::string>());
  messageFields.at(6).get_to(report.Sequence);
  report.Uptime = Duration(messageFields.at(7).get<std::int64_t>());
  messageFields.at(8).get_to(report.SentAt);
  messageFields.at(9).get_to(report.FleetTimeMs);
  for (const json &it : messageFields.at(10))
    report.Members.push_back(memberFromJson(it));
  for (const json &it : messageFields.at(11))
    report.Open[UpstreamId(it.at(0).get<std::string>())] = {
        it.at(1).get<int>(), it.at(2).get<std::int64_t>(),
        it.at(3).get<std::int64_t>()};
  report.Used = teamsFromJson<UsedUnits>(messageFields.at(12));
  report.Levels = teamsFromJson<double>(messageFields.at(13));
  for (const json &window : messageFields.at(14))
    report.Usage[window.at(0).get<WindowNumber>()] =
        teamsFromJson<std::int64_t>(window.at(1));
  messageFields.at(15).get_to(report.Moves);
  report.Pace = teamsFromJson<double>(messageFields.at(16));
  report.Demand = demandFromJson(messageFields.at(17));
  for (const json &it : messageFields.at(18))
    report.Included[HostId(it.at(0).get<std::string>())] =
        it.at(1).get<std::uint64_t>();
  // Hosts of an earlier version send no rate limits.
  if (messageFields.size() > RateLimitsField)
    report.RateLimits = rateLimitsFromJson(messageFields.at(RateLimitsField));
  if (messageFields.size() > RejectionLimitsField)
    report.RejectionLimits =
        rateLimitsFromJson(messageFields.at(RejectionLimitsField));
  if (messageFields.size() > CrashesField)
    report.Crashes = crashKnowledgeFromJson(messageFields.at(CrashesField));
  if (messageFields.size() > ShortDemandField)
    report.ShortDemand = demandFromJson(messageFields.at(ShortDemandField));
  return report;
}

ResourceChange changeFromJson(const json &from) {
  ResourceChange change;
  from.at(0).get_to(change.Object.Name);
  from.at(1).get_to(change.Object.Body);
  from.at(2).get_to(change.Object.Status);
  from.at(3).get_to(change.Object.Revision);
  from.at(4).get_to(change.IsRemoved);
  return change;
}

RelayedChanges relayedChangesFromJson(const json &messageFields) {
  RelayedChanges relayedChanges;
  const auto kind = messageFields.at(2).get<std::size_t>();
  if (kind >= ResourceKindCount)
    throw PeerMessageRefused("relayed changes have an unknown resource kind");
  relayedChanges.Kind = static_cast<ResourceKind>(kind);
  messageFields.at(3).get_to(relayedChanges.From);
  messageFields.at(4).get_to(relayedChanges.Changes.AtRevision);
  messageFields.at(5).get_to(relayedChanges.IsTruncated);
  relayedChanges.Age = Duration(messageFields.at(6).get<std::int64_t>());
  messageFields.at(7).get_to(relayedChanges.Echo);
  for (const json &it : messageFields.at(8)) {
    try {
      relayedChanges.Changes.Changes.push_back(changeFromJson(it));
    } catch (const json::exception &) {
      // The receiver has to get the change from the store.
      relayedChanges.IsTruncated = true;
    }
  }
  return relayedChanges;
}

} // namespace

std::string encodeFleetMessage(const FleetReport &report) {
  json members = json::array();
  for (const FleetMember &it : report.Members)
    members.push_back(memberToJson(it));
  json open = json::array();
  for (const auto &[id, work] : report.Open)
    open.push_back({id.text(), work.Calls, work.PromptTokens, work.Tokens});
  json usage = json::array();
  for (const auto &[window, counts] : report.Usage)
    usage.push_back({window, teamsToJson(counts)});
  json included = json::array();
  for (const auto &[host, sequence] : report.Included)
    included.push_back({host.text(), sequence});
  return toBytes({FleetFormatNumber,
                  static_cast<int>(FleetMessageKind::Report),
                  static_cast<int>(report.Scope),
                  report.Reporter.text(),
                  report.Zone.text(),
                  report.Incarnation.text(),
                  report.Sequence,
                  report.Uptime.count(),
                  report.SentAt,
                  report.FleetTimeMs,
                  members,
                  open,
                  teamsToJson(report.Used),
                  teamsToJson(report.Levels),
                  usage,
                  report.Moves,
                  teamsToJson(report.Pace),
                  demandToJson(report.Demand),
                  included,
                  rateLimitsToJson(report.RateLimits),
                  rateLimitsToJson(report.RejectionLimits),
                  crashKnowledgeToJson(report.Crashes),
                  demandToJson(report.ShortDemand)});
}

std::string encodeFleetMessage(const RelayedChanges &relayedChanges) {
  json changes = json::array();
  for (const ResourceChange &it : relayedChanges.Changes.Changes)
    changes.push_back({it.Object.Name, it.Object.Body, it.Object.Status,
                       it.Object.Revision, it.IsRemoved});
  return toBytes({FleetFormatNumber,
                  static_cast<int>(FleetMessageKind::RelayedChanges),
                  static_cast<int>(relayedChanges.Kind), relayedChanges.From,
                  relayedChanges.Changes.AtRevision, relayedChanges.IsTruncated,
                  relayedChanges.Age.count(), relayedChanges.Echo, changes});
}

FleetMessage decodeFleetMessage(const std::string &bytes) {
  try {
    const json messageFields = parseCbor(bytes);
    if (messageFields.at(0).get<int>() != FleetFormatNumber)
      throw PeerMessageRefused(
          "fleet message has an unsupported format number");
    if (messageFields.at(1).get<int>() ==
        static_cast<int>(FleetMessageKind::RelayedChanges))
      return relayedChangesFromJson(messageFields);
    return fleetReportFromJson(messageFields);
  } catch (const json::exception &error) {
    throw PeerMessageRefused(std::string("fleet message can't be decoded: ") +
                             error.what());
  }
}

} // namespace sorrelbay
