#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <vector>

namespace sorrelbay {

/// The weights of a version that an upstream must load from the weight store.
struct WeightLoad {
  UpstreamId TargetUpstream;
  VersionId OfVersion;
  std::int64_t Bytes = 0;
  /// When the upstream must be able to serve the version.
  Instant Deadline;
};

/// A load with its start time and expected finish time.
struct PlannedLoad {
  WeightLoad Load;
  Instant StartAt;
  Instant FinishAt;
  bool IsInTime = true;
};

/// Schedules the loads one after the other by deadline, because concurrent
/// loads that share the weight store's bandwidth would all finish late. The
/// loads are spread over the time up to the deadlines at 1.25 times the
/// required rate, or at the full rate if that is lower, so that the store has
/// bandwidth left for an emergency replacement. Loads that cannot finish in
/// time even at the full rate are marked.
std::vector<PlannedLoad> planLoads(std::vector<WeightLoad> loads,
                                   double bytesPerSecond, Instant now);

} // namespace sorrelbay
