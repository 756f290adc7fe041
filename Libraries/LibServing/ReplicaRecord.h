#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <optional>
#include <string>

namespace sorrelbay {

/// An upstream's registration, written by the upstream itself.
struct ReplicaRecord {
  /// Identifies one incarnation of the upstream; another incarnation at the
  /// same address has another id.
  UpstreamId Id;
  ServiceId OfService;
  VersionId OfVersion;
  ZoneId InZone;
  /// "ip:port".
  std::string Address;
  int Slots = 1;
  bool IsLeaving = false;
  bool IsReclaimable = false;
  /// Time after its start for which the upstream is slow. During this time,
  /// more calls than its service's cold rate make it crash.
  Duration ColdDuration{};
  /// Time until a leaving upstream exits; empty if not reported.
  std::optional<Duration> LeavesIn;
  /// When this incarnation started, in milliseconds since 1970 by the
  /// upstream's clock; 0 if not reported.
  std::int64_t StartedMs = 0;
};

/// Whether the cloud is reclaiming the replica. A replica that was removed by
/// scaling down is leaving, too, but does not indicate that others will be
/// reclaimed.
inline bool hasReclaimNotice(const ReplicaRecord &record) {
  return record.IsLeaving && record.IsReclaimable &&
         record.LeavesIn.has_value();
}

} // namespace sorrelbay
