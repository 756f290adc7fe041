#pragma once

#include <optional>
#include <string>

namespace sorrelbay {

/// The bytes as lower-case hexadecimal digits.
std::string toHex(const std::string &bytes);

/// Parses what toHex returns; empty if it has other characters or an odd
/// length.
std::optional<std::string> fromHex(const std::string &hex);

} // namespace sorrelbay
