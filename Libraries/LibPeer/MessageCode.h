#pragma once

#include <string>

namespace sorrelbay {

/// The HMAC-SHA-256 of the text: shows that its author holds the secret.
std::string messageCode(const std::string &secret, const std::string &text);

/// Compares two codes in constant time.
bool isSameCode(const std::string &a, const std::string &b);

/// That many cryptographically secure random bytes.
std::string randomBytes(std::size_t count);

} // namespace sorrelbay
