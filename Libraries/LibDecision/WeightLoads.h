#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <vector>

namespace sorrelbay {

/// A version's weights that an upstream has to load from the weight store.
struct WeightLoad {
  UpstreamId TargetUpstream;
  VersionId OfVersion;
  std::int64_t Bytes = 0;
  /// When the version must be able to serve there.
  Instant Deadline;
};

/// A load with the time at which to order it and when it will be finished.
struct PlannedLoad {
  WeightLoad Load;
  Instant StartAt;
  Instant FinishAt;
  bool IsInTime = true;
};

/// The loads in the order of their deadlines, one after the other, at the
/// weight store's bytes a second: side by side they would all finish late
/// together. They are spread over the time up to the deadlines with a quarter
/// to spare, so that a replacement in an emergency finds the store free. Loads
/// that can't be in time even at the full rate are marked.
std::vector<PlannedLoad> planLoads(std::vector<WeightLoad> loads,
                                   double bytesPerSecond, Instant now);

} // namespace sorrelbay
