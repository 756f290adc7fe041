#pragma once

#include "LibObjectApi/ResourceStore.h"
#include <cstddef>
#include <vector>

namespace sorrelbay {

/// The news in parts of about `mostBytes` each at the most, in the order in
/// which they have to be applied: each leads from the revision that the one
/// before it leads to, so that a receiver that misses one notices. Only the
/// last confirms that all is known. A single larger object is a part by itself.
std::vector<RelayedChanges> splitIntoParts(const RelayedChanges &news,
                                           std::size_t mostBytes);

} // namespace sorrelbay
