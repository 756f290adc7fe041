#pragma once

#include "LibBase/Time.h"
#include <optional>

namespace sorrelbay {

/// Whether this host can reach the store, judged by the results of its
/// requests. Not thread-safe.
class StoreReachability {
public:
  /// Records whether a request to the store got a response.
  void note(bool isReached, Instant now);
  /// Whether the last request failed: this host then keeps querying the store
  /// itself.
  bool isUnreached() const { return UnreachedSince.has_value(); }
  /// Whether no request has succeeded for a while. When the store closes its
  /// watches or is down for a moment, all hosts that query it fail at the same
  /// time; if each reported at once that it can't reach the store, all
  /// aggregators would be replaced at that moment.
  bool isStoreUnreachable(Instant now) const;

private:
  std::optional<Instant> UnreachedSince;
};

} // namespace sorrelbay
