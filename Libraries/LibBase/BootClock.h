#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// The time since the host was started, as an Instant that is only good for
/// differences. Unlike the steady clock it goes on while the host is
/// suspended, and unlike the wall clock nobody sets it: a view that is as old
/// as the suspension was long must not look fresh afterwards.
Instant bootNow();

} // namespace sorrelbay
