#pragma once

#include "LibBase/Time.h"
#include "LibDecision/EvidencePool.h"
#include <functional>
#include <map>

namespace sorrelbay {

/// Why a version was taken back.
enum class RollbackReason {
  /// It fails more often than the old version.
  Failures,
  /// It answers later than the old version.
  Lateness,
  /// The evidence for it could not be had before the deadline.
  Deadline,
};

/// The word for the reason in status and logs.
const char *toText(RollbackReason reason);

/// A version is bad, and why. It holds for that version for good.
struct Veto {
  VersionId Version;
  Instant At;
  /// The daemon that found out.
  HostId By;
  RollbackReason Reason = RollbackReason::Failures;
  /// The route whose calls weighed most; empty if all together did.
  RouteId OnRoute;
  /// The judge's statistic when it decided.
  double Statistic = 0;
  EvidenceCount New;
  EvidenceCount Old;
};

bool operator==(const Veto &a, const Veto &b);

/// How far a version has got. Stages only go up; what share a stage means is
/// worked out from the bundle.
struct StageRecord {
  unsigned Stage = 0;
  /// When the first daemon took the step.
  Instant Since;

  friend bool operator==(const StageRecord &a, const StageRecord &b) {
    return std::tie(a.Stage, a.Since) == std::tie(b.Stage, b.Since);
  }
};

/// All that daemons tell each other about moves. A join: vetoes are a set that
/// only grows, stages go by maximum, evidence by maximum of each source. So it
/// may be sent whole or in parts, twice, late and in any order.
struct RolloutKnowledge {
  std::map<VersionId, Veto> Vetoes;
  std::map<VersionId, StageRecord> Stages;
  EvidencePool Evidence;
};

bool operator==(const RolloutKnowledge &a, const RolloutKnowledge &b);

/// Adds a veto; of two for one version the earlier is kept, so that all
/// daemons come to name the same reason. True if it is new here.
bool addVeto(RolloutKnowledge &knowledge, const Veto &veto);

/// Raises the stage, never lowers it. Of two daemons that took the same step
/// the earlier one counts. True if anything changed.
bool raiseStage(RolloutKnowledge &knowledge, const VersionId &version,
                const StageRecord &mark);

/// Takes in what another daemon knows; true if anything was new.
bool merge(RolloutKnowledge &into, const RolloutKnowledge &from);

/// The vetoes and the stages, with the counters of those sources only.
RolloutKnowledge
partOf(const RolloutKnowledge &knowledge,
       const std::function<bool(const EvidenceSource &)> &isWanted);

/// The part that a daemon tells its peers all the time: its own counters, the
/// vetoes and the stages. The counters of others go along only now and then,
/// for those that were cut off from them.
RolloutKnowledge ownPart(const RolloutKnowledge &knowledge,
                         const EvidenceSource &self);

} // namespace sorrelbay
