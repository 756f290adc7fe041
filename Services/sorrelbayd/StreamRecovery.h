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

/// Carries out the plans by which open answers survive the reclaim of their
/// engines: feeds them with what the daemon sees, moves caches, and redirects
/// answers. Answers stay on their version, so each version has its own plan.
///
/// Thread-safe. Lock order: its own, then UpstreamTable's, LiveAnswers' or a
/// LiveAnswer's.
class StreamRecovery {
public:
  StreamRecovery(const DaemonSettings &settings, UpstreamTable &upstreams,
                 LiveAnswers &answers, Metrics &metrics);

  /// An answer's first attempt begins there.
  void begin(const LiveAnswer &answer, const UpstreamId &upstream);
  /// The first token of the answer's present attempt has come.
  void firstTokenArrived(const LiveAnswer &answer);
  /// The answer's attempt there failed.
  void lost(const LiveAnswer &answer, const UpstreamId &upstream,
            AttemptLoss loss);
  void end(const LiveAnswer &answer);
  /// Whether the version has room for a new call beside answers that wait.
  bool mayAdmit(const VersionId &version);
  /// Looks at upstreams and answers again; called every few milliseconds.
  void tick();
  /// Waits for moves that are under way.
  void stop();

private:
  RecoveryPlan &planOf(const VersionId &version);
  void takeUpstreams(Instant at);
  void perform(const VersionId &version, const RecoveryActions &actions);
  void move(const VersionId &version, const MoveCache &order);
  void moveNow(const VersionId &version, const MoveCache &order,
               std::uint64_t cachedTokens);

  const DaemonSettings &Settings;
  UpstreamTable &Upstreams;
  LiveAnswers &Answers;
  Metrics &Counts;
  std::mutex Mutex;
  std::map<VersionId, RecoveryPlan> Plans;
  std::map<UpstreamId, VersionId> Known;
  std::map<RequestId, std::shared_ptr<LiveAnswer>> Open;
  std::map<RequestId, std::string> Handles;
  GrowingWorkerPool Movers;
};

} // namespace sorrelbay
