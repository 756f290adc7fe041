#pragma once

#include "LibBase/Time.h"
#include "LibDecision/EvidencePool.h"
#include <functional>
#include <map>

namespace sorrelbay {

/// Why a version was rolled back.
enum class RollbackReason {
  /// It fails more often than the old version.
  Failures,
  /// It is late more often than the old version.
  Lateness,
  /// There was not enough evidence for it before the deadline.
  Deadline,
};

/// The name of the reason in status reports and logs.
const char *toText(RollbackReason reason);

/// The verdict that a version is bad, and why. It is permanent for that
/// version.
struct Veto {
  VersionId Version;
  Instant At;
  /// The daemon that detected the fault.
  HostId By;
  RollbackReason Reason = RollbackReason::Failures;
  /// The route with the strongest evidence; empty if it was that of all routes
  /// together.
  RouteId OnRoute;
  /// The judge's statistic at the time of the decision.
  double Statistic = 0;
  EvidenceCount New;
  EvidenceCount Old;
};

bool operator==(const Veto &a, const Veto &b);

/// The stage of a version's rollout. Stages only increase. The share of a stage
/// follows from the bundle.
struct StageRecord {
  unsigned Stage = 0;
  /// When the first daemon took the step.
  Instant Since;

  friend bool operator==(const StageRecord &a, const StageRecord &b) {
    return std::tie(a.Stage, a.Since) == std::tie(b.Stage, b.Since);
  }
};

/// The state of rollouts that daemons replicate to each other. A join
/// semilattice: the set of vetoes only grows, stages merge by maximum, evidence
/// merges by maximum per source. It may therefore be sent whole or in parts,
/// repeatedly, late and in any order.
struct RolloutKnowledge {
  std::map<VersionId, Veto> Vetoes;
  std::map<VersionId, StageRecord> Stages;
  EvidencePool Evidence;
};

bool operator==(const RolloutKnowledge &a, const RolloutKnowledge &b);

/// Adds a veto. Of two vetoes for one version the earlier is kept, so that all
/// daemons report the same reason. Returns true if the knowledge changed.
bool addVeto(RolloutKnowledge &knowledge, const Veto &veto);

/// Raises the stage; never lowers it. If two daemons took the same step, the
/// earlier time counts. Returns true if anything changed.
bool raiseStage(RolloutKnowledge &knowledge, const VersionId &version,
                const StageRecord &mark);

/// Merges the knowledge of another daemon. Returns true if anything changed.
bool merge(RolloutKnowledge &into, const RolloutKnowledge &from);

/// The vetoes, the stages and the counters of the sources for which `isWanted`
/// holds.
RolloutKnowledge
partOf(const RolloutKnowledge &knowledge,
       const std::function<bool(const EvidenceSource &)> &isWanted);

/// The part that a daemon regularly sends to its peers: its own counters, the
/// vetoes and the stages. The counters of other daemons are sent less often,
/// for peers that were disconnected from those daemons.
RolloutKnowledge ownPart(const RolloutKnowledge &knowledge,
                         const EvidenceSource &self);

} // namespace sorrelbay
