#pragma once

#include "LibCaller/Problem.h"

namespace sorrelbay {

/// The outcome that a refusal states without a lookup in the ledger. Another
/// attempt with the same key may have run or be in flight at another host, so
/// the outcome is "not run" only for a declared first attempt and for a call
/// without a key or with a key that every daemon refuses as too long; never in
/// a response to a query.
Outcome refusalOutcome(const HttpRequest &request);

} // namespace sorrelbay
