#pragma once

#include "LibDecision/Rollout.h"
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace sorrelbay {

/// The rollout of one version, as known to this daemon.
struct RolloutView {
  UpstreamVersion Version;
  RolloutStatus Status;
  /// The evidence of all daemons on the new version, by route.
  std::map<RouteId, EvidenceCount> Evidence;
};

/// The replicas of a version that are not leaving.
using ReplicasOf =
    std::function<std::vector<UpstreamId>(const VersionId &version)>;

/// Chooses the version that serves a call and collects the evidence on each
/// version, of this host and, as far as received, of all hosts. Thread-safe.
/// The lock is a leaf; the hook for replicas is called only by tick().
class RolloutTracker {
public:
  RolloutTracker(HostId self, ReplicasOf replicas);

  /// Returns the version for a call, chosen by the key's hash so that a retry
  /// stays on its version. Empty if the bundle has none for the service.
  VersionId choose(const Bundle &bundle, const ServiceId &service,
                   std::uint64_t keyHash, bool isRepeatable);
  /// Records a call's outcome. If it is not Good, the version is judged at
  /// once.
  void record(const EvidenceKey &key, UpstreamOutcome outcome);
  /// Judges all rollouts and takes the steps that are due. To be called several
  /// times a second; without it, no call is sent to a version in rollout.
  void tick(const Bundle &bundle, Instant at);

  /// The replicas of the version that receive no calls at its current share, so
  /// that the remaining ones have their normal load.
  std::vector<UpstreamId> excludedReplicas(const VersionId &version);

  /// The knowledge that this daemon publishes to the others.
  RolloutKnowledge ownKnowledge();
  /// Merges the knowledge of another daemon.
  void receive(const RolloutKnowledge &incoming);
  /// Records that this daemon has all knowledge that the others had at the
  /// given time.
  void confirmKnowledgeUntil(Instant askedAt);

  std::vector<RolloutView> rolloutViews(const Bundle &bundle);

private:
  struct ActiveRollout {
    std::unique_ptr<Rollout> Controller;
    std::vector<UpstreamId> NewReplicas;
    std::vector<UpstreamId> OldReplicas;
  };

  /// Updates the rollout's decision from the current knowledge. The lock must
  /// be held, as for the members below.
  void judge(const VersionId &version, Rollout &controller, Instant at);
  /// Logs that a version was rolled back.
  void logRollback(const VersionId &version, const char *by) const;
  bool isRolledBack(const VersionId &version) const;
  void beginRollouts(const Bundle &bundle);
  void updateFreshness(Instant at);

  const EvidenceSource Self;
  const ReplicasOf Replicas;
  std::mutex Mutex;
  RolloutKnowledge Knowledge;
  std::map<VersionId, ActiveRollout> ActiveRollouts;
  std::uint64_t Generation = 0;
  /// The versions in the bundle; evidence on other versions is dropped.
  std::set<VersionId> BundleVersions;
  Instant LastTickAt;
  /// When this daemon was started, or resumed after a pause. Knowledge from
  /// before this time is not used.
  Instant ResumedAt;
  Instant RefreshedAt;
};

} // namespace sorrelbay
