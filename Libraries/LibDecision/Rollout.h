#pragma once

#include "LibDecision/CanaryJudge.h"
#include "LibDecision/RolloutKnowledge.h"
#include "LibDecision/RolloutPlan.h"

namespace sorrelbay {

/// How careful a rollout is.
struct RolloutSettings {
  JudgeSettings Judge;
  /// Evidence that each route needs for every step since the stage began,
  /// against a grossly bad version, as a log likelihood ratio.
  double StageEvidence = 1.5;
  /// Evidence that each route needs besides for a step out of all stages but a
  /// probe, since the move began, against a version that is worse by the
  /// judge's margins.
  double StepEvidence = 2.5;
  /// Without word from the peers for so long, calls go to the old version.
  Duration StaleAfter = seconds(1);
};

enum class RolloutState { Moving, Done, TakenBack };

/// The word for the state in status and logs.
const char *toText(RolloutState state);

/// What status shows of one route of a move.
struct RouteProgress {
  RouteId Id;
  ComparedCounts Calls;
  double Evidence = 0;
  double Needed = 0;
};

/// What status shows of a move.
struct RolloutStatus {
  RolloutState State = RolloutState::Moving;
  /// When the move was done or taken back.
  Instant EndedAt;
  unsigned Stage = 0;
  unsigned LastStage = 0;
  StageShare Share;
  /// Steps that the deadline forced without full evidence.
  unsigned ForcedSteps = 0;
  std::vector<RouteProgress> Routes;
  /// Set if it was taken back.
  std::optional<Veto> Reason;
};

/// One daemon's part in one move. Each daemon judges on the pooled evidence and
/// may take a step or take the version back by itself; what they decide joins
/// without an agreement, so it works while the object API is down.
class Rollout {
public:
  Rollout(RolloutPlan plan, HostId self, RolloutSettings settings = {});

  /// Looks at what is known and decides: a veto, a step, the end of the move.
  /// To be called after each call that went badly, after each message that
  /// brought news, and every fraction of a second. What it decides is added to
  /// the knowledge. Only a daemon that has heard from its peers lately takes a
  /// version back for lack of evidence.
  void update(RolloutKnowledge &knowledge, Instant now);

  /// Takes over the steps and vetoes of others and decides nothing: for a
  /// daemon that doesn't hear all evidence. At the deadline a move that has its
  /// full share is done.
  void follow(const RolloutKnowledge &knowledge, Instant now);

  /// The peers have answered a question that was asked at that time, so that
  /// all that they knew then is known here. The time of the question counts,
  /// not that of the answer: after a pause old messages may lie in the socket.
  void refreshed(Instant askedAt);

  /// What chooseVersion needs.
  VersionShares shares() const;

  /// The part of the service's calls that went to the new version in this
  /// stage, as counted; before there are enough, the stage's share. Replicas
  /// are packed by it: routes that wait for the others keep it below the share.
  double callShare() const;

  RolloutStatus status() const;
  RolloutState state() const { return State; }
  bool isAtFullShare() const { return Mark.Stage == lastStage(); }
  const RolloutPlan &plan() const { return Plan; }

private:
  RolloutPlan Plan;
  HostId Self;
  RolloutSettings Settings;
  std::vector<StageShare> Stages;
  CanaryJudge Judge;
  RolloutState State = RolloutState::Moving;
  StageRecord Mark;
  bool HasMark = false;
  Instant EndedAt;
  Instant RefreshedAt;
  unsigned ForcedSteps = 0;
  std::optional<Veto> Reason;

  unsigned lastStage() const;
  bool isFresh(Instant now) const;
  void followStage(const RolloutKnowledge &knowledge, Instant now);
  bool followVeto(const RolloutKnowledge &knowledge);
  bool judge(RolloutKnowledge &knowledge, Instant now);
  void rollBackAtDeadline(RolloutKnowledge &knowledge, Instant now);
  void stepIfDue(RolloutKnowledge &knowledge, Instant now);
  void finishIfDue(Instant now);
  bool hasEvidence(const Route &route) const;
  double neededEvidence() const;
  bool needsEvidence(const Route &route) const;
  bool hasEvidence() const;
  Instant plannedEnd() const;
  Instant forcedEnd() const;
  double stageWeights() const;
};

} // namespace sorrelbay
