#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/AllotmentReserve.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

/// Whether a call whose outcome is unknown may be sent again.
enum class Repeatability {
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each attempt of a caller.
  NonIdempotent,
};

/// A service and its share of a route's calls. Weights are relative.
struct WeightedService {
  ServiceId Name;
  double Weight = 0;

  friend bool operator==(const WeightedService &a, const WeightedService &b) {
    return std::tie(a.Name, a.Weight) == std::tie(b.Name, b.Weight);
  }
};

/// Which calls go to which services, and their guarantees. A call belongs to
/// the route of its host name with the longest prefix of its path.
struct ServingRoute {
  RouteId Name;
  std::string HostName;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  Repeatability Kind = Repeatability::NonIdempotent;
  /// The response is a stream of server-sent events.
  bool IsStream = false;
  /// An interrupted stream may be resumed at another upstream.
  bool IsResumable = false;
  /// Callers need no API key.
  bool IsPublic = false;
  /// Maximum time from the receipt of a call until its response is complete.
  Duration Timeout{};
  /// A first byte that takes longer than this is late.
  Duration LatencyTarget{};
  /// A longer gap between two events of a stream makes it late.
  Duration MaxEventGap{};
  /// 0 is the highest priority.
  int Priority = 0;
  /// Maximum number of upstreams that one attempt of a caller is sent to.
  int MaxAttempts = 1;
  std::vector<WeightedService> ServiceWeights;
  /// Regions whose upstreams may run the route's calls; empty for all.
  std::vector<std::string> PermittedRegions;
};

/// The capacity and features of a service's engines.
struct EngineShape {
  /// Calls that one engine processes concurrently.
  int Slots = 1;
  /// Capacity of one engine's memory, in tokens.
  std::int64_t MemoryTokens = 0;
  // FIXME: Migrate KV caches when replicas are reclaimed.
  /// The KV cache of a running call can be migrated to another engine.
  bool CanMigrateKvCache = false;
  /// How long an engine keeps a migrated KV cache for its call.
  Duration KvCacheHandleTtl{};
};

/// How many replicas of a service may be ordered, and their cost.
struct ScalingBounds {
  /// Minimum number of replicas in each zone, of both kinds together.
  int MinReplicas = 0;
  /// Maximum number of replicas in each zone, of both kinds together.
  int MaxReplicas = 0;
  /// Time from an order until the replica serves calls.
  Duration StartupTime{};
  /// Cost of a reclaimable replica as a share of an on-demand one's.
  double ReclaimablePrice = 1;
  std::map<ZoneId, double> ZonePrices;
};

struct ServingService {
  ServiceId Name;
  /// Maximum connections to one upstream from all hosts together.
  int MaxConnections = 0;
  std::optional<EngineShape> Engine;
  std::optional<ScalingBounds> Scaling;
  /// Calls per second that one upstream accepts from all hosts together while
  /// it is cold; 0 for no limit.
  double ColdRate = 0;
};

/// A team and its quota.
struct ServingTeam {
  TeamId Name;
  std::vector<std::string> Keys;
  /// Overrides the route's priority if set.
  std::optional<int> Priority;
  bool CountsTokens = false;
  /// Tokens charged for a call that does not state its number of tokens.
  std::int64_t FallbackTokens = 1;
  /// Units per second over all hosts, in tokens if `CountsTokens` is set and in
  /// calls otherwise; 0 for no limit.
  std::int64_t Rate = 0;
  /// Units that may be used at once in addition to the rate.
  std::int64_t Burst = 0;
  /// Regions whose upstreams may run the team's calls; empty for all. If the
  /// route is restricted to regions, too, both restrictions apply.
  std::vector<std::string> PermittedRegions;
};

/// Limits on callers' requests.
struct CallLimits {
  std::size_t MaxHeaderBytes = 16UL * 1024;
  std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
  Duration HeaderTimeout = seconds(3);
  Duration IdleTimeout = seconds(15);
};

/// The complete serving configuration approved by the operators, as one
/// immutable value.
struct ServingPlan {
  /// Increases with each change; never decreases while a daemon runs.
  std::uint64_t Version = 0;
  std::vector<ServingRoute> Routes;
  std::vector<ServingService> Services;
  std::vector<ServingTeam> Teams;
  CallLimits Limits;
  /// Why entries of the plan were refused. The plan has no other part of them
  /// than the place of a route, whose calls must not take another.
  std::vector<std::string> Refused;
};

/// A plan with indexes for its parts, so that the cost of a call does not grow
/// with the number of routes, which may be a thousand.
class PlanIndex {
public:
  explicit PlanIndex(ServingPlan plan);
  PlanIndex(const PlanIndex &) = delete;
  PlanIndex &operator=(const PlanIndex &) = delete;

  const ServingPlan &plan() const { return Plan; }
  /// The route of a call by its host name (the port is ignored) and its path,
  /// with or without a query; null if there is none.
  const ServingRoute *routeOf(const std::string &hostName,
                              const std::string &path) const;
  /// The team that holds the API key; null if none does.
  const ServingTeam *teamOf(const std::string &key) const;
  const ServingService *service(const ServiceId &name) const;
  /// The class of a team's calls through the route, by the priorities of the
  /// routes that teams are charged for. A team with a priority of its own has
  /// one class of calls.
  CallClass classOf(const ServingRoute &route, const ServingTeam &team) const;
  /// Whether calls need an API key unless their route is public.
  bool needsKeys() const { return !Plan.Teams.empty(); }

private:
  ServingPlan Plan;
  std::set<int> ChargedPriorities;
  std::unordered_map<std::string, const ServingRoute *> Routes;
  std::unordered_map<std::string, const ServingTeam *> Teams;
  std::unordered_map<ServiceId, const ServingService *> Services;
};

/// The service for a call, selected by a random `fraction` in [0, 1). Null if
/// the route has no service with a positive weight.
const WeightedService *chooseService(const ServingRoute &route,
                                     double fraction);

} // namespace sorrelbay
