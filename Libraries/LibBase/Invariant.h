#pragma once

#include "LibBase/Error.h"
#include <functional>
#include <string>

namespace sorrelbay {

/// The program detected that one of its own invariants is violated.
class InvariantViolation : public Error {
public:
  using Error::Error;
};

/// Called when an invariant is violated, with its name and a sentence that
/// describes the state found. It must not return normally.
using InvariantHandler =
    std::function<void(const std::string &, const std::string &)>;

/// Replaces the handler and returns the previous one. The default handler logs
/// and aborts, because a response that violates an invariant does more harm
/// than the loss of a process.
InvariantHandler setInvariantHandler(InvariantHandler handler);

/// Checks an invariant, in every build type.
void verifyInvariant(bool holds, const char *name, const char *seen);

/// Reports a violated invariant, with a message built by the caller.
[[noreturn]] void failInvariant(const char *name, const std::string &seen);

} // namespace sorrelbay
