#include "LibDecision/CanaryJudge.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace sorrelbay {

// Lower bound of the old version's rate, since its true rate is never known
// more precisely. A new version is not expected to have a lower rate than this.
static constexpr double MinOldRate = 0.002;
static constexpr double MaxOldRate = 0.8;
static constexpr double MaxRate = 0.99;
static constexpr std::array<BadCallKind, 2> Reasons = {BadCallKind::Failure,
                                                       BadCallKind::Lateness};
// Weight of the old version's long-run rate in an interval, in calls. Late
// answers come in waves that affect both versions, so for lateness the rate of
// the interval must soon outweigh it.
static constexpr double LongRunCalls = 300;
static constexpr double LongRunCallsOfLateness = 20;
// Prior of the old version: the assumed rate and its weight in calls.
static constexpr double PriorRate = 0.01;
static constexpr double PriorCalls = 20;
// Number of standard errors added to the estimated rate of the old version.
static constexpr double OldRateMargin = 0.5;
// Factor on the old version's odds of a late answer when it gets too few calls
// to compare with.
static constexpr double OddsWithoutComparison = 5;
// Split of the false alarm probability: half to all routes together, half to
// the single routes, and half to each kind of bad call.
static constexpr double AllRoutesWeight = 0.5;
static constexpr double ReasonWeight = 0.5;
// An interval without enough calls to the old version stays open until the new
// version has had this many times the calls that normally end it.
static constexpr std::uint64_t IntervalGrowth = 10;

static std::uint64_t badCalls(const EvidenceCount &count, BadCallKind reason) {
  return reason == BadCallKind::Failure ? count.Failures : count.Late;
}

static std::uint64_t increase(std::uint64_t now, std::uint64_t before) {
  return now - std::min(now, before);
}

static EvidenceCount since(const EvidenceCount &now,
                           const EvidenceCount &before) {
  return {increase(now.Calls, before.Calls),
          increase(now.Failures, before.Failures),
          increase(now.Late, before.Late)};
}

static ComparedCounts since(const ComparedCounts &now,
                            const ComparedCounts &before) {
  return {since(now.New, before.New), since(now.Old, before.Old)};
}

static void add(EvidenceCount &sum, const EvidenceCount &more) {
  sum.Calls += more.Calls;
  sum.Failures += more.Failures;
  sum.Late += more.Late;
}

/// Whether the old version had too few calls in the interval to compare with,
/// as happens once the new version has its full share.
static bool hasTooFewOldCalls(const ComparedCounts &interval) {
  constexpr std::uint64_t NewCallsForOne = 50;
  return interval.Old.Calls * NewCallsForOne < interval.New.Calls;
}

/// Returns the rate whose odds are the given factor times those of `rate`.
static double withOdds(double rate, double factor) {
  const double odds = factor * rate / (1 - rate);
  return odds / (1 + odds);
}

/// Weight, in calls, of the old version's long-run rate in an interval.
static double longRunWeight(const EvidenceCount &longRun, BadCallKind reason) {
  const double maxWeight =
      reason == BadCallKind::Lateness ? LongRunCallsOfLateness : LongRunCalls;
  return std::min(maxWeight, static_cast<double>(longRun.Calls) + PriorCalls);
}

/// Estimated rate of the old version in the interval, shrunk towards its
/// long-run rate.
static double oldRate(const EvidenceCount &longRun,
                      const ComparedCounts &interval, BadCallKind reason) {
  const auto longCalls = static_cast<double>(longRun.Calls);
  const auto longBad = static_cast<double>(badCalls(longRun, reason));
  const double longRunRate =
      (longBad + PriorRate * PriorCalls) / (longCalls + PriorCalls);
  const double weight = longRunWeight(longRun, reason);
  const auto calls = static_cast<double>(interval.Old.Calls);
  const auto bad = static_cast<double>(badCalls(interval.Old, reason));
  const double rate = (bad + longRunRate * weight) / (calls + weight);
  const double deviation = std::sqrt(rate * (1 - rate) / (calls + weight));
  const double upperEstimate =
      std::clamp(rate + OldRateMargin * deviation, MinOldRate, MaxOldRate);
  // A zone's reclaim makes every version late. Without calls to the old version
  // to compare with, only severe lateness counts against the new one.
  if (reason == BadCallKind::Lateness && hasTooFewOldCalls(interval))
    return withOdds(upperEstimate, OddsWithoutComparison);
  return upperEstimate;
}

/// Fraction of the new version's calls that counts, given the few calls of the
/// old version that they are compared with: two samples carry as much
/// information as their harmonic sum. Without it, chance errors of a few old
/// calls would look like a difference when the share is nearly full.
static double comparableFraction(const EvidenceCount &longRun,
                                 const ComparedCounts &interval,
                                 BadCallKind reason) {
  const double old =
      static_cast<double>(interval.Old.Calls) + longRunWeight(longRun, reason);
  return old / (old + static_cast<double>(interval.New.Calls));
}

CanaryJudge::CanaryJudge(VersionId newVersion, VersionId oldVersion,
                         std::vector<RouteId> routes, JudgeSettings settings)
    : New(std::move(newVersion)), Old(std::move(oldVersion)),
      Settings(settings) {
  for (RouteId &it : routes) {
    RouteState routeState;
    routeState.Id = std::move(it);
    RouteStates.push_back(std::move(routeState));
  }
}

void CanaryJudge::read(const EvidencePool &pool) {
  for (RouteState &it : RouteStates) {
    it.Now.New = pool.total({New, it.Id});
    it.Now.Old = pool.total({Old, it.Id});
  }
  if (HasObserved)
    return;
  // The new version counts from its first call, also for a daemon that started
  // during the rollout. The old version counts from here.
  HasObserved = true;
  for (RouteState &it : RouteStates) {
    it.Begin.Old = it.Now.Old;
    it.Stage.Old = it.Now.Old;
    it.Interval.Old = it.Now.Old;
  }
}

LogRatios CanaryJudge::openRatios(const RouteState &routeState,
                                  BadCallKind reason) const {
  const ComparedCounts open = since(routeState.Now, routeState.Interval);
  const EvidenceCount &longRun = routeState.Interval.Old;
  return comparableFraction(longRun, open, reason) *
         logRatiosOf(open.New.Calls, badCalls(open.New, reason),
                     oldRate(longRun, open, reason));
}

double CanaryJudge::marginOf(BadCallKind reason) const {
  return reason == BadCallKind::Failure ? Settings.FailureMargin
                                        : Settings.LateMargin;
}

double CanaryJudge::openEvidence(const RouteState &routeState,
                                 BadCallKind reason, double margin) const {
  const ComparedCounts open = since(routeState.Now, routeState.Interval);
  const double rate = oldRate(routeState.Interval.Old, open, reason);
  const double worse = std::min(rate + margin, MaxRate);
  return -logRatioOf(open.New.Calls, badCalls(open.New, reason), rate, worse);
}

bool CanaryJudge::isIntervalFull() const {
  ComparedCounts sum;
  for (const RouteState &it : RouteStates) {
    const ComparedCounts open = since(it.Now, it.Interval);
    // Skips routes whose rollout has not begun; they have no calls of the new
    // version to compare.
    if (open.New.Calls == 0)
      continue;
    add(sum.New, open.New);
    add(sum.Old, open.Old);
  }
  return sum.New.Calls >= Settings.IntervalCalls &&
         (sum.Old.Calls >= Settings.IntervalCalls ||
          sum.New.Calls >= Settings.IntervalCalls * IntervalGrowth);
}

void CanaryJudge::closeInterval() {
  LogRatios failures{};
  LogRatios lateness{};
  for (RouteState &it : RouteStates) {
    const LogRatios failed = openRatios(it, BadCallKind::Failure);
    const LogRatios late = openRatios(it, BadCallKind::Lateness);
    it.Failures.closeInterval(failed);
    it.Lateness.closeInterval(late);
    failures = failures + failed;
    lateness = lateness + late;
    for (std::size_t n = 0; n < Reasons.size(); ++n) {
      it.TotalEvidence[n] += openEvidence(it, Reasons[n], marginOf(Reasons[n]));
      it.CurrentStageEvidence[n] +=
          openEvidence(it, Reasons[n], Settings.SevereMargin);
    }
  }
  AllFailures.closeInterval(failures);
  AllLateness.closeInterval(lateness);
  for (RouteState &it : RouteStates)
    it.Interval = it.Now;
}

void CanaryJudge::updateFinding() {
  LogRatios failures{};
  LogRatios lateness{};
  double sum = 0;
  double largest = 0;
  // Keeps the test with the largest value as the finding.
  const auto addTest = [&](double value, BadCallKind reason,
                           const RouteId &route, const ComparedCounts &seen) {
    sum += value;
    if (value <= largest)
      return;
    largest = value;
    Finding = {reason, route, 0, seen};
  };
  const double weightOfRoute = ReasonWeight * (1 - AllRoutesWeight) /
                               static_cast<double>(RouteStates.size());
  for (const RouteState &it : RouteStates) {
    const LogRatios failed = openRatios(it, BadCallKind::Failure);
    const LogRatios late = openRatios(it, BadCallKind::Lateness);
    const ComparedCounts seen = since(it.Now, it.Begin);
    addTest(weightOfRoute * it.Failures.value(failed), BadCallKind::Failure,
            it.Id, seen);
    addTest(weightOfRoute * it.Lateness.value(late), BadCallKind::Lateness,
            it.Id, seen);
    failures = failures + failed;
    lateness = lateness + late;
  }
  const double weight = ReasonWeight * AllRoutesWeight;
  addTest(weight * AllFailures.value(failures), BadCallKind::Failure, RouteId(),
          allCalls());
  addTest(weight * AllLateness.value(lateness), BadCallKind::Lateness,
          RouteId(), allCalls());
  Finding.Statistic = sum;
  IsBad = sum >= Settings.BadThreshold;
}

bool CanaryJudge::observe(const EvidencePool &pool) {
  if (IsBad)
    return true;
  read(pool);
  updateFinding();
  if (!IsBad && isIntervalFull())
    closeInterval();
  return IsBad;
}

void CanaryJudge::beginStage() {
  closeInterval();
  for (RouteState &it : RouteStates) {
    it.Stage = it.Now;
    it.CurrentStageEvidence = {};
  }
}

const CanaryJudge::RouteState *CanaryJudge::find(const RouteId &route) const {
  for (const RouteState &it : RouteStates)
    if (it.Id == route)
      return &it;
  return nullptr;
}

/// The evidence since the judge started, by kind of bad call.
std::array<double, 2>
CanaryJudge::totalEvidence(const RouteState &routeState) const {
  std::array<double, 2> out = routeState.TotalEvidence;
  for (std::size_t n = 0; n < Reasons.size(); ++n)
    out[n] += openEvidence(routeState, Reasons[n], marginOf(Reasons[n]));
  return out;
}

double CanaryJudge::evidence(const RouteId &route) const {
  const RouteState *routeState = find(route);
  if (routeState == nullptr)
    return 0;
  const std::array<double, 2> out = totalEvidence(*routeState);
  return std::min(out[0], out[1]);
}

double CanaryJudge::pooledEvidence() const {
  std::array<double, 2> sums{};
  for (const RouteState &it : RouteStates) {
    const std::array<double, 2> ofRoute = totalEvidence(it);
    for (std::size_t n = 0; n < Reasons.size(); ++n)
      sums[n] += ofRoute[n];
  }
  return std::min(sums[0], sums[1]);
}

double CanaryJudge::stageEvidence(const RouteId &route) const {
  const RouteState *routeState = find(route);
  if (routeState == nullptr)
    return 0;
  std::array<double, 2> out = routeState->CurrentStageEvidence;
  for (std::size_t n = 0; n < Reasons.size(); ++n)
    out[n] += openEvidence(*routeState, Reasons[n], Settings.SevereMargin);
  return std::min(out[0], out[1]);
}

ComparedCounts CanaryJudge::stageCalls(const RouteId &route) const {
  const RouteState *routeState = find(route);
  return routeState == nullptr ? ComparedCounts{}
                               : since(routeState->Now, routeState->Stage);
}

ComparedCounts CanaryJudge::allCalls() const {
  ComparedCounts sum;
  for (const RouteState &it : RouteStates) {
    const ComparedCounts seen = since(it.Now, it.Begin);
    add(sum.New, seen.New);
    add(sum.Old, seen.Old);
  }
  return sum;
}

} // namespace sorrelbay
