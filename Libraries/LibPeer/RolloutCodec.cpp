#include "LibPeer/RolloutCodec.h"
#include "LibBase/JsonList.h"
#include "LibPeer/RolloutJson.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

using nlohmann::json;

/// The largest stage of a rollout; no plan has as many.
constexpr std::uint64_t MaxStage = 1000;

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
  pool.mergeCount({HostId(from.at(0).get<std::string>()),
                   IncarnationId(from.at(1).get<std::string>())},
                  {VersionId(from.at(2).get<std::string>()),
                   RouteId(from.at(3).get<std::string>())},
                  countFromJson(from.at(4)));
}

void stageFromJson(RolloutKnowledge &knowledge, const json &from) {
  const auto stage = from.at(1).get<std::uint64_t>();
  if (stage > MaxStage)
    throw RolloutKnowledgeMalformed("a stage is out of range");
  raiseStage(knowledge, VersionId(from.at(0).get<std::string>()),
             {static_cast<unsigned>(stage),
              Instant(Duration(from.at(2).get<std::int64_t>()))});
}

RolloutKnowledge knowledgeFromJson(const json &from,
                                   std::vector<std::string> *refused) {
  try {
    RolloutKnowledge out;
    forEachElement(from.at("vetoes"), refused,
                   [&](const json &it) { addVeto(out, vetoFromJson(it)); });
    forEachElement(from.at("stages"), refused,
                   [&](const json &it) { stageFromJson(out, it); });
    forEachElement(from.at("evidence"), refused,
                   [&](const json &it) { evidenceFromJson(out.Evidence, it); });
    return out;
  } catch (const json::exception &error) {
    throw RolloutKnowledgeMalformed(
        std::string("rollout knowledge can't be decoded: ") + error.what());
  }
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
  return knowledgeFromJson(from, nullptr);
}

std::string encodeRolloutKnowledge(const RolloutKnowledge &knowledge) {
  return rolloutToJson(knowledge).dump(-1, ' ', false,
                                       json::error_handler_t::replace);
}

static RolloutKnowledge decode(const std::string &text,
                               std::vector<std::string> *refused) {
  try {
    return knowledgeFromJson(parseJson(text), refused);
  } catch (const json::parse_error &) {
    throw RolloutKnowledgeMalformed("rollout knowledge is not valid JSON");
  }
}

RolloutKnowledge decodeRolloutKnowledge(const std::string &text) {
  return decode(text, nullptr);
}

RolloutKnowledge
decodeReadableRolloutKnowledge(const std::string &text,
                               std::vector<std::string> &refused) {
  return decode(text, &refused);
}

} // namespace sorrelbay
