#pragma once

#include "LibBase/Identifier.h"
#include <cstdint>
#include <tuple>

namespace sorrelbay {

/// The subject of a counter: one version on one route.
struct EvidenceKey {
  VersionId Version;
  RouteId OnRoute;

  friend bool operator==(const EvidenceKey &a, const EvidenceKey &b) {
    return std::tie(a.Version, a.OnRoute) == std::tie(b.Version, b.OnRoute);
  }
  friend bool operator<(const EvidenceKey &a, const EvidenceKey &b) {
    return std::tie(a.Version, a.OnRoute) < std::tie(b.Version, b.OnRoute);
  }
};

/// Monotonic counters of one incarnation of a daemon since its start. Two
/// counts of the same incarnation merge by maximum; counts of different
/// incarnations are added.
struct EvidenceCount {
  std::uint64_t Calls = 0;
  /// Calls that failed because of the upstream.
  std::uint64_t Failures = 0;
  /// Calls that were answered after the route's latency target.
  std::uint64_t Late = 0;

  friend bool operator==(const EvidenceCount &a, const EvidenceCount &b) {
    return std::tie(a.Calls, a.Failures, a.Late) ==
           std::tie(b.Calls, b.Failures, b.Late);
  }
  friend bool operator!=(const EvidenceCount &a, const EvidenceCount &b) {
    return !(a == b);
  }
};

} // namespace sorrelbay
