#pragma once

#include "DutyLease.h"
#include "GatewayState.h"
#include "LibDecision/Rollout.h"
#include "LibServing/RolloutOrder.h"
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sorrelbay {

/// Performs the rollouts that operators order in the store: chooses the version
/// for each call, collects evidence on the old and new version, and maintains
/// each order's status. Every host judges the new version by the evidence of
/// all hosts and rolls it back independently; the holder of the duties
/// writes the status. Times are fleet time (FleetClock), since hosts exchange
/// them. Used only on the event loop's thread.
class GatewayRollouts {
public:
  GatewayRollouts(GatewayState &state, const DutyLease &duties);

  /// Handles a new or changed order.
  void applyOrder(const Resource &object);
  void remove(const std::string &name);
  /// To be called several times a second.
  void tick(Instant now);

  VersionPreference versionFor(const ServiceId &service,
                               const std::string &callId, Instant now) const;
  /// Records the outcome of an attempt at an upstream of that version.
  void record(const ServiceId &service, const VersionId &version,
              const RouteId &route, UpstreamOutcome outcome);
  bool isRollingOut(const ServiceId &service) const;
  /// Whether the service is ordered to move to the version and has not done so.
  bool isTarget(const ServiceId &service, const VersionId &version) const;

  /// Encoded rollout knowledge of the hosts that the scope covers; empty if no
  /// rollout is under way.
  std::string encodedKnowledge(ReportScope scope) const;
  /// Merges a peer's encoded knowledge; logs and ignores it if malformed.
  void mergePeerKnowledge(const std::string &encoded, Instant now);

private:
  struct ServiceRollout {
    RolloutOrder Order;
    Resource Object;
    std::optional<Rollout> Run;
    VersionId Old;
    Instant Deadline{};
    Instant WrittenAt{};
    Instant JudgementLoggedAt{};
  };

  void findOldVersion(ServiceRollout &serviceRollout) const;
  void begin(ServiceRollout &serviceRollout, Instant fleetNow);
  void writeStatus(ServiceRollout &serviceRollout, Instant now);
  RolloutOutcome outcomeOf(const ServiceRollout &serviceRollout,
                           Instant fleetNow) const;
  int openCallsAtOldVersion(const ServiceRollout &serviceRollout) const;

  GatewayState &State;
  const DutyLease &Duties;
  EvidenceSource Self;
  std::map<std::string, ServiceRollout> RolloutsByName;
  RolloutKnowledge MergedKnowledge;
  std::set<std::string> RefusedKnowledge;
  bool IsWriting = false;
};

} // namespace sorrelbay
