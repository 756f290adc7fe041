#pragma once

#include "LibBase/Time.h"
#include <optional>

namespace sorrelbay {

/// Whether this host reaches the store, by how its calls ended. Not
/// thread-safe.
class StoreReachability {
public:
  /// A call reached the store and came back, or it did not.
  void note(bool isReached, Instant now);
  /// The last call did not: this host goes on asking by itself.
  bool isUnreached() const { return Since.has_value(); }
  /// No call has for a while. Where the store only breaks its watches off, or
  /// is away for a moment, all hosts that ask it fail at the same time; if each
  /// of them said at once that it is cut off, all that aggregate for others
  /// would change at that moment.
  bool isStoreUnreachable(Instant now) const;

private:
  std::optional<Instant> Since;
};

} // namespace sorrelbay
