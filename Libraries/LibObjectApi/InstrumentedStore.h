#pragma once

#include "LibObjectApi/ResourceStore.h"
#include <functional>
#include <optional>

namespace sorrelbay {

/// Called for each call to the store when it has ended: what was called for
/// which kind, and why it gave nothing, if so.
using StoreCallHook = std::function<void(const char *call, ResourceKind kind,
                                         std::optional<StoreFailure> failure)>;

/// The same store, with each call passed to the hook before its caller hears of
/// it.
ResourceStore instrumentedStore(const ResourceStore &store,
                                const StoreCallHook &onCall);

/// Whether a call that ended so did not reach the store, or its answer did not
/// come back. A refusal for what the store holds is an answer.
bool isUnreached(std::optional<StoreFailure> failure);

} // namespace sorrelbay
