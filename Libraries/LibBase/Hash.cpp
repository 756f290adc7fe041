#include "LibBase/Hash.h"
#include <xxhash.h>

namespace sorrelbay {

// A double holds 53 bits exactly.
static constexpr int BitsToDrop = 64 - 53;
static constexpr double FractionStep = 1.0 / 9007199254740992.0;

std::uint64_t stableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

double hashFraction(std::uint64_t hash) {
  return static_cast<double>(hash >> BitsToDrop) * FractionStep;
}

} // namespace sorrelbay
