#pragma once

#include "LibServing/UsageCounts.h"
#include <functional>

namespace sorrelbay {

/// The holder of a duty, and the fencing token by which the cloud rejects
/// requests of an earlier holder.
struct LeaseHolder {
  HostId Holder;
  std::uint64_t FencingToken = 0;
};

/// An order for a number of replicas of one kind in one zone.
struct ReplicaOrder {
  ServiceId Service;
  ZoneId Zone;
  bool IsReclaimable = false;
  int Count = 0;
};

/// The result of a request to the cloud.
enum class CloudResult {
  Accepted,
  /// No replicas are available now.
  NoneAvailable,
  /// Rate-limited or unable to serve the request now; nothing was done.
  Refused,
  /// No response: the request may have been carried out.
  Unknown,
};

using CloudCallback = std::function<void(CloudResult)>;

/// The requests to the cloud, as hooks on the event loop. Only the host that
/// holds the duties may use them. Each callback runs once, on the loop's
/// thread.
struct CloudHooks {
  std::function<void(const LeaseHolder &, WindowNumber, const TeamCounts &,
                     CloudCallback)>
      ReportUsage;
  std::function<void(const LeaseHolder &, const ReplicaOrder &, CloudCallback)>
      Order;
};

} // namespace sorrelbay
