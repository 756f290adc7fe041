#pragma once

#include "LibServing/ReplicaTable.h"
#include "LibServing/TeamMeter.h"
#include "LibServing/UsageCounts.h"
#include <map>
#include <string>

namespace sorrelbay {

/// Calls of a service as one host saw them since its process began.
// FIXME: Nothing reads it yet; it is meant for the forecast of replicas.
struct ServiceDemand {
  std::int64_t Calls = 0;
  /// Turned away because there was no room.
  std::int64_t Refused = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t OutputTokens = 0;
};

/// What one entry host tells its peers several times a second. Each report
/// replaces the one before it; counts begin anew with each incarnation.
struct FleetReport {
  HostId Host;
  ZoneId Zone;
  IncarnationId Incarnation;
  std::uint64_t Sequence = 0;
  /// Where peers connect.
  std::string PeerAddress;
  /// Where callers connect.
  std::string CallerAddress;
  bool IsReady = false;
  bool IsLeaving = false;
  bool HoldsDuties = false;
  std::uint64_t PlanVersion = 0;
  /// The host's own idea of the time since 1970.
  std::int64_t TrueTimeMs = 0;
  std::map<UpstreamId, OpenWork> Open;
  std::map<TeamId, UsedUnits> Used;
  std::map<WindowNumber, TeamCounts> Usage;
  std::map<ServiceId, ServiceDemand> Demand;
  /// What the host knows of moves, as RolloutCodec writes it; empty without
  /// one.
  std::string Moves;
};

} // namespace sorrelbay
