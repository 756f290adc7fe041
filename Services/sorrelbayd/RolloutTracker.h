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

/// One move to a version, as this daemon sees it.
struct RolloutView {
  UpstreamVersion Version;
  RolloutStatus Status;
  /// What all daemons together saw of the new version, by route.
  std::map<RouteId, EvidenceCount> Evidence;
};

/// The replicas of a version that are not leaving.
using ReplicasOf =
    std::function<std::vector<UpstreamId>(const VersionId &version)>;

/// Which version serves a call, and what each version has shown, on this host
/// and, as far as is known, on all. Thread-safe; its lock is a leaf but for the
/// hook, which is called by tick() alone, outside the lock.
class RolloutTracker {
public:
  RolloutTracker(HostId self, ReplicasOf replicas);

  /// The version for a call: cut by the key's hash, so that a retry stays on
  /// its version. Empty if the bundle names none for the service.
  VersionId choose(const Bundle &bundle, const ServiceId &service,
                   std::uint64_t keyHash, bool isRepeatable);
  /// Counts a call and judges at once if it went badly.
  void record(const EvidenceKey &key, UpstreamOutcome outcome);
  /// Judges, and takes the steps that are due. Called several times a second;
  /// without it no call goes to a version that is still judged.
  void tick(const Bundle &bundle, Instant at);

  /// Replicas of the version that get no calls at its present share, so that
  /// the others carry their normal load.
  std::vector<UpstreamId> unpackedReplicas(const VersionId &version);

  /// What this daemon tells the others.
  RolloutKnowledge news();
  /// Takes in what another one sent.
  void receive(const RolloutKnowledge &said);
  /// All that the others knew at that time is known here.
  void refreshed(Instant askedAt);

  std::vector<RolloutView> moves(const Bundle &bundle);

private:
  struct Move {
    std::unique_ptr<Rollout> Part;
    std::vector<UpstreamId> NewReplicas;
    std::vector<UpstreamId> OldReplicas;
  };

  /// Lets the move decide by what is known. Needs the lock, as the next.
  void judge(const VersionId &version, Rollout &part, Instant at);
  /// A line for what changes where calls go.
  void logRollback(const VersionId &version, const char *by) const;
  bool isRolledBack(const VersionId &version) const;
  void beginMoves(const Bundle &bundle);
  void noteTime(Instant at);

  const EvidenceSource Self;
  const ReplicasOf Replicas;
  std::mutex Mutex;
  RolloutKnowledge Knowledge;
  std::map<VersionId, Move> Moves;
  std::uint64_t Generation = 0;
  /// The versions of the bundle; evidence of others is dropped.
  std::set<VersionId> Named;
  Instant TickedAt;
  /// Knowledge that is older is not used: when this daemon went on after it was
  /// started or paused.
  Instant ResumedAt;
  Instant RefreshedAt;
};

} // namespace sorrelbay
