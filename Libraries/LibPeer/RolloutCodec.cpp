#include "LibPeer/RolloutCodec.h"
#include "LibPeer/RolloutJson.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

using nlohmann::json;

json countToJson(const EvidenceCount &count) {
  return {count.Calls, count.Failures, count.Late};
}

EvidenceCount countFromJson(const json &from) {
  return {from.at(0).get<std::uint64_t>(), from.at(1).get<std::uint64_t>(),
          from.at(2).get<std::uint64_t>()};
}

json vetoToJson(const Veto &veto) {
  return {{"version", veto.Version.text()},
          {"at", veto.At.time_since_epoch().count()},
          {"by", veto.By.text()},
          {"reason", static_cast<int>(veto.Reason)},
          {"route", veto.OnRoute.text()},
          {"statistic", veto.Statistic},
          {"new", countToJson(veto.New)},
          {"old", countToJson(veto.Old)}};
}

Veto vetoFromJson(const json &from) {
  Veto veto;
  veto.Version = VersionId(from.at("version").get<std::string>());
  veto.At = Instant(Duration(from.at("at").get<std::int64_t>()));
  veto.By = HostId(from.at("by").get<std::string>());
  const int reason = from.at("reason").get<int>();
  if (reason < 0 || reason > static_cast<int>(RollbackReason::Deadline))
    throw RolloutKnowledgeMalformed("veto has an unknown rollback reason");
  veto.Reason = static_cast<RollbackReason>(reason);
  veto.OnRoute = RouteId(from.at("route").get<std::string>());
  veto.Statistic = from.at("statistic").get<double>();
  veto.New = countFromJson(from.at("new"));
  veto.Old = countFromJson(from.at("old"));
  return veto;
}

json evidenceToJson(const EvidencePool &pool) {
  json out = json::array();
  for (const auto &[source, counts] : pool.sources())
    for (const auto &[key, count] : counts)
      out.push_back({source.Host.text(), source.Incarnation.text(),
                     key.Version.text(), key.OnRoute.text(),
                     countToJson(count)});
  return out;
}

void evidenceFromJson(EvidencePool &pool, const json &from) {
  for (const json &it : from)
    pool.mergeCount({HostId(it.at(0).get<std::string>()),
                     IncarnationId(it.at(1).get<std::string>())},
                    {VersionId(it.at(2).get<std::string>()),
                     RouteId(it.at(3).get<std::string>())},
                    countFromJson(it.at(4)));
}

} // namespace

json rolloutToJson(const RolloutKnowledge &knowledge) {
  json vetoes = json::array();
  for (const auto &it : knowledge.Vetoes)
    vetoes.push_back(vetoToJson(it.second));
  json stages = json::array();
  for (const auto &[version, mark] : knowledge.Stages)
    stages.push_back(
        {version.text(), mark.Stage, mark.Since.time_since_epoch().count()});
  return {{"vetoes", std::move(vetoes)},
          {"stages", std::move(stages)},
          {"evidence", evidenceToJson(knowledge.Evidence)}};
}

RolloutKnowledge rolloutFromJson(const json &from) {
  try {
    RolloutKnowledge out;
    for (const json &it : from.at("vetoes"))
      addVeto(out, vetoFromJson(it));
    for (const json &it : from.at("stages"))
      raiseStage(out, VersionId(it.at(0).get<std::string>()),
                 {it.at(1).get<unsigned>(),
                  Instant(Duration(it.at(2).get<std::int64_t>()))});
    evidenceFromJson(out.Evidence, from.at("evidence"));
    return out;
  } catch (const json::exception &error) {
    throw RolloutKnowledgeMalformed(
        std::string("rollout knowledge can't be decoded: ") + error.what());
  }
}

std::string encodeRolloutKnowledge(const RolloutKnowledge &knowledge) {
  return rolloutToJson(knowledge).dump(-1, ' ', false,
                                       json::error_handler_t::replace);
}

RolloutKnowledge decodeRolloutKnowledge(const std::string &text) {
  const json from = json::parse(text, nullptr, false);
  if (from.is_discarded())
    throw RolloutKnowledgeMalformed("rollout knowledge is not valid JSON");
  return rolloutFromJson(from);
}

} // namespace sorrelbay
