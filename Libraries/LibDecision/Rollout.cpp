#include "LibDecision/Rollout.h"
#include "LibBase/Invariant.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

// Weights for the division of the time before the deadline. The probe has the
// largest one, since a fault that shows late should affect only a small share.
// The reserve is left for evidence that arrives slowly.
static constexpr double ProbeWeight = 4;
static constexpr double StageWeight = 1;
static constexpr double ReserveWeight = 2;
// A forced step is taken after this share of the time that the deadline allows
// for it.
static constexpr double ForcedStepShare = 0.95;
// A route with a smaller share of the service's calls is quiet.
static constexpr double QuietShare = 0.1;
// Without a deadline, the stages are planned as if it were this far away.
static constexpr Duration DefaultRolloutTime = hours(1);

const char *toText(RolloutState state) {
  switch (state) {
  case RolloutState::Moving:
    return "moving";
  case RolloutState::Done:
    return "done";
  case RolloutState::TakenBack:
    return "taken back";
  }
  return "unknown";
}

static std::vector<RouteId> routeIds(const std::vector<Route> &routes) {
  std::vector<RouteId> out;
  out.reserve(routes.size());
  for (const Route &it : routes)
    out.push_back(it.Id);
  return out;
}

Rollout::Rollout(RolloutPlan plan, HostId self, RolloutSettings settings)
    : Plan(std::move(plan)), Self(std::move(self)), Settings(settings),
      Stages(stagesOf(Plan)),
      Judge(Plan.New, Plan.Old, routeIds(Plan.Routes), settings.Judge) {}

unsigned Rollout::lastStage() const {
  return static_cast<unsigned>(Stages.size() - 1);
}

bool Rollout::isFresh(Instant now) const {
  return now <= RefreshedAt + Settings.StaleAfter;
}

void Rollout::confirmKnowledgeUntil(Instant askedAt) {
  RefreshedAt = std::max(RefreshedAt, askedAt);
}

VersionShares Rollout::shares() const {
  VersionShares out;
  out.New = Plan.New;
  out.Old = Plan.Old;
  out.Share = Stages[std::min(CurrentStage.Stage, lastStage())];
  out.IsRolledBack = State == RolloutState::TakenBack;
  out.FreshUntil = RefreshedAt + Settings.StaleAfter;
  return out;
}

bool Rollout::followVeto(const RolloutKnowledge &knowledge) {
  const auto it = knowledge.Vetoes.find(Plan.New);
  verifyInvariant(it != knowledge.Vetoes.end() ||
                      State != RolloutState::TakenBack,
                  "veto-is-never-taken-back", "a recorded veto is missing");
  if (it == knowledge.Vetoes.end())
    return false;
  State = RolloutState::TakenBack;
  Reason = it->second;
  EndedAt = it->second.At;
  return true;
}

bool Rollout::judge(RolloutKnowledge &knowledge, Instant now) {
  if (!Judge.observe(knowledge.Evidence))
    return false;
  const RegressionFinding &found = Judge.finding();
  const RollbackReason reason = found.Reason == BadCallKind::Failure
                                    ? RollbackReason::Failures
                                    : RollbackReason::Lateness;
  addVeto(knowledge, {Plan.New, now, Self, reason, found.OnRoute,
                      found.Statistic, found.Seen.New, found.Seen.Old});
  return true;
}

void Rollout::followStage(const RolloutKnowledge &knowledge, Instant now) {
  const auto it = knowledge.Stages.find(Plan.New);
  StageRecord known =
      it == knowledge.Stages.end() ? StageRecord{0, now} : it->second;
  // Where the old version ends, a stage beyond the last says that the rollout
  // is done.
  if (known.Stage > lastStage()) {
    known.Stage = lastStage();
    if (Settings.EndsOldVersion && State == RolloutState::Moving) {
      State = RolloutState::Done;
      EndedAt = known.Since;
    }
  }
  if (HasCurrentStage && known.Stage == CurrentStage.Stage) {
    CurrentStage = known;
    return;
  }
  verifyInvariant(!HasCurrentStage || known.Stage > CurrentStage.Stage,
                  "rollout-stage-never-goes-back",
                  "the stage of a rollout decreased");
  CurrentStage = known;
  HasCurrentStage = true;
  Judge.beginStage();
}

static double weightOf(const StageShare &stage) {
  return stage.IsProbe ? ProbeWeight : StageWeight;
}

double Rollout::stageWeights() const {
  double sum = 0;
  for (unsigned n = std::max(CurrentStage.Stage, 1U); n < lastStage(); ++n)
    sum += weightOf(Stages[n]);
  return sum;
}

Instant Rollout::plannedEnd() const {
  if (CurrentStage.Stage == 0)
    return CurrentStage.Since;
  const Duration left = Plan.hasDeadline() ? Plan.Deadline - CurrentStage.Since
                                           : DefaultRolloutTime;
  const double weight = weightOf(Stages[CurrentStage.Stage]);
  return CurrentStage.Since +
         fromSeconds(toSeconds(left) * weight /
                     (stageWeights() + StageWeight + ReserveWeight));
}

Instant Rollout::forcedEnd() const {
  const Duration left = Plan.Deadline - CurrentStage.Since;
  const double weight = weightOf(Stages[CurrentStage.Stage]);
  return CurrentStage.Since + fromSeconds(toSeconds(left) * ForcedStepShare *
                                          weight / stageWeights());
}

double Rollout::neededEvidence() const {
  const bool needsNone =
      CurrentStage.Stage == 0 || Stages[CurrentStage.Stage].IsProbe;
  return needsNone ? 0 : Settings.StepEvidence;
}

bool Rollout::needsEvidence(const Route &route) const {
  const StageShare &share = Stages[CurrentStage.Stage];
  if ((route.Repeatable ? share.Repeatable : share.NonRepeatable) <= 0)
    return false;
  const ComparedCounts calls = Judge.stageCalls(route.Id);
  return calls.New.Calls + calls.Old.Calls > 0;
}

bool Rollout::hasEvidence(const Route &route) const {
  if (Judge.stageEvidence(route.Id) < Settings.StageEvidence)
    return false;
  return Stages[CurrentStage.Stage].IsProbe || Settings.PoolsRoutes ||
         Judge.evidence(route.Id) >= Settings.StepEvidence;
}

bool Rollout::isQuiet(const Route &route) const {
  if (!Settings.PoolsRoutes)
    return false;
  const auto callsOf = [this](const Route &it) {
    const ComparedCounts calls = Judge.stageCalls(it.Id);
    return static_cast<double>(calls.New.Calls + calls.Old.Calls);
  };
  double all = 0;
  for (const Route &it : Plan.Routes)
    all += callsOf(it);
  return callsOf(route) < QuietShare * all;
}

bool Rollout::hasPooledEvidence() const {
  return !Settings.PoolsRoutes || Stages[CurrentStage.Stage].IsProbe ||
         Judge.pooledEvidence() >= Settings.StepEvidence;
}

bool Rollout::hasEvidence() const {
  if (CurrentStage.Stage == 0)
    return true;
  bool hasCalls = false;
  for (const Route &it : Plan.Routes) {
    if (!needsEvidence(it) || isQuiet(it))
      continue;
    if (!hasEvidence(it))
      return false;
    hasCalls = true;
  }
  return hasCalls && hasPooledEvidence();
}

void Rollout::stepIfDue(RolloutKnowledge &knowledge, Instant now) {
  if (CurrentStage.Stage >= lastStage())
    return;
  const bool isDue = hasEvidence() && now >= plannedEnd();
  const bool isForced = !isDue && Plan.hasDeadline() &&
                        Plan.Policy == DeadlinePolicy::InTime &&
                        now >= forcedEnd();
  if (!isDue && !isForced)
    return;
  if (isForced)
    ++ForcedSteps;
  raiseStage(knowledge, Plan.New, {CurrentStage.Stage + 1, now});
  followStage(knowledge, now);
}

void Rollout::rollBackAtDeadline(RolloutKnowledge &knowledge, Instant now) {
  if (!Plan.hasDeadline() || Plan.Policy != DeadlinePolicy::Safe)
    return;
  const bool isAtEnd = isAtFullShare() && !Settings.EndsOldVersion;
  if (State != RolloutState::Moving || isAtEnd || now < Plan.Deadline ||
      !isFresh(now))
    return;
  const ComparedCounts seen = Judge.allCalls();
  addVeto(knowledge, {Plan.New, now, Self, RollbackReason::Deadline, RouteId(),
                      0, seen.New, seen.Old});
}

void Rollout::finishIfDue(RolloutKnowledge &knowledge, Instant now) {
  if (State != RolloutState::Moving || CurrentStage.Stage < lastStage())
    return;
  const bool isOver = Plan.hasDeadline() && now >= Plan.Deadline;
  if (!hasEvidence() && (!isOver || Settings.EndsOldVersion))
    return;
  State = RolloutState::Done;
  EndedAt = now;
  // Daemons that only follow have no evidence to go by.
  if (Settings.EndsOldVersion)
    raiseStage(knowledge, Plan.New, {lastStage() + 1, now});
}

void Rollout::update(RolloutKnowledge &knowledge, Instant now) {
  if (followVeto(knowledge))
    return;
  followStage(knowledge, now);
  // Judging continues at the full share and after completion, since some faults
  // show late.
  if (judge(knowledge, now)) {
    followVeto(knowledge);
    return;
  }
  stepIfDue(knowledge, now);
  finishIfDue(knowledge, now);
  rollBackAtDeadline(knowledge, now);
  followVeto(knowledge);
}

void Rollout::follow(const RolloutKnowledge &knowledge, Instant now) {
  if (followVeto(knowledge))
    return;
  followStage(knowledge, now);
  const bool isOver = Plan.hasDeadline() && now >= Plan.Deadline;
  if (State != RolloutState::Moving || !isAtFullShare() || !isOver ||
      Settings.EndsOldVersion)
    return;
  State = RolloutState::Done;
  EndedAt = now;
}

double Rollout::callShare() const {
  constexpr std::uint64_t LeastCalls = 100;
  std::uint64_t calls = 0;
  std::uint64_t callsToNew = 0;
  for (const Route &it : Plan.Routes) {
    const ComparedCounts seen = Judge.stageCalls(it.Id);
    callsToNew += seen.New.Calls;
    calls += seen.New.Calls + seen.Old.Calls;
  }
  const StageShare &share = Stages[CurrentStage.Stage];
  if (calls < LeastCalls)
    return std::max(share.Repeatable, share.NonRepeatable);
  return static_cast<double>(callsToNew) / static_cast<double>(calls);
}

RolloutStatus Rollout::status() const {
  RolloutStatus out;
  out.State = State;
  out.EndedAt = EndedAt;
  out.Stage = CurrentStage.Stage;
  out.LastStage = lastStage();
  out.Share = Stages[std::min(CurrentStage.Stage, lastStage())];
  out.ForcedSteps = ForcedSteps;
  out.Statistic = Judge.finding().Statistic;
  out.Reason = Reason;
  for (const Route &it : Plan.Routes)
    out.Routes.push_back({it.Id, Judge.stageCalls(it.Id), Judge.evidence(it.Id),
                          needsEvidence(it) ? neededEvidence() : 0});
  return out;
}

} // namespace sorrelbay
