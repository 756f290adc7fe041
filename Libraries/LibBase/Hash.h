#pragma once

#include <cstdint>
#include <string_view>

namespace sorrelbay {

/// A 64-bit hash that is the same on every host and in every build (XXH3 of
/// xxHash). Traffic shares, buckets and the placement of keys on hosts depend
/// on it, so it must not change while two versions of the daemon run side by
/// side.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Maps the hash to a fraction in [0, 1).
double hashFraction(std::uint64_t hash);

} // namespace sorrelbay
