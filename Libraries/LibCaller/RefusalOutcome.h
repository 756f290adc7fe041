#pragma once

#include "LibCaller/Problem.h"

namespace sorrelbay {

/// The outcome stated by a refusal that is made without a lookup in the ledger.
/// It is "not run" only for a declared first attempt, for a call without a key,
/// and for a key that every daemon refuses as too long. For all other calls and
/// for queries it is "unknown", because another attempt with the same key may
/// have run or be in flight at another host.
Outcome refusalOutcome(const HttpRequest &request);

} // namespace sorrelbay
