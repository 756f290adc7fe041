#include "LibOperator/RolloutStatusObject.h"
#include "LibBase/Rfc3339.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

using nlohmann::ordered_json;

PublishedRolloutState stateOf(const std::string &name) {
  for (const PublishedRolloutState it :
       {PublishedRolloutState::Moving, PublishedRolloutState::Done,
        PublishedRolloutState::TakenBack})
    if (name == nameOf(it))
      return it;
  throw RolloutStatusMalformed("unknown rollout state \"" + name + "\"");
}

ordered_json evidenceToJson(const std::vector<RouteEvidence> &evidence) {
  ordered_json out = ordered_json::object();
  for (const RouteEvidence &it : evidence)
    out[it.OnRoute.text()] = {{"calls", it.Count.Calls},
                              {"failures", it.Count.Failures},
                              {"late", it.Count.Late}};
  return out;
}

std::vector<RouteEvidence> evidenceFromJson(const ordered_json &from) {
  std::vector<RouteEvidence> out;
  for (const auto &it : from.items()) {
    EvidenceCount count;
    it.value().at("calls").get_to(count.Calls);
    it.value().at("failures").get_to(count.Failures);
    it.value().at("late").get_to(count.Late);
    out.push_back({RouteId(it.key()), count});
  }
  return out;
}

Instant timeAt(const ordered_json &from, const char *key) {
  const ordered_json &value = from.at(key);
  if (value.is_null())
    return {};
  const auto at = parseRfc3339(value.get<std::string>());
  if (!at)
    throw RolloutStatusMalformed(std::string(key) + " is not an RFC 3339 time");
  return *at;
}

ordered_json timeToJson(Instant at) {
  return at == Instant() ? ordered_json() : ordered_json(formatRfc3339(at));
}

RolloutStatusObject fromJson(const ordered_json &from) {
  RolloutStatusObject status;
  status.Version = VersionId(from.at("version").get<std::string>());
  status.Service = ServiceId(from.at("service").get<std::string>());
  from.at("generation").get_to(status.Generation);
  status.State = stateOf(from.at("state").get<std::string>());
  from.at("stage").get_to(status.Stage);
  from.at("share").get_to(status.Share);
  status.Deadline = timeAt(from, "deadline");
  from.at("cost_micros").get_to(status.Cost);
  status.Evidence = evidenceFromJson(from.at("evidence"));
  from.at("reason").get_to(status.Reason);
  status.Since = timeAt(from, "since");
  return status;
}

} // namespace

const char *nameOf(PublishedRolloutState state) {
  switch (state) {
  case PublishedRolloutState::Moving:
    return "moving";
  case PublishedRolloutState::Done:
    return "done";
  case PublishedRolloutState::TakenBack:
    return "taken_back";
  }
  return "";
}

std::string encodeRolloutStatus(const RolloutStatusObject &status) {
  ordered_json out;
  out["version"] = status.Version.text();
  out["service"] = status.Service.text();
  out["generation"] = status.Generation;
  out["state"] = nameOf(status.State);
  out["stage"] = status.Stage;
  out["share"] = status.Share;
  out["deadline"] = timeToJson(status.Deadline);
  out["cost_micros"] = status.Cost;
  out["evidence"] = evidenceToJson(status.Evidence);
  out["reason"] = status.Reason;
  out["since"] = timeToJson(status.Since);
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

RolloutStatusObject decodeRolloutStatus(const std::string &text) {
  try {
    return fromJson(ordered_json::parse(text));
  } catch (const ordered_json::exception &error) {
    throw RolloutStatusMalformed(
        std::string("the status of a rollout can't be decoded: ") +
        error.what());
  }
}

std::vector<RolloutStatusObject> readRolloutStatuses(const ObjectApi &api) {
  std::vector<RolloutStatusObject> out;
  for (const std::string &name : api.List(RolloutStatusPrefix))
    if (const auto object = api.Read(name))
      out.push_back(decodeRolloutStatus(object->Body));
  return out;
}

bool areRolloutsSettled(const Bundle &bundle,
                        const std::vector<RolloutStatusObject> &statuses) {
  const auto isSettled = [&](const UpstreamVersion &version) {
    return version.Deadline == Instant() ||
           std::any_of(statuses.begin(), statuses.end(),
                       [&](const RolloutStatusObject &it) {
                         return it.Version == version.Id &&
                                it.Generation >= bundle.Generation &&
                                it.State != PublishedRolloutState::Moving;
                       });
  };
  return std::all_of(bundle.Versions.begin(), bundle.Versions.end(), isSettled);
}

} // namespace sorrelbay
