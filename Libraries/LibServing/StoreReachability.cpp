#include "LibServing/StoreReachability.h"

namespace sorrelbay {

/// Others ask by themselves where the news of one that aggregates stop, so that
/// nothing is lost by this wait.
static constexpr Duration CutOffAfter = seconds(1);

void StoreReachability::note(bool isReached, Instant now) {
  if (isReached)
    Since.reset();
  else if (!Since)
    Since = now;
}

bool StoreReachability::isStoreUnreachable(Instant now) const {
  return Since && now - *Since >= CutOffAfter;
}

} // namespace sorrelbay
