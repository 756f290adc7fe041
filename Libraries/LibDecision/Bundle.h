#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// What a service's upstreams are.
enum class UpstreamKind { Engine, Desk };

/// What to do when a move's evidence can't be had before its deadline.
enum class DeadlinePolicy {
  /// Go to the full share on the evidence there is.
  InTime,
  /// Take the version back.
  Safe,
};

/// A kind of call: its own latency target, its own evidence.
struct Route {
  RouteId Id;
  ServiceId Service;
  /// Whether a call may be sent twice. False for bookings and dispatches.
  bool Repeatable = true;
  /// Higher goes first; alarms and dispatches are above chat.
  int Priority = 0;
  /// First token, or the whole answer of a desk call.
  Duration LatencyTarget{};
  /// The gap between tokens; zero for desks.
  Duration TokenTarget{};
};

/// One version of a service that the bundle names.
struct UpstreamVersion {
  VersionId Id;
  ServiceId Service;
  /// The share of the service's calls that the move ends with, 0 to 1.
  double Share = 0;
  /// When the move to that share must be finished; the epoch if there is none.
  Instant Deadline{};
  /// The adapters that are loaded with it.
  std::vector<std::string> Adapters;
};

/// A model or a desk.
struct Service {
  ServiceId Id;
  UpstreamKind Kind = UpstreamKind::Engine;
  DeadlinePolicy Policy = DeadlinePolicy::Safe;
};

/// A team and its weight among the teams that wait.
struct Team {
  TeamId Id;
  int Weight = 1;
};

/// What a replica may cost, for the mover.
struct CostPolicy {
  /// The highest share of a service's replicas on reclaimable hosts, 0 to 1.
  double ReclaimableShare = 1;
  /// Micro-units of money an hour for all hosts; zero for no limit.
  std::int64_t HourlyLimit = 0;
};

/// All that operators decide, in one versioned value. It comes into force only
/// signed, and the highest committed generation wins.
struct Bundle {
  std::uint64_t Generation = 0;
  std::vector<Service> Services;
  std::vector<UpstreamVersion> Versions;
  std::vector<Route> Routes;
  std::vector<Team> Teams;
  CostPolicy Cost;
};

/// The entry with that id, or null. The pointer lives as long as the bundle.
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
