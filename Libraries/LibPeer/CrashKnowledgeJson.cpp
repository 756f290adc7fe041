#include "LibPeer/CrashKnowledgeJson.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

using nlohmann::json;

std::int64_t toNumber(Instant at) { return at.time_since_epoch().count(); }

Instant instantFrom(const json &from) {
  return Instant(Duration(from.get<std::int64_t>()));
}

json crashToJson(const UpstreamCrash &crash) {
  json suspects = json::array();
  for (const auto &[part, send] : crash.Suspects)
    suspects.push_back({part, toNumber(send.SentAt), send.CallHash});
  return {crash.Upstream.text(), crash.StartedMs, crash.Service.text(),
          toNumber(crash.At), std::move(suspects)};
}

UpstreamCrash crashFromJson(const json &from) {
  UpstreamCrash out;
  out.Upstream = UpstreamId(from.at(0).get<std::string>());
  out.StartedMs = from.at(1).get<std::int64_t>();
  out.Service = ServiceId(from.at(2).get<std::string>());
  out.At = instantFrom(from.at(3));
  for (const json &it : from.at(4))
    out.Suspects[it.at(0).get<std::string>()] = {instantFrom(it.at(1)),
                                                 it.at(2).get<std::uint64_t>()};
  return out;
}

} // namespace

json crashKnowledgeToJson(const CrashKnowledge &knowledge) {
  json crashes = json::array();
  for (const UpstreamCrash &it : knowledge.Crashes)
    crashes.push_back(crashToJson(it));
  json survived = json::array();
  for (const auto &[key, at] : knowledge.SurvivedAt)
    survived.push_back({key.Service.text(), key.Part, toNumber(at)});
  json quarantines = json::array();
  for (const auto &[key, mark] : knowledge.Quarantines)
    quarantines.push_back({key.Service.text(), key.Parts,
                           toNumber(mark.DeclaredAt), toNumber(mark.ReleasedAt),
                           mark.Crashes});
  return json::array({crashes, survived, quarantines});
}

CrashKnowledge crashKnowledgeFromJson(const json &from) {
  CrashKnowledge out;
  for (const json &it : from.at(0))
    out.Crashes.push_back(crashFromJson(it));
  for (const json &it : from.at(1))
    out.SurvivedAt[{ServiceId(it.at(0).get<std::string>()),
                    it.at(1).get<std::string>()}] = instantFrom(it.at(2));
  for (const json &it : from.at(2)) {
    const QuarantineKey key{ServiceId(it.at(0).get<std::string>()),
                            it.at(1).get<std::vector<std::string>>()};
    out.Quarantines[key] = {instantFrom(it.at(2)), instantFrom(it.at(3)),
                            it.at(4).get<int>()};
  }
  return out;
}

} // namespace sorrelbay
