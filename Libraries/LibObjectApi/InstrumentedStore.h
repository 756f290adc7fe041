#pragma once

#include "LibObjectApi/ResourceStore.h"
#include <functional>
#include <optional>

namespace sorrelbay {

/// Invoked when a call to the store has completed, with the name of the call,
/// the resource kind, and the failure if the call has failed.
using StoreCallHook = std::function<void(const char *call, ResourceKind kind,
                                         std::optional<StoreFailure> failure)>;

/// Invoked with the first bytes of entries of the kind that have no name.
using UnnamedEntriesHook = std::function<void(
    ResourceKind kind, const std::vector<std::string> &begins)>;

/// Wraps the store so that the hooks are invoked with each result before the
/// callback of the call.
ResourceStore instrumentedStore(const ResourceStore &store,
                                const StoreCallHook &onCall,
                                const UnnamedEntriesHook &onUnnamed);

/// Whether a call with this result did not reach the store or got no reply.
/// A call that the store rejected because of its data has reached it.
bool isUnreached(std::optional<StoreFailure> failure);

} // namespace sorrelbay
