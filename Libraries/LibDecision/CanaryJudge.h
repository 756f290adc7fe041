#pragma once

#include "LibDecision/EvidencePool.h"
#include "LibDecision/SequentialTest.h"
#include <array>
#include <vector>

namespace sorrelbay {

/// The kinds of bad call that a version is judged by.
enum class BadCallKind { Failure, Lateness };

/// Thresholds of the judge.
struct JudgeSettings {
  /// Value of the mixture at which a version is bad. A version that is no worse
  /// than the old one reaches it in less than 1 of 100 rollouts.
  double BadThreshold = 100;
  /// A version whose failure rate exceeds that of the old one by this much must
  /// not proceed: evidence for a step is evidence against this rate.
  double FailureMargin = 0.04;
  /// The same for the rate of calls later than the latency target.
  double LateMargin = 0.10;
  /// The same for a severely bad version, by failures or by lateness.
  double SevereMargin = 0.3;
  /// Number of calls to the new version after which an interval ends.
  std::uint64_t IntervalCalls = 40;
};

/// Counts of both versions over the same time span.
struct ComparedCounts {
  EvidenceCount New;
  EvidenceCount Old;
};

/// The reason for which a version was found bad.
struct RegressionFinding {
  BadCallKind Reason = BadCallKind::Failure;
  /// The route with the strongest evidence; empty if it is the evidence of all
  /// routes together.
  RouteId OnRoute;
  /// The mixture's value.
  double Statistic = 0;
  /// The counts of that route, or of all routes, since the judge started.
  ComparedCounts Seen;
};

/// Compares a new version with the old one, on each route and on all routes
/// together, by failures and by lateness, using the evidence pooled from all
/// entry hosts. Both versions are compared within the same short intervals, so
/// that a disturbance that affects both counts against neither.
class CanaryJudge {
public:
  CanaryJudge(VersionId newVersion, VersionId oldVersion,
              std::vector<RouteId> routes, JudgeSettings settings = {});

  /// Evaluates the pool. Returns true if the version is bad, and from then on
  /// always.
  bool observe(const EvidencePool &pool);

  /// The reason for which the version is bad, or the strongest evidence against
  /// it so far if observe() returned false.
  const RegressionFinding &finding() const { return Finding; }

  /// Resets the evidence for the next step of the rollout.
  void beginStage();

  /// Strength of the evidence, since the judge started, that the version is not
  /// worse by the margins on the route: the smaller log likelihood ratio of the
  /// two kinds of bad call. Negative values are evidence for such a version.
  double evidence(const RouteId &route) const;

  /// The same on all routes together.
  double pooledEvidence() const;

  /// The same as evidence(), but against a severely bad version and since the
  /// stage began; a few calls are enough.
  double stageEvidence(const RouteId &route) const;

  /// Calls of both versions on the route since the stage began.
  ComparedCounts stageCalls(const RouteId &route) const;

  /// Calls of both versions on all routes since the judge started.
  ComparedCounts allCalls() const;

private:
  struct RouteState {
    RouteId Id;
    /// Counts at the start of the judge, of the stage and of the open interval,
    /// and the latest ones.
    ComparedCounts Begin;
    ComparedCounts Stage;
    ComparedCounts Interval;
    ComparedCounts Now;
    SequentialTest Failures;
    SequentialTest Lateness;
    /// Evidence for a step from the closed intervals, by kind of bad call.
    std::array<double, 2> TotalEvidence{};
    std::array<double, 2> CurrentStageEvidence{};
  };

  VersionId New;
  VersionId Old;
  JudgeSettings Settings;
  std::vector<RouteState> RouteStates;
  SequentialTest AllFailures;
  SequentialTest AllLateness;
  bool HasObserved = false;
  bool IsBad = false;
  RegressionFinding Finding;

  void read(const EvidencePool &pool);
  void closeInterval();
  bool isIntervalFull() const;
  void updateFinding();
  LogRatios openRatios(const RouteState &routeState, BadCallKind reason) const;
  double openEvidence(const RouteState &routeState, BadCallKind reason,
                      double margin) const;
  double marginOf(BadCallKind reason) const;
  std::array<double, 2> totalEvidence(const RouteState &routeState) const;
  const RouteState *find(const RouteId &route) const;
};

} // namespace sorrelbay
