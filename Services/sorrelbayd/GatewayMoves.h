#pragma once

#include "DutyKeeper.h"
#include "GatewayState.h"
#include "LibDecision/Rollout.h"
#include "LibServing/MoveOrder.h"
#include <map>
#include <optional>
#include <string>

namespace sorrelbay {

/// The moves that operators have ordered in the store: which version a call
/// goes to, what was seen of both, and what the order's status says. Every
/// host judges by the evidence of all and takes a version back by itself; the
/// holder of the duties writes the status. Times are true time, because hosts
/// tell them to each other. Belongs to the loop's thread.
class GatewayMoves {
public:
  GatewayMoves(GatewayState &state, const DutyKeeper &duties);

  /// An order is new or has changed.
  void take(const KeptObject &object);
  void remove(const std::string &name);
  /// To be called several times a second.
  void tick(Instant now);

  VersionChoice versionFor(const ServiceId &service, const std::string &callId,
                           Instant now) const;
  /// A send to an upstream of that version has ended.
  void record(const ServiceId &service, const VersionId &version,
              const RouteId &route, UpstreamOutcome outcome);
  bool isMoving(const ServiceId &service) const;

  /// What this host tells its peers for itself, or where it aggregates for
  /// others; empty if there is no move.
  std::string news(ReportScope scope) const;
  /// A peer has sent what it knows.
  void hear(const std::string &news, Instant now);

private:
  struct Move {
    MoveOrder Order;
    KeptObject Object;
    std::optional<Rollout> Run;
    VersionId Old;
    Instant Deadline{};
    Instant WrittenAt{};
  };

  void findOld(Move &move) const;
  void begin(Move &move, Instant trueNow);
  void writeStatus(Move &move, Instant now);
  MoveOutcome outcomeOf(const Move &move, Instant trueNow) const;
  int openAtOld(const Move &move) const;

  GatewayState &State;
  const DutyKeeper &Duties;
  EvidenceSource Self;
  std::map<std::string, Move> Moves;
  RolloutKnowledge Known;
  bool IsWriting = false;
};

} // namespace sorrelbay
