#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// The time since the host booted, as an Instant that is valid only for
/// computing differences. Unlike the steady clock it advances while the host is
/// suspended, and unlike the wall clock it is never adjusted: data that became
/// stale during a suspension must not look fresh afterwards.
Instant bootNow();

} // namespace sorrelbay
