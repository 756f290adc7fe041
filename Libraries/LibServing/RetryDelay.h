#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// What the Retry-After of a call that did not run is determined from.
struct RetryDelayInput {
  /// The time until the call could be served; callers that are refused together
  /// return spread over as long again.
  Duration Shortest{};
  Duration LongestSpread = Duration::max();
  /// The time that the caller has left.
  Duration TimeLeft{};
  /// The part of it that the call itself needs.
  Duration OwnTime{};
};

/// The delay for a caller; `fraction` is a random number from 0 to 1. Callers
/// follow a delay of up to a third of the time that they have left. A longer
/// one, or one that leaves no time for the call itself, would be as good as
/// none.
Duration retryDelay(const RetryDelayInput &input, double fraction);

} // namespace sorrelbay
