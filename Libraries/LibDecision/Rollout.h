#pragma once

#include "LibDecision/CanaryJudge.h"
#include "LibDecision/RolloutKnowledge.h"
#include "LibDecision/RolloutPlan.h"

namespace sorrelbay {

/// How much evidence a rollout needs, and how old it may be.
struct RolloutSettings {
  JudgeSettings Judge;
  /// Evidence that each route needs for every step: collected since the stage
  /// began, against a version that is worse by the severe margin, as a log
  /// likelihood ratio.
  double StageEvidence = 1.5;
  /// Evidence that each route needs in addition for every step out of a stage
  /// that is not a probe: collected since the rollout began, against a version
  /// that is worse by the judge's margins, as a log likelihood ratio.
  double StepEvidence = 2.5;
  /// The step evidence is that of all routes together, and a route with few of
  /// the service's calls holds up no step. For rollouts that have only seconds,
  /// in which a single route gets too few calls.
  bool PoolsRoutes = false;
  /// The old version's replicas stop when the rollout is done, so that it can't
  /// be taken back any more: without the evidence for it by the deadline, the
  /// new version is.
  bool EndsOldVersion = false;
  /// Without an answer from the peers for this long, calls go to the old
  /// version.
  Duration StaleAfter = seconds(1);
};

enum class RolloutState { Moving, Done, TakenBack };

/// The name of the state in status reports and logs.
const char *toText(RolloutState state);

/// The status of one route of a rollout.
struct RouteProgress {
  RouteId Id;
  ComparedCounts Calls;
  /// The evidence that the next step uses, and what it needs, as log likelihood
  /// ratios.
  double Evidence = 0;
  double Needed = 0;
};

/// The status of a rollout.
struct RolloutStatus {
  RolloutState State = RolloutState::Moving;
  /// When the rollout was completed or rolled back.
  Instant EndedAt;
  unsigned Stage = 0;
  unsigned LastStage = 0;
  StageShare Share;
  /// The number of steps that the deadline forced without full evidence.
  unsigned ForcedSteps = 0;
  /// The judge's statistic; the version is bad once it reaches the threshold.
  double Statistic = 0;
  std::vector<RouteProgress> Routes;
  /// Set if the version was rolled back.
  std::optional<Veto> Reason;
};

/// One daemon's part in a rollout. Each daemon judges the pooled evidence and
/// may advance the stage or roll the version back on its own. The decisions of
/// all daemons are merged without consensus, so rollouts work during an outage
/// of the object API.
class Rollout {
public:
  Rollout(RolloutPlan plan, HostId self, RolloutSettings settings = {});

  /// Evaluates the knowledge and decides on a veto, a step or the end of the
  /// rollout. The decision is added to the knowledge. Must be called after each
  /// failed or late call, after each message with new knowledge, and several
  /// times per second. A version is rolled back for lack of evidence only if
  /// the peers have answered recently.
  void update(RolloutKnowledge &knowledge, Instant now);

  /// Applies the steps and vetoes of other daemons without deciding anything,
  /// for a daemon that does not receive all evidence. A rollout at its full
  /// share is completed at the deadline.
  void follow(const RolloutKnowledge &knowledge, Instant now);

  /// The peers have answered a query sent at `askedAt`, so this daemon has
  /// received all knowledge that they had then. The time of the query counts,
  /// not that of the answer: after a pause, the sockets may hold old messages.
  void confirmKnowledgeUntil(Instant askedAt);

  /// The input for chooseVersion.
  VersionShares shares() const;

  /// The measured share of the service's calls that went to the new version in
  /// this stage, or the stage's share before enough calls were counted. The
  /// number of canary replicas follows from it. Routes that wait for others
  /// keep it below the stage's share.
  double callShare() const;

  RolloutStatus status() const;
  RolloutState state() const { return State; }
  bool isAtFullShare() const { return CurrentStage.Stage == lastStage(); }
  const RolloutPlan &plan() const { return Plan; }

private:
  RolloutPlan Plan;
  HostId Self;
  RolloutSettings Settings;
  std::vector<StageShare> Stages;
  CanaryJudge Judge;
  RolloutState State = RolloutState::Moving;
  StageRecord CurrentStage;
  bool HasCurrentStage = false;
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
  void finishIfDue(RolloutKnowledge &knowledge, Instant now);
  bool hasEvidence(const Route &route) const;
  bool isQuiet(const Route &route) const;
  bool hasPooledEvidence() const;
  double neededEvidence() const;
  bool needsEvidence(const Route &route) const;
  bool hasEvidence() const;
  Instant plannedEnd() const;
  Instant forcedEnd() const;
  double stageWeights() const;
};

} // namespace sorrelbay
