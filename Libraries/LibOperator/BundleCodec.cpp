#include "LibOperator/BundleCodec.h"
#include "LibBase/JsonList.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

using nlohmann::json;

constexpr int FormatNumber = 1;

const char *nameOf(UpstreamKind kind) {
  return kind == UpstreamKind::Desk ? "desk" : "engine";
}

const char *nameOf(DeadlinePolicy policy) {
  return policy == DeadlinePolicy::InTime ? "in_time" : "safe";
}

/// Unknown names are mapped to a value that encodes to different bytes, so that
/// decodeBundle rejects them.
UpstreamKind kindOf(const std::string &name) {
  return name == "desk" ? UpstreamKind::Desk : UpstreamKind::Engine;
}

DeadlinePolicy policyOf(const std::string &name) {
  return name == "in_time" ? DeadlinePolicy::InTime : DeadlinePolicy::Safe;
}

json toJson(const Service &service) {
  return {{"id", service.Id.text()},
          {"kind", nameOf(service.Kind)},
          {"policy", nameOf(service.Policy)}};
}

json toJson(const UpstreamVersion &version) {
  return {{"id", version.Id.text()},
          {"service", version.Service.text()},
          {"share", version.Share},
          {"deadline_us", version.Deadline.time_since_epoch().count()},
          {"adapters", version.Adapters}};
}

json toJson(const Route &route) {
  return {{"id", route.Id.text()},
          {"service", route.Service.text()},
          {"repeatable", route.Repeatable},
          {"priority", route.Priority},
          {"latency_target_us", route.LatencyTarget.count()},
          {"token_target_us", route.TokenTarget.count()}};
}

json toJson(const Team &team) {
  return {{"id", team.Id.text()}, {"weight", team.Weight}};
}

json toJson(const CostPolicy &cost) {
  return {{"reclaimable_share", cost.ReclaimableShare},
          {"hourly_limit", cost.HourlyLimit}};
}

template <typename Entry> json toJsonArray(const std::vector<Entry> &entries) {
  json out = json::array();
  for (const Entry &it : entries)
    out.push_back(toJson(it));
  return out;
}

template <typename Id> Id idAt(const json &from, const char *key) {
  return Id(from.at(key).get<std::string>());
}

Duration durationAt(const json &from, const char *key) {
  return Duration(from.at(key).get<std::int64_t>());
}

void fromJson(const json &from, Service &service) {
  service.Id = idAt<ServiceId>(from, "id");
  service.Kind = kindOf(from.at("kind").get<std::string>());
  service.Policy = policyOf(from.at("policy").get<std::string>());
}

void fromJson(const json &from, UpstreamVersion &version) {
  version.Id = idAt<VersionId>(from, "id");
  version.Service = idAt<ServiceId>(from, "service");
  version.Share = from.at("share").get<double>();
  version.Deadline = Instant(durationAt(from, "deadline_us"));
  version.Adapters = from.at("adapters").get<std::vector<std::string>>();
}

void fromJson(const json &from, Route &route) {
  route.Id = idAt<RouteId>(from, "id");
  route.Service = idAt<ServiceId>(from, "service");
  route.Repeatable = from.at("repeatable").get<bool>();
  route.Priority = from.at("priority").get<int>();
  route.LatencyTarget = durationAt(from, "latency_target_us");
  route.TokenTarget = durationAt(from, "token_target_us");
}

void fromJson(const json &from, Team &team) {
  team.Id = idAt<TeamId>(from, "id");
  team.Weight = from.at("weight").get<int>();
}

template <typename Entry>
std::vector<Entry> entriesAt(const json &from, const char *key) {
  std::vector<Entry> out;
  for (const json &it : from.at(key)) {
    out.emplace_back();
    fromJson(it, out.back());
  }
  return out;
}

Bundle bundleOf(const json &from) {
  Bundle bundle;
  bundle.Generation = from.at("generation").get<std::uint64_t>();
  bundle.Services = entriesAt<Service>(from, "services");
  bundle.Versions = entriesAt<UpstreamVersion>(from, "versions");
  bundle.Routes = entriesAt<Route>(from, "routes");
  bundle.Teams = entriesAt<Team>(from, "teams");
  const json &cost = from.at("cost");
  bundle.Cost.ReclaimableShare = cost.at("reclaimable_share").get<double>();
  bundle.Cost.HourlyLimit = cost.at("hourly_limit").get<std::int64_t>();
  return bundle;
}

} // namespace

std::string encodeBundle(const Bundle &bundle) {
  const json value = {{"format", FormatNumber},
                      {"generation", bundle.Generation},
                      {"services", toJsonArray(bundle.Services)},
                      {"versions", toJsonArray(bundle.Versions)},
                      {"routes", toJsonArray(bundle.Routes)},
                      {"teams", toJsonArray(bundle.Teams)},
                      {"cost", toJson(bundle.Cost)}};
  std::string out;
  json::to_cbor(value, out);
  return out;
}

Bundle decodeBundle(const std::string &bytes) {
  if (bytes.size() > MaxBundleBytes)
    throw BundleTooLarge("the bundle has " + std::to_string(bytes.size()) +
                         " bytes; the maximum is 524288");
  Bundle bundle;
  try {
    bundle = bundleOf(parseCbor(bytes));
  } catch (const json::exception &error) {
    throw BundleMalformed(std::string("the bundle can't be decoded: ") +
                          error.what());
  }
  // Bundles are compared by their bytes, so each must have a single encoding.
  // This also detects unknown keys, which would otherwise be ignored.
  if (encodeBundle(bundle) != bytes)
    throw BundleMalformed("the bundle is not in its canonical form");
  return bundle;
}

} // namespace sorrelbay
