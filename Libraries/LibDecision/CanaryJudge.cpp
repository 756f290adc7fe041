#include "LibDecision/CanaryJudge.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace sorrelbay {

// No version is held to fewer bad calls than this, since the old version's
// true rate is never known better.
static constexpr double LeastOldRate = 0.002;
static constexpr double LargestOldRate = 0.8;
static constexpr double LargestRate = 0.99;
static constexpr std::array<BadCallKind, 2> Reasons = {BadCallKind::Failure,
                                                       BadCallKind::Lateness};
// Calls that the old version's long-run rate counts for in an interval. Late
// answers come in waves that hit both versions, so there the interval's own
// rate must soon outweigh it.
static constexpr double LongRunCalls = 300;
static constexpr double LongRunCallsOfLateness = 20;
// What is assumed of the old version before it was called.
static constexpr double AssumedRate = 0.01;
static constexpr double AssumedCalls = 20;
// The old rate is taken so many standard errors above its estimate.
static constexpr double OldRateMargin = 0.5;
// The old version's odds of a late answer are taken for so many times what they
// were, when it is not called any more.
static constexpr double OddsAlone = 5;
// How the false alarms are shared out: half to all routes together, half to
// the single routes.
static constexpr double WeightOfAll = 0.5;
static constexpr double WeightOfReason = 0.5;
// An interval waits for calls of the old version to compare with, until it has
// so many times the calls that end it.
static constexpr std::uint64_t IntervalGrowth = 10;

static std::uint64_t badCalls(const EvidenceCount &count, BadCallKind reason) {
  return reason == BadCallKind::Failure ? count.Failures : count.Late;
}

static std::uint64_t grown(std::uint64_t now, std::uint64_t before) {
  return now - std::min(now, before);
}

static EvidenceCount since(const EvidenceCount &now,
                           const EvidenceCount &before) {
  return {grown(now.Calls, before.Calls), grown(now.Failures, before.Failures),
          grown(now.Late, before.Late)};
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

/// Whether too few calls went to the old version in the interval to compare
/// with: after the full share.
static bool isAlone(const ComparedCounts &interval) {
  constexpr std::uint64_t NewCallsForOne = 50;
  return interval.Old.Calls * NewCallsForOne < interval.New.Calls;
}

/// The rate with the odds multiplied.
static double withOdds(double rate, double factor) {
  const double odds = factor * rate / (1 - rate);
  return odds / (1 + odds);
}

/// Calls that the old version's long-run rate stands for in an interval.
static double longRunWeight(const EvidenceCount &longRun, BadCallKind reason) {
  const double most =
      reason == BadCallKind::Lateness ? LongRunCallsOfLateness : LongRunCalls;
  return std::min(most, static_cast<double>(longRun.Calls) + AssumedCalls);
}

/// The old version's rate in the interval, drawn towards its long-run rate.
static double oldRate(const EvidenceCount &longRun,
                      const ComparedCounts &interval, BadCallKind reason) {
  const auto longCalls = static_cast<double>(longRun.Calls);
  const auto longBad = static_cast<double>(badCalls(longRun, reason));
  const double steady =
      (longBad + AssumedRate * AssumedCalls) / (longCalls + AssumedCalls);
  const double weight = longRunWeight(longRun, reason);
  const auto calls = static_cast<double>(interval.Old.Calls);
  const auto bad = static_cast<double>(badCalls(interval.Old, reason));
  const double rate = (bad + steady * weight) / (calls + weight);
  const double deviation = std::sqrt(rate * (1 - rate) / (calls + weight));
  const double wary = std::clamp(rate + OldRateMargin * deviation, LeastOldRate,
                                 LargestOldRate);
  // A zone's reclaim makes every version late. With nothing beside it, only
  // gross lateness is held against the new one.
  if (reason == BadCallKind::Lateness && isAlone(interval))
    return withOdds(wary, OddsAlone);
  return wary;
}

/// How much of the new version's calls counts, given how few calls of the old
/// one they are compared with: two samples tell as much as their harmonic sum.
/// Without it, a share near the full one would take the chance errors of a few
/// old calls for a difference.
static double comparablePart(const EvidenceCount &longRun,
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
    Track track;
    track.Id = std::move(it);
    Tracks.push_back(std::move(track));
  }
}

void CanaryJudge::read(const EvidencePool &pool) {
  for (Track &it : Tracks) {
    it.Now.New = pool.total({New, it.Id});
    it.Now.Old = pool.total({Old, it.Id});
  }
  if (Begun)
    return;
  // What is known of the new version counts from its first call, also for a
  // daemon that started in the middle of the move; the old one's from here.
  Begun = true;
  for (Track &it : Tracks) {
    it.Begin.Old = it.Now.Old;
    it.Stage.Old = it.Now.Old;
    it.Interval.Old = it.Now.Old;
  }
}

LogRatios CanaryJudge::openRatios(const Track &track,
                                  BadCallKind reason) const {
  const ComparedCounts open = since(track.Now, track.Interval);
  const EvidenceCount &longRun = track.Interval.Old;
  return comparablePart(longRun, open, reason) *
         logRatiosOf(open.New.Calls, badCalls(open.New, reason),
                     oldRate(longRun, open, reason));
}

double CanaryJudge::marginOf(BadCallKind reason) const {
  return reason == BadCallKind::Failure ? Settings.FailureMargin
                                        : Settings.LateMargin;
}

double CanaryJudge::openEvidence(const Track &track, BadCallKind reason,
                                 double margin) const {
  const ComparedCounts open = since(track.Now, track.Interval);
  const double rate = oldRate(track.Interval.Old, open, reason);
  const double worse = std::min(rate + margin, LargestRate);
  return -logRatioOf(open.New.Calls, badCalls(open.New, reason), rate, worse);
}

bool CanaryJudge::isIntervalFull() const {
  ComparedCounts sum;
  for (const Track &it : Tracks) {
    const ComparedCounts open = since(it.Now, it.Interval);
    // Routes that wait for the others have nothing to compare with.
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
  for (Track &it : Tracks) {
    const LogRatios failed = openRatios(it, BadCallKind::Failure);
    const LogRatios late = openRatios(it, BadCallKind::Lateness);
    it.Failures.closeInterval(failed);
    it.Lateness.closeInterval(late);
    failures = failures + failed;
    lateness = lateness + late;
    for (std::size_t n = 0; n < Reasons.size(); ++n) {
      it.Safety[n] += openEvidence(it, Reasons[n], marginOf(Reasons[n]));
      it.StageSafety[n] += openEvidence(it, Reasons[n], Settings.SevereMargin);
    }
  }
  AllFailures.closeInterval(failures);
  AllLateness.closeInterval(lateness);
  for (Track &it : Tracks)
    it.Interval = it.Now;
}

void CanaryJudge::weigh() {
  LogRatios failures{};
  LogRatios lateness{};
  double sum = 0;
  double largest = 0;
  // Keeps the heaviest test as the finding.
  const auto take = [&](double value, BadCallKind reason, const RouteId &route,
                        const ComparedCounts &seen) {
    sum += value;
    if (value <= largest)
      return;
    largest = value;
    Finding = {reason, route, 0, seen};
  };
  const double weightOfRoute =
      WeightOfReason * (1 - WeightOfAll) / static_cast<double>(Tracks.size());
  for (const Track &it : Tracks) {
    const LogRatios failed = openRatios(it, BadCallKind::Failure);
    const LogRatios late = openRatios(it, BadCallKind::Lateness);
    const ComparedCounts seen = since(it.Now, it.Begin);
    take(weightOfRoute * it.Failures.value(failed), BadCallKind::Failure, it.Id,
         seen);
    take(weightOfRoute * it.Lateness.value(late), BadCallKind::Lateness, it.Id,
         seen);
    failures = failures + failed;
    lateness = lateness + late;
  }
  const double weight = WeightOfReason * WeightOfAll;
  take(weight * AllFailures.value(failures), BadCallKind::Failure, RouteId(),
       allCalls());
  take(weight * AllLateness.value(lateness), BadCallKind::Lateness, RouteId(),
       allCalls());
  Finding.Statistic = sum;
  IsBad = sum >= Settings.BadThreshold;
}

bool CanaryJudge::observe(const EvidencePool &pool) {
  if (IsBad)
    return true;
  read(pool);
  weigh();
  if (!IsBad && isIntervalFull())
    closeInterval();
  return IsBad;
}

void CanaryJudge::beginStage() {
  closeInterval();
  for (Track &it : Tracks) {
    it.Stage = it.Now;
    it.StageSafety = {};
  }
}

const CanaryJudge::Track *CanaryJudge::find(const RouteId &route) const {
  for (const Track &it : Tracks)
    if (it.Id == route)
      return &it;
  return nullptr;
}

double CanaryJudge::evidence(const RouteId &route) const {
  const Track *track = find(route);
  if (track == nullptr)
    return 0;
  std::array<double, 2> out = track->Safety;
  for (std::size_t n = 0; n < Reasons.size(); ++n)
    out[n] += openEvidence(*track, Reasons[n], marginOf(Reasons[n]));
  return std::min(out[0], out[1]);
}

double CanaryJudge::stageEvidence(const RouteId &route) const {
  const Track *track = find(route);
  if (track == nullptr)
    return 0;
  std::array<double, 2> out = track->StageSafety;
  for (std::size_t n = 0; n < Reasons.size(); ++n)
    out[n] += openEvidence(*track, Reasons[n], Settings.SevereMargin);
  return std::min(out[0], out[1]);
}

ComparedCounts CanaryJudge::stageCalls(const RouteId &route) const {
  const Track *track = find(route);
  return track == nullptr ? ComparedCounts{} : since(track->Now, track->Stage);
}

ComparedCounts CanaryJudge::allCalls() const {
  ComparedCounts sum;
  for (const Track &it : Tracks) {
    const ComparedCounts seen = since(it.Now, it.Begin);
    add(sum.New, seen.New);
    add(sum.Old, seen.Old);
  }
  return sum;
}

} // namespace sorrelbay
