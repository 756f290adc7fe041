#pragma once

#include "LibDecision/Bundle.h"
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// The share of calls that a stage gives to the new version, by kind of route.
struct StageShare {
  double Repeatable = 0;
  double NonRepeatable = 0;
  /// A probe asks for less evidence: it is there to find gross faults.
  bool IsProbe = false;

  friend bool operator==(const StageShare &a, const StageShare &b) {
    return std::tie(a.Repeatable, a.NonRepeatable, a.IsProbe) ==
           std::tie(b.Repeatable, b.NonRepeatable, b.IsProbe);
  }
};

/// One move of a service from an old version to a new one, as the bundle asks
/// for it. All daemons that have the same bundle work out the same plan.
struct RolloutPlan {
  VersionId New;
  VersionId Old;
  std::vector<Route> Routes;
  DeadlinePolicy Policy = DeadlinePolicy::Safe;
  /// The epoch if there is none.
  Instant Deadline;
  /// The share that the move ends with, 0 to 1.
  double FullShare = 1;
  /// The part of the service's calls that one replica serves at normal load.
  double ReplicaShare = 1;

  bool hasDeadline() const { return Deadline != Instant{}; }
};

/// The stages of a move. Stage 0 gives the new version nothing; then comes a
/// probe that finds gross faults at a very small share; then one replica at
/// its normal load, then doubled up to the full share. Routes that may not be
/// repeated follow when the others are through: a failed booking may have run,
/// and nobody may try it again. Until the last stage some calls stay with the
/// old version, to be compared with.
std::vector<StageShare> stagesOf(const RolloutPlan &plan);

/// The move that the bundle asks for a service: the version with the share
/// that grows, from the one that had it. Nothing if the service has one
/// version only. The old version is the one without a deadline.
std::optional<RolloutPlan> planRollout(const Bundle &bundle,
                                       const ServiceId &service,
                                       std::size_t replicas);

/// What callers are given, cut from one stage; small and immutable, so that
/// it can be read for each call without a lock on the rollout.
struct VersionShares {
  VersionId New;
  VersionId Old;
  StageShare Share;
  bool IsRolledBack = false;
  /// Until when the shares may be used without hearing from the peers.
  Instant FreshUntil;
};

/// The version for a call. The same key gets the same version while the share
/// stands, and stays on the new one when it grows, so that a retry does not
/// change versions. After a pause, until the daemon has heard from its peers
/// again, it is the old one: a veto may have been missed.
VersionId chooseVersion(const VersionShares &shares, std::string_view key,
                        bool isRepeatable, Instant now);

/// The few replicas that get the new version's calls at that share, so that
/// each of them carries its normal load; some faults only show then. Sorted
/// by a hash, so that all daemons pack onto the same ones and a growing share
/// only adds to them.
std::vector<UpstreamId> canaryReplicas(std::vector<UpstreamId> replicas,
                                       double share, double replicaShare);

} // namespace sorrelbay
