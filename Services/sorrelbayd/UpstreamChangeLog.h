#pragma once

#include "LibBase/LogRateLimiter.h"
#include "LibBase/Time.h"
#include "LibServing/OutstandingWork.h"
#include "LibServing/ReplicaRecord.h"
#include <cstdint>

namespace sorrelbay {

/// Logs which upstreams come, leave and go, and the work that all hosts have
/// open there. Each host of a large fleet learns
/// of the same thousands of changes, so that a host logs only a few of them a
/// second, and the number of the others. The fleet leader, which learns of them
/// first, logs many more.
class UpstreamChangeLog {
public:
  /// The upstream is registered, or has changed between ready and leaving, as
  /// of the store's revision. Returns whether that was logged.
  bool noteState(const ReplicaRecord &record, std::uint64_t revision,
                 bool isFleetLeader, Instant now,
                 const OutstandingWork &open = {});
  /// The upstream's registration was deleted. Returns whether that was logged.
  bool noteGone(const UpstreamId &id, bool isFleetLeader, Instant now,
                const OutstandingWork &open = {});
  /// To be called several times a second: logs how many changes were left out,
  /// at most once a second.
  void logLeftOut(Instant now);

private:
  bool take(bool isFleetLeader, Instant now);

  LogRateLimiter OwnBudget{20};
  LogRateLimiter LeaderBudget{2000};
  Instant LeftOutLoggedAt{};
};

} // namespace sorrelbay
