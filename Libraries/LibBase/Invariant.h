#pragma once

#include "LibBase/Error.h"
#include <functional>
#include <string>

namespace sorrelbay {

/// A promise of the system was found broken by the program itself.
class InvariantViolation : public Error {
public:
  using Error::Error;
};

/// What is done when an invariant is found broken; called with its name and a
/// sentence on what was seen. It must not return normally.
using InvariantHandler =
    std::function<void(const std::string &, const std::string &)>;

/// Replaces the handler and returns the old one. The handler at start logs and
/// aborts: an answer that breaks a promise is worse than a lost process.
InvariantHandler setInvariantHandler(InvariantHandler handler);

/// Checks an invariant, in every build.
void verifyInvariant(bool holds, const char *name, const char *seen);

/// Reports an invariant as broken, with a message put together by the caller.
[[noreturn]] void failInvariant(const char *name, const std::string &seen);

} // namespace sorrelbay
