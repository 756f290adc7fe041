#pragma once

#include "DutyLease.h"
#include "GatewayState.h"
#include "LibDecision/Rollout.h"
#include "LibServing/RolloutOrder.h"
#include <map>
#include <optional>
#include <string>

namespace sorrelbay {

/// The moves that operators have ordered in the store: which version a call
/// goes to, what was seen of both, and what the order's status says. Every
/// host judges by the evidence of all and takes a version back by itself; the
/// holder of the duties writes the status. Times are true time, because hosts
/// tell them to each other. Belongs to the loop's thread.
class GatewayRollouts {
public:
  GatewayRollouts(GatewayState &state, const DutyLease &duties);

  /// An order is new or has changed.
  void take(const Resource &object);
  void remove(const std::string &name);
  /// To be called several times a second.
  void tick(Instant now);

  VersionPreference versionFor(const ServiceId &service,
                               const std::string &callId, Instant now) const;
  /// A send to an upstream of that version has ended.
  void record(const ServiceId &service, const VersionId &version,
              const RouteId &route, UpstreamOutcome outcome);
  bool isRollingOut(const ServiceId &service) const;

  /// What this host tells its peers for itself, or where it aggregates for
  /// others; empty if there is no move.
  std::string news(ReportScope scope) const;
  /// A peer has sent what it knows.
  void receive(const std::string &news, Instant now);

private:
  struct Move {
    RolloutOrder Order;
    Resource Object;
    std::optional<Rollout> Run;
    VersionId Old;
    Instant Deadline{};
    Instant WrittenAt{};
  };

  void findOldVersion(Move &move) const;
  void begin(Move &move, Instant fleetNow);
  void writeStatus(Move &move, Instant now);
  RolloutOutcome outcomeOf(const Move &move, Instant fleetNow) const;
  int openCallsAtOldVersion(const Move &move) const;

  GatewayState &State;
  const DutyLease &Duties;
  EvidenceSource Self;
  std::map<std::string, Move> Moves;
  RolloutKnowledge Known;
  bool IsWriting = false;
};

} // namespace sorrelbay
