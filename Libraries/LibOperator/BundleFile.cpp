#include "LibOperator/BundleFile.h"
#include "LibBase/Rfc3339.h"
#include "LibBase/TomlReader.h"
#include <algorithm>
#include <cmath>
#include <optional>

namespace sorrelbay {

namespace {

constexpr std::int64_t MaxDeadlineSeconds = std::int64_t{366} * 24 * 3600;
constexpr std::int64_t MaxTargetMs = std::int64_t{3600} * 1000;
constexpr int MaxPriority = 100;
constexpr int MaxWeight = 1000;
constexpr std::size_t MaxIdLength = 100;
constexpr double ShareTolerance = 1e-6;

/// The tables of the file, kept so that errors found by comparing tables are
/// reported with their lines.
struct BundleTables {
  std::vector<TomlReader> Services;
  std::vector<TomlReader> Versions;
  std::vector<TomlReader> Routes;
  std::vector<TomlReader> Teams;
};

bool isIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

/// Reads an id. Ids become parts of object names, metric labels and headers,
/// which limits their characters.
std::string readId(TomlReader &reader, const char *key) {
  std::string id = reader.requiredText(key);
  if (!reader.has(key))
    return id;
  if (id.empty() || id.size() > MaxIdLength ||
      !std::all_of(id.begin(), id.end(), isIdCharacter))
    reader.addFault(key, "must be 1 to 100 letters, digits, '-', '_' or '.'");
  return id;
}

UpstreamKind readKind(TomlReader &reader) {
  const std::string kind = reader.requiredText("kind");
  if (kind != "engine" && kind != "desk" && reader.has("kind"))
    reader.addFault("kind", "must be \"engine\" or \"desk\"");
  return kind == "desk" ? UpstreamKind::Desk : UpstreamKind::Engine;
}

DeadlinePolicy readPolicy(TomlReader &reader) {
  const std::string policy = reader.text("deadline_policy", "safe");
  if (policy != "safe" && policy != "in_time")
    reader.addFault("deadline_policy", "must be \"safe\" or \"in_time\"");
  return policy == "in_time" ? DeadlinePolicy::InTime : DeadlinePolicy::Safe;
}

Instant readDeadline(TomlReader &reader, Instant referenceTime) {
  if (reader.has("deadline") && reader.has("deadline_in_s"))
    reader.addFault("deadline_in_s", "can't be combined with deadline");
  const std::int64_t in =
      reader.integer("deadline_in_s", 0, 1, MaxDeadlineSeconds);
  const std::string text = reader.text("deadline", "");
  if (in > 0)
    return referenceTime + seconds(in);
  if (!reader.has("deadline"))
    return {};
  const std::optional<Instant> deadline = parseRfc3339(text);
  if (!deadline)
    reader.addFault("deadline", "must be an RFC 3339 time with a UTC offset");
  return deadline.value_or(referenceTime);
}

Service readService(TomlReader &reader) {
  Service service;
  service.Id = ServiceId(readId(reader, "id"));
  service.Kind = readKind(reader);
  service.Policy = readPolicy(reader);
  return service;
}

UpstreamVersion readVersion(TomlReader &reader, Instant referenceTime) {
  UpstreamVersion version;
  version.Id = VersionId(readId(reader, "id"));
  version.Service = ServiceId(readId(reader, "service"));
  version.Share = reader.number("share", 1, 0, 1);
  version.Deadline = readDeadline(reader, referenceTime);
  version.Adapters = reader.texts("adapters");
  return version;
}

Route readRoute(TomlReader &reader) {
  Route route;
  route.Id = RouteId(readId(reader, "id"));
  route.Service = ServiceId(readId(reader, "service"));
  route.Repeatable = reader.boolean("repeatable", true);
  route.Priority =
      static_cast<int>(reader.integer("priority", 0, 0, MaxPriority));
  route.LatencyTarget =
      milliseconds(reader.requiredInteger("latency_target_ms", 1, MaxTargetMs));
  route.TokenTarget =
      milliseconds(reader.integer("token_target_ms", 0, 0, MaxTargetMs));
  return route;
}

Team readTeam(TomlReader &reader) {
  Team team;
  team.Id = TeamId(readId(reader, "id"));
  team.Weight = static_cast<int>(reader.integer("weight", 1, 1, MaxWeight));
  return team;
}

CostPolicy readCost(TomlReader reader) {
  CostPolicy cost;
  cost.ReclaimableShare = reader.number("reclaimable_share", 1, 0, 1);
  cost.HourlyLimit = reader.integer("hourly_limit", 0, 0, MaxGeneration);
  return cost;
}

template <typename Entry>
void checkUnique(const std::vector<Entry> &entries,
                 std::vector<TomlReader> &tables) {
  for (std::size_t n = 0; n < entries.size(); ++n)
    for (std::size_t earlier = 0; earlier < n; ++earlier)
      if (entries[earlier].Id == entries[n].Id && !entries[n].Id.empty()) {
        tables[n].addFault("id", "is already in use");
        break;
      }
}

void checkVersions(const Bundle &bundle, BundleTables &tables) {
  for (std::size_t n = 0; n < bundle.Versions.size(); ++n)
    if (findService(bundle, bundle.Versions[n].Service) == nullptr)
      tables.Versions[n].addFault("service", "is not a service of this bundle");
}

void checkRoutes(const Bundle &bundle, BundleTables &tables) {
  for (std::size_t n = 0; n < bundle.Routes.size(); ++n) {
    const Route &route = bundle.Routes[n];
    TomlReader &table = tables.Routes[n];
    const Service *service = findService(bundle, route.Service);
    if (service == nullptr) {
      table.addFault("service", "is not a service of this bundle");
      continue;
    }
    // Compares the kind's text, since a misspelt kind is reported separately
    // and must not cause further errors.
    const auto index = service - bundle.Services.data();
    const std::string kind = tables.Services[index].text("kind", "");
    if (!route.Repeatable && kind == "engine")
      table.addFault("repeatable", "may be false only for a route to a desk");
    if (route.TokenTarget.count() != 0 && kind == "desk")
      table.addFault("token_target_ms",
                     "may be set only for a route to an engine");
  }
}

/// Checks that the shares of a service's versions add up to 1 and that at most
/// one version has no deadline: the pace of a rollout depends on its deadline.
void checkRollouts(const Bundle &bundle, BundleTables &tables) {
  for (std::size_t n = 0; n < bundle.Services.size(); ++n) {
    double sum = 0;
    int count = 0;
    int withoutDeadline = 0;
    for (std::size_t v = 0; v < bundle.Versions.size(); ++v) {
      const UpstreamVersion &version = bundle.Versions[v];
      if (version.Service != bundle.Services[n].Id)
        continue;
      sum += version.Share;
      ++count;
      if (version.Deadline == Instant() && ++withoutDeadline > 1)
        tables.Versions[v].addFault(
            "deadline", "is missing; only one version of a service may "
                        "omit it");
    }
    if (count == 0)
      tables.Services[n].addFault("id", "has no version in this bundle");
    else if (std::abs(sum - 1) > ShareTolerance)
      tables.Services[n].addFault("id",
                                  "the shares of its versions add up to " +
                                      std::to_string(sum) + ", not to 1");
  }
}

void checkAcrossTables(const Bundle &bundle, BundleTables &tables) {
  checkUnique(bundle.Services, tables.Services);
  checkUnique(bundle.Versions, tables.Versions);
  checkUnique(bundle.Routes, tables.Routes);
  checkUnique(bundle.Teams, tables.Teams);
  checkVersions(bundle, tables);
  checkRoutes(bundle, tables);
  checkRollouts(bundle, tables);
}

} // namespace

Bundle parseBundle(const std::string &text, const std::string &file,
                   Instant referenceTime) {
  TomlReader root = TomlReader::parse(text, file);
  Bundle bundle;
  bundle.Generation = static_cast<std::uint64_t>(
      root.requiredInteger("generation", 1, MaxGeneration));
  BundleTables tables{root.tables("service"), root.tables("version"),
                      root.tables("route"), root.tables("team")};
  for (TomlReader &it : tables.Services)
    bundle.Services.push_back(readService(it));
  for (TomlReader &it : tables.Versions)
    bundle.Versions.push_back(readVersion(it, referenceTime));
  for (TomlReader &it : tables.Routes)
    bundle.Routes.push_back(readRoute(it));
  for (TomlReader &it : tables.Teams)
    bundle.Teams.push_back(readTeam(it));
  bundle.Cost = readCost(root.table("cost"));
  if (bundle.Services.empty())
    root.addFault("service", "is missing; a bundle must have at least one");
  checkAcrossTables(bundle, tables);
  root.finish();
  return bundle;
}

} // namespace sorrelbay
