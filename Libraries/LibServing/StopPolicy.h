#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// Whether a host that is shutting down accepts a new call. At first it accepts
/// all of them, because callers keep its address for a while and a refusal
/// would cost them a round trip; later only those that are sure to end before
/// the process does. A long response that is accepted late is cut off when the
/// grace period ends, and its caller is left with an incomplete response.
bool acceptsCallWhileStopping(Duration sinceStop, Duration grace,
                              Duration waitLimit);

/// The part of the grace period that is reserved for the process's own
/// shutdown.
Duration stopMargin(Duration grace);

} // namespace sorrelbay
