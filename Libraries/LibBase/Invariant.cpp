#include "LibBase/Invariant.h"
#include <cstdlib>
#include <glog/logging.h>
#include <utility>

namespace sorrelbay {

static void logAndAbort(const std::string &name, const std::string &seen) {
  LOG(ERROR) << "invariant broken: " << name << ": " << seen;
  std::abort();
}

static InvariantHandler &handler() {
  static InvariantHandler current = logAndAbort;
  return current;
}

InvariantHandler setInvariantHandler(InvariantHandler next) {
  return std::exchange(handler(), std::move(next));
}

void failInvariant(const char *name, const std::string &seen) {
  handler()(name, seen);
  std::abort();
}

void verifyInvariant(bool holds, const char *name, const char *seen) {
  if (!holds)
    failInvariant(name, seen);
}

} // namespace sorrelbay
