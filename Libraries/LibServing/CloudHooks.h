#pragma once

#include "LibServing/UsageCounts.h"
#include <functional>

namespace sorrelbay {

/// Who exercises a duty, and the number by which an older holder is
/// distinguished from a newer one.
struct LeaseHolder {
  HostId Holder;
  std::uint64_t FencingToken = 0;
};

/// So many replicas of one kind in one zone.
struct ReplicaOrder {
  ServiceId Service;
  ZoneId Zone;
  bool IsReclaimable = false;
  int Count = 0;
};

/// What came of a call to the cloud.
enum class CloudResult {
  Accepted,
  /// There are none to be had now.
  NoneAvailable,
  /// Too many calls, or it can't serve now; it did nothing.
  Refused,
  /// No answer: it may have been done.
  Unknown,
};

using CloudCallback = std::function<void(CloudResult)>;

/// The cloud's duties as hooks on the event loop. Each is to be used by the one
/// host that holds the duties. Callbacks run on the loop's thread, once.
struct CloudHooks {
  std::function<void(const LeaseHolder &, WindowNumber, const TeamCounts &,
                     CloudCallback)>
      ReportUsage;
  std::function<void(const LeaseHolder &, const ReplicaOrder &, CloudCallback)>
      Order;
};

} // namespace sorrelbay
