#pragma once

#include "LibBase/Identifier.h"
#include <map>
#include <utility>

namespace sorrelbay {

/// How long calls of a route usually wait for their first byte, as multiples of
/// what is expected of each call. A response may be several times slower than
/// usual and still within its route's latency target. Not thread-safe.
class UsualFirstByte {
public:
  /// Adds a call of a version that is known to be good.
  void note(const ServiceId &service, const RouteId &route, double multiple);
  /// Whether a call took several times as long as usual; false until enough
  /// calls are known.
  bool isSlow(const ServiceId &service, const RouteId &route,
              double multiple) const;

private:
  struct Median {
    double Value = 0;
    int Calls = 0;
  };

  std::map<std::pair<ServiceId, RouteId>, Median> ByRoute;
};

} // namespace sorrelbay
