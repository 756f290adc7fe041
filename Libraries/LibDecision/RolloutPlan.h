#pragma once

#include "LibDecision/Bundle.h"
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// The share of calls that a stage sends to the new version, by kind of route.
struct StageShare {
  double Repeatable = 0;
  double NonRepeatable = 0;
  /// A probe stage finds severe faults and needs less evidence.
  bool IsProbe = false;

  friend bool operator==(const StageShare &a, const StageShare &b) {
    return std::tie(a.Repeatable, a.NonRepeatable, a.IsProbe) ==
           std::tie(b.Repeatable, b.NonRepeatable, b.IsProbe);
  }
};

/// The rollout of a new version of a service that replaces an old one, as the
/// bundle specifies it. All daemons with the same bundle compute the same plan.
struct RolloutPlan {
  VersionId New;
  VersionId Old;
  std::vector<Route> Routes;
  DeadlinePolicy Policy = DeadlinePolicy::Safe;
  /// The epoch if there is no deadline.
  Instant Deadline;
  /// The final share of the new version, 0 to 1.
  double FullShare = 1;
  /// The share of the calls in the probe.
  double ProbeShare = 0.02;
  /// The share of the service's calls that one replica serves at normal load.
  double ReplicaShare = 1;

  bool hasDeadline() const { return Deadline != Instant{}; }
};

/// Returns the stages of a rollout. Stage 0 sends no calls to the new version.
/// A probe with a very small share follows to find severe faults. The next
/// stage loads one replica normally, and each later one doubles the share up to
/// the full share. Non-repeatable routes start when the repeatable ones are
/// nearly done, because a failed call of theirs may have run and must not be
/// retried. Some calls go to the old version until the last stage, for
/// comparison.
std::vector<StageShare> stagesOf(const RolloutPlan &plan);

/// Returns the rollout that the bundle specifies: from the version without a
/// deadline to the one with a deadline. Returns nothing if the service has only
/// one version.
std::optional<RolloutPlan> planRollout(const Bundle &bundle,
                                       const ServiceId &service,
                                       std::size_t replicas);

/// The shares of one stage, used to choose the version of each call. Small and
/// immutable, so that it is read without a lock on the rollout.
struct VersionShares {
  VersionId New;
  VersionId Old;
  StageShare Share;
  bool IsRolledBack = false;
  /// The shares must not be used after this time without an answer from the
  /// peers.
  Instant FreshUntil;
};

/// Chooses the version for a call. A key keeps its version while the share is
/// unchanged, and stays on the new version when the share grows, so that a
/// retry does not change versions. Returns the old version if the shares are
/// stale, since a veto may have been missed during a pause.
VersionId chooseVersion(const VersionShares &shares, std::string_view key,
                        bool isRepeatable, Instant now);

/// Returns the replicas that receive the new version's calls at the share. They
/// are as few as possible, so that each has its normal load, since some faults
/// show only under load. The order is by hash, so that all daemons choose the
/// same replicas and a growing share only adds replicas.
std::vector<UpstreamId> canaryReplicas(std::vector<UpstreamId> replicas,
                                       double share, double replicaShare);

} // namespace sorrelbay
