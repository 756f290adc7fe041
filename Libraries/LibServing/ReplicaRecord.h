#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <optional>
#include <string>

namespace sorrelbay {

/// One upstream as it has registered itself.
struct ReplicaRecord {
  /// Names one life of the upstream; another one at the same address has
  /// another.
  UpstreamId Id;
  ServiceId OfService;
  VersionId OfVersion;
  ZoneId InZone;
  /// "ip:port".
  std::string Address;
  int Slots = 1;
  bool IsLeaving = false;
  bool IsReclaimable = false;
  /// It has just started and is slow for so long; more than its service's cold
  /// rate makes it crash.
  Duration ColdDuration{};
  /// Set when a leaving one says how soon it is gone.
  std::optional<Duration> LeavesIn;
  /// When this life began, in milliseconds since 1970 by the upstream's clock;
  /// 0 if it doesn't say.
  std::int64_t StartedMs = 0;
};

/// Whether the cloud takes the replica back. One that was sent away leaves,
/// too, but says nothing of what others may expect.
inline bool hasReclaimNotice(const ReplicaRecord &record) {
  return record.IsLeaving && record.IsReclaimable &&
         record.LeavesIn.has_value();
}

} // namespace sorrelbay
