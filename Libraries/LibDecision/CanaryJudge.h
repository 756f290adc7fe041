#pragma once

#include "LibDecision/EvidencePool.h"
#include "LibDecision/SequentialTest.h"
#include <array>
#include <vector>

namespace sorrelbay {

/// What a version is judged by.
enum class BadCallKind { Failure, Lateness };

/// How sure the judge must be.
struct JudgeSettings {
  /// The mixture's value at which a version is bad. A version that is no worse
  /// than the old one must get there in less than 1 of 100 moves.
  double BadThreshold = 100;
  /// A version that fails this much more often than the old one must not move
  /// on: evidence for a step is evidence against this rate.
  double FailureMargin = 0.04;
  /// The same for calls later than the latency target.
  double LateMargin = 0.10;
  /// The same for a grossly bad version, by failures or by lateness.
  double SevereMargin = 0.3;
  /// Calls to the new version after which an interval ends.
  std::uint64_t IntervalCalls = 40;
};

/// Counts of both versions, to be compared.
struct ComparedCounts {
  EvidenceCount New;
  EvidenceCount Old;
};

/// What the judge found when it called a version bad.
struct RegressionFinding {
  BadCallKind Reason = BadCallKind::Failure;
  /// The route whose calls weighed most; empty if all routes together did.
  RouteId OnRoute;
  /// The mixture's value.
  double Statistic = 0;
  /// The counts of that route, or of all, since the judge began.
  ComparedCounts Seen;
};

/// Judges one version against the old one, on each route and on all together,
/// by failures and by lateness, on the evidence pooled from all entry hosts.
/// Both versions are compared within the same short intervals, so that a bad
/// hour which hits both is held against neither.
class CanaryJudge {
public:
  CanaryJudge(VersionId newVersion, VersionId oldVersion,
              std::vector<RouteId> routes, JudgeSettings settings = {});

  /// Looks at the pool. True if the version is bad; it then stays bad.
  bool observe(const EvidencePool &pool);

  /// What made the version bad; only after observe() returned true.
  const RegressionFinding &finding() const { return Finding; }

  /// Begins to collect the evidence for the next step anew.
  void beginStage();

  /// How strongly the calls to the route speak against a version that is worse
  /// by the margins: the smaller log likelihood ratio of the two reasons. Below
  /// zero means that they speak for such a version. Counts from the beginning.
  double evidence(const RouteId &route) const;

  /// The same against a grossly bad version, since the stage began; a few calls
  /// are enough to have it.
  double stageEvidence(const RouteId &route) const;

  /// Calls of both versions on the route since the stage began.
  ComparedCounts stageCalls(const RouteId &route) const;

  /// Calls of both versions since the judge began, on all routes.
  ComparedCounts allCalls() const;

private:
  struct Track {
    RouteId Id;
    /// At the beginning of the judge, of the stage, of the open interval, now.
    ComparedCounts Begin;
    ComparedCounts Stage;
    ComparedCounts Interval;
    ComparedCounts Now;
    SequentialTest Failures;
    SequentialTest Lateness;
    /// Evidence for a step, of the closed intervals, by reason.
    std::array<double, 2> Safety{};
    std::array<double, 2> StageSafety{};
  };

  VersionId New;
  VersionId Old;
  JudgeSettings Settings;
  std::vector<Track> Tracks;
  SequentialTest AllFailures;
  SequentialTest AllLateness;
  bool Begun = false;
  bool IsBad = false;
  RegressionFinding Finding;

  void read(const EvidencePool &pool);
  void closeInterval();
  bool isIntervalFull() const;
  void weigh();
  LogRatios openRatios(const Track &track, BadCallKind reason) const;
  double openEvidence(const Track &track, BadCallKind reason,
                      double margin) const;
  double marginOf(BadCallKind reason) const;
  const Track *find(const RouteId &route) const;
};

} // namespace sorrelbay
