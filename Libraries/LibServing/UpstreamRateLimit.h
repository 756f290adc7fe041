#pragma once

#include "LibBase/Time.h"
#include <optional>

namespace sorrelbay {

/// What is known about the rate of calls that an upstream accepts.
struct RateLimitStatement {
  /// Calls per second from all hosts together; empty if the upstream does not
  /// limit them any more.
  std::optional<double> PerSecond;
  /// The time of the statement, on the boot clock of the host that holds it: of
  /// the response that named a limit, or of the send whose response named none.
  /// The newest statement applies.
  Instant At{};
};

} // namespace sorrelbay
