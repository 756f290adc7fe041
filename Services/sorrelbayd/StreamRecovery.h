#pragma once

#include "DaemonSettings.h"
#include "LibDecision/RecoveryPlan.h"
#include "LibHttp/GrowingWorkerPool.h"
#include "LiveAnswers.h"
#include "Metrics.h"
#include "UpstreamTable.h"
#include <map>
#include <mutex>

namespace sorrelbay {

/// Executes the recovery plans by which open answers survive the reclaim of
/// their engines: updates the plans with the daemon's observations, moves KV
/// caches and redirects answers. Answers stay on their version, so each version
/// has its own plan.
///
/// Thread-safe. Lock order: its own lock, then that of UpstreamTable,
/// LiveAnswers or a LiveAnswer.
class StreamRecovery {
public:
  StreamRecovery(const DaemonSettings &settings, UpstreamTable &upstreams,
                 LiveAnswers &answers, Metrics &metrics);

  /// Records that an answer's first attempt begins at the upstream.
  void begin(const LiveAnswer &answer, const UpstreamId &upstream);
  /// Records that the first token of the answer's current attempt has arrived.
  void firstTokenArrived(const LiveAnswer &answer);
  /// Records that the answer's attempt at the upstream failed.
  void lost(const LiveAnswer &answer, const UpstreamId &upstream,
            AttemptLoss loss);
  void end(const LiveAnswer &answer);
  /// Whether the version's engines have capacity for a new call besides the
  /// answers that wait for recovery.
  bool mayAdmit(const VersionId &version);
  /// Updates the plans with the state of upstreams and answers and performs the
  /// actions that are due. To be called every few tens of milliseconds.
  void tick();
  /// Waits until the KV cache moves in progress have ended.
  void stop();

private:
  RecoveryPlan &planOf(const VersionId &version);
  void updateUpstreams(Instant at);
  void perform(const VersionId &version, const RecoveryActions &actions);
  void enqueueMove(const VersionId &version, const MoveCache &order);
  void moveCache(const VersionId &version, const MoveCache &order,
                 std::uint64_t cachedTokens);

  const DaemonSettings &Settings;
  UpstreamTable &Upstreams;
  LiveAnswers &Answers;
  Metrics &Counts;
  std::mutex Mutex;
  std::map<VersionId, RecoveryPlan> Plans;
  std::map<UpstreamId, VersionId> KnownEngines;
  std::map<RequestId, std::shared_ptr<LiveAnswer>> Open;
  std::map<RequestId, std::string> CacheHandles;
  GrowingWorkerPool CacheMoveWorkers;
};

} // namespace sorrelbay
