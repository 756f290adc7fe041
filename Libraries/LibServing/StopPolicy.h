#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// Whether a host that was asked to stop takes a call that has just come. At
/// first it takes all, because callers keep its address for a while and a
/// refusal would cost them a round; later only those that are sure to end
/// before the process does. A long answer that is taken late is cut when the
/// grace is over, and its caller has half a quote.
bool acceptsCallWhileStopping(Duration sinceStop, Duration grace,
                              Duration waitLimit);

/// What a stopping host leaves of its grace for its own end.
Duration stopMargin(Duration grace);

} // namespace sorrelbay
