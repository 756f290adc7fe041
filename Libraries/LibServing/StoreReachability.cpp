#include "LibServing/StoreReachability.h"

namespace sorrelbay {

/// Hosts query the store themselves when an aggregator's updates stop, so
/// nothing is lost during this delay.
static constexpr Duration UnreachableAfter = seconds(1);

void StoreReachability::note(bool isReached, Instant now) {
  if (isReached)
    UnreachedSince.reset();
  else if (!UnreachedSince)
    UnreachedSince = now;
}

bool StoreReachability::isStoreUnreachable(Instant now) const {
  return UnreachedSince && now - *UnreachedSince >= UnreachableAfter;
}

} // namespace sorrelbay
