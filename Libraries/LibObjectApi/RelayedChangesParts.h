#pragma once

#include "LibObjectApi/ResourceStore.h"
#include <cstddef>
#include <vector>

namespace sorrelbay {

/// Splits changes into parts of at most about `maxBytes` bytes each, in the
/// order in which they must be applied. Each part starts at the revision at
/// which the previous one ends, so that a receiver detects a missing part. Only
/// the last part confirms the receiver's view. A single object that is larger
/// than the limit forms a part of its own.
std::vector<RelayedChanges> splitIntoParts(const RelayedChanges &relayed,
                                           std::size_t maxBytes);

} // namespace sorrelbay
