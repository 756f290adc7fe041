#pragma once

#include "LibBase/Time.h"
#include "LibDecision/Bundle.h"
#include <string>

namespace sorrelbay {

/// Parses a bundle from the operators' TOML format; bundle(5) lists the keys.
/// `deadline_in_s` counts from the reference time. Throws TomlError with all
/// errors of the file: an error found only after the bundle has been rolled
/// would break calls that worked before.
Bundle parseBundle(const std::string &text, const std::string &file,
                   Instant referenceTime = now());

/// The highest generation of a bundle: the largest integer that CBOR and JSON
/// parsers of other languages represent exactly.
constexpr std::int64_t MaxGeneration = (std::int64_t{1} << 53) - 1;

} // namespace sorrelbay
