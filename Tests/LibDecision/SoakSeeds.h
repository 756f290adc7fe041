#pragma once

#include <cstdint>
#include <cstdlib>

namespace sorrelbay {

/// Number of seeds of a randomised test case: `inCi`, or the value of
/// SORRELBAY_SOAK_SEEDS if it is set.
inline std::uint64_t soakSeeds(std::uint64_t inCi) {
  const char *seedCountText = std::getenv("SORRELBAY_SOAK_SEEDS");
  return seedCountText == nullptr ? inCi
                                  : std::strtoull(seedCountText, nullptr, 10);
}

} // namespace sorrelbay
