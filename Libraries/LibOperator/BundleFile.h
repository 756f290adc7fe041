#pragma once

#include "LibBase/Time.h"
#include "LibDecision/Bundle.h"
#include <string>

namespace sorrelbay {

/// Reads a bundle from the TOML that operators write; bundle(5) lists the
/// keys. A `deadline_in_s` counts from the given time. Throws TomlError with
/// every fault in the file: one that is found only after the roll would stop
/// calls that worked before it.
Bundle parseBundle(const std::string &text, const std::string &file,
                   Instant at = now());

/// The highest generation a bundle may have; what CBOR and JSON readers of
/// other languages hold exactly.
constexpr std::int64_t MaxGeneration = (std::int64_t{1} << 53) - 1;

} // namespace sorrelbay
