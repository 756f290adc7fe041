#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// The kind of a service's upstreams.
enum class UpstreamKind { Engine, Desk };

/// What a rollout does when its deadline passes before there is enough
/// evidence.
enum class DeadlinePolicy {
  /// Continue to the full share with the evidence at hand.
  InTime,
  /// Roll the version back.
  Safe,
};

/// A kind of call, with its own latency target and evidence.
struct Route {
  RouteId Id;
  ServiceId Service;
  /// Whether a call may be sent more than once. False for bookings and
  /// dispatches.
  bool Repeatable = true;
  /// Higher values start first. Alarms and dispatches are above chat.
  int Priority = 0;
  /// Time to the first token or, for a desk call, to the whole answer.
  Duration LatencyTarget{};
  /// Time between two tokens; zero for desks.
  Duration TokenTarget{};
};

/// One version of a service listed in the bundle.
struct UpstreamVersion {
  VersionId Id;
  ServiceId Service;
  /// Fraction of the service's calls, 0 to 1, that the version gets when its
  /// rollout is complete.
  double Share = 0;
  /// Time by which the rollout must be complete; the epoch if there is none.
  Instant Deadline{};
  /// Adapters loaded with the version.
  std::vector<std::string> Adapters;
};

/// A model or a desk.
struct Service {
  ServiceId Id;
  UpstreamKind Kind = UpstreamKind::Engine;
  DeadlinePolicy Policy = DeadlinePolicy::Safe;
};

/// A team and its weight in fair queueing.
struct Team {
  TeamId Id;
  int Weight = 1;
};

/// Limits on replica costs, for the host planner.
struct CostPolicy {
  /// Largest fraction of a service's replicas on reclaimable hosts, 0 to 1.
  double ReclaimableShare = 1;
  /// Largest cost of all hosts in micro-units of money per hour; zero for no
  /// limit.
  std::int64_t HourlyLimit = 0;
};

/// The operators' complete configuration in one versioned value. It takes
/// effect only if it is signed, and the highest committed generation wins.
struct Bundle {
  std::uint64_t Generation = 0;
  std::vector<Service> Services;
  std::vector<UpstreamVersion> Versions;
  std::vector<Route> Routes;
  std::vector<Team> Teams;
  CostPolicy Cost;
};

/// The entry with the given id, or null. The pointer is valid as long as the
/// bundle.
const Route *findRoute(const Bundle &bundle, const RouteId &id);
const Service *findService(const Bundle &bundle, const ServiceId &id);
const Team *findTeam(const Bundle &bundle, const TeamId &id);
const UpstreamVersion *findVersion(const Bundle &bundle, const VersionId &id);

bool operator==(const Route &a, const Route &b);
bool operator==(const UpstreamVersion &a, const UpstreamVersion &b);
bool operator==(const Service &a, const Service &b);
bool operator==(const Team &a, const Team &b);
bool operator==(const CostPolicy &a, const CostPolicy &b);
bool operator==(const Bundle &a, const Bundle &b);

} // namespace sorrelbay
