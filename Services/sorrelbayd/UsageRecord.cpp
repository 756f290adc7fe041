#include "UsageRecord.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

using nlohmann::json;

static json fromCounts(const TeamCounts &counts) {
  json out = json::object();
  for (const auto &[team, count] : counts)
    out[team.text()] = count;
  return out;
}

static TeamCounts toCounts(const json &from) {
  TeamCounts out;
  for (const auto &it : from.items())
    out[TeamId(it.key())] = it.value().get<std::int64_t>();
  return out;
}

static json fromKnown(WindowNumber window, const UsageCounts::Counted &known) {
  json hosts = json::array();
  for (const auto &[zone, all] : known.Hosts)
    for (const auto &[incarnation, counts] : all)
      hosts.push_back({zone.text(), incarnation.text(), fromCounts(counts)});
  json zones = json::array();
  for (const auto &[zone, counts] : known.Zones)
    zones.push_back({zone.text(), fromCounts(counts)});
  return {{"window", window}, {"hosts", hosts}, {"zones", zones}};
}

static UsageCounts::Counted toKnown(const json &from) {
  UsageCounts::Counted out;
  for (const json &it : from.at("hosts"))
    out.Hosts[ZoneId(it.at(0).get<std::string>())]
             [IncarnationId(it.at(1).get<std::string>())] = toCounts(it.at(2));
  for (const json &it : from.at("zones"))
    out.Zones[ZoneId(it.at(0).get<std::string>())] = toCounts(it.at(1));
  return out;
}

std::string encodeUsageRecord(const UsageRecord &record) {
  json windows = json::array();
  for (const auto &[number, it] : record.Settled)
    windows.push_back({{"window", number},
                       {"counts", fromCounts(it.Counts)},
                       {"accepted", it.IsAccepted}});
  json known = json::array();
  for (const auto &[number, it] : record.Known)
    known.push_back(fromKnown(number, it));
  return json{{"windows", windows}, {"known", known}}.dump();
}

UsageRecord decodeUsageRecord(const std::string &text) {
  try {
    UsageRecord out;
    const json body = json::parse(text);
    for (const json &it : body.at("windows"))
      out.Settled[it.at("window").get<WindowNumber>()] = {
          toCounts(it.at("counts")), it.at("accepted").get<bool>()};
    // Records of an earlier version have no "known".
    if (const auto known = body.find("known"); known != body.end())
      for (const json &it : *known)
        out.Known[it.at("window").get<WindowNumber>()] = toKnown(it);
    return out;
  } catch (const json::exception &error) {
    throw UsageRecordMalformed(std::string("malformed usage record: ") +
                               error.what());
  }
}

} // namespace sorrelbay
