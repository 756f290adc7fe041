#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

/// What may be done with a call whose outcome isn't known.
enum class Repeatability {
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each attempt of a caller.
  NonIdempotent,
};

/// A service and its part of a route's calls. Weights are relative.
struct WeightedService {
  ServiceId Name;
  double Weight = 0;

  friend bool operator==(const WeightedService &a, const WeightedService &b) {
    return std::tie(a.Name, a.Weight) == std::tie(b.Name, b.Weight);
  }
};

/// Which calls go to which services, and what they are owed. A call belongs to
/// the route of its host name with the longest prefix that begins its path.
struct ServingRoute {
  RouteId Name;
  std::string HostName;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  Repeatability Kind = Repeatability::NonIdempotent;
  /// The answer is a stream of events.
  bool IsStream = false;
  /// A stream that broke off may go on at another upstream.
  bool IsResumable = false;
  /// Callers need no key.
  bool IsPublic = false;
  /// The longest time that a call may be kept without its whole answer.
  Duration Timeout{};
  /// A first byte after this is late.
  Duration LatencyTarget{};
  /// A longer pause between a stream's events makes it late.
  Duration MaxEventGap{};
  /// 0 goes first.
  int Priority = 0;
  /// Upstreams that one attempt of a caller may be sent to.
  int MaxAttempts = 1;
  std::vector<WeightedService> ServiceWeights;
  /// Regions whose upstreams may run its calls; empty for all.
  std::vector<std::string> PermittedRegions;
};

/// What a service's engines are like.
struct EngineShape {
  /// Calls that one engine works on at once.
  int Slots = 1;
  /// Tokens that fit into one engine's memory.
  std::int64_t MemoryTokens = 0;
  // FIXME: Moves of memory at a reclaim.
  /// A running answer's memory can be moved to another engine.
  bool CanMigrateKvCache = false;
  /// How long a moved memory is kept for its call.
  Duration KvCacheHandleTtl{};
};

/// How many replicas of a service may be ordered, and what they cost.
struct ScalingBounds {
  /// In each zone, of both kinds together.
  int MinReplicas = 0;
  int MaxReplicas = 0;
  /// From the order until a replica serves.
  Duration StartupTime{};
  /// What a reclaimable replica costs, as a share of an on-demand one.
  double ReclaimablePrice = 1;
  std::map<ZoneId, double> ZonePrices;
};

struct ServingService {
  ServiceId Name;
  /// Connections that one upstream takes from all hosts together.
  int MaxConnections = 0;
  std::optional<EngineShape> Engine;
  std::optional<ScalingBounds> Scaling;
  /// Calls a second that one upstream takes from all hosts together while it is
  /// cold; 0 for no limit.
  double ColdRate = 0;
};

/// A team and what it may use.
struct ServingTeam {
  TeamId Name;
  std::vector<std::string> Keys;
  /// Goes before the route's where it is set.
  std::optional<int> Priority;
  bool CountsTokens = false;
  /// What a call counts that doesn't say how many tokens it has.
  std::int64_t FallbackTokens = 1;
  /// Units a second over all hosts; 0 for no limit.
  std::int64_t Rate = 0;
  /// Units that may be used at once besides.
  std::int64_t Burst = 0;
  /// Regions whose upstreams may run its calls; empty for all. Where a route
  /// has homes, too, both bind.
  std::vector<std::string> PermittedRegions;
};

/// What callers may send.
struct CallLimits {
  std::size_t MaxHeaderBytes = 16UL * 1024;
  std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
  Duration HeaderTimeout = seconds(3);
  Duration IdleTimeout = seconds(15);
};

/// All that the operators have signed off for serving, as one value that isn't
/// changed once it is made.
struct ServingPlan {
  /// Grows with each change; never goes back within a daemon's life.
  std::uint64_t Version = 0;
  std::vector<ServingRoute> Routes;
  std::vector<ServingService> Services;
  std::vector<ServingTeam> Teams;
  CallLimits Limits;
};

/// A plan with what finds its parts quickly: a thousand routes must not make
/// each call slower.
class PlanIndex {
public:
  explicit PlanIndex(ServingPlan plan);
  PlanIndex(const PlanIndex &) = delete;
  PlanIndex &operator=(const PlanIndex &) = delete;

  const ServingPlan &plan() const { return Plan; }
  /// The route of a call, by the host name that it names (a port is passed
  /// over) and its path with or without a query; nothing if there is none.
  const ServingRoute *routeOf(const std::string &hostName,
                              const std::string &path) const;
  /// The team that holds the key; nothing if no team does.
  const ServingTeam *teamOf(const std::string &key) const;
  const ServingService *service(const ServiceId &name) const;
  /// Calls need a key unless their route is public.
  bool needsKeys() const { return !Plan.Teams.empty(); }

private:
  ServingPlan Plan;
  std::unordered_map<std::string, const ServingRoute *> Routes;
  std::unordered_map<std::string, const ServingTeam *> Teams;
  std::unordered_map<ServiceId, const ServingService *> Services;
};

/// The service that a call goes to, by a fraction in [0, 1) drawn for it.
/// Nothing if the route has no service with a weight.
const WeightedService *chooseService(const ServingRoute &route,
                                     double fraction);

} // namespace sorrelbay
