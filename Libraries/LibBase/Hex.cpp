#include "LibBase/Hex.h"

namespace sorrelbay {

static constexpr int Base = 16;

std::string toHex(const std::string &bytes) {
  static constexpr const char *Digits = "0123456789abcdef";
  std::string out;
  for (const char it : bytes) {
    const auto byte = static_cast<unsigned char>(it);
    out += Digits[byte / Base];
    out += Digits[byte % Base];
  }
  return out;
}

static std::optional<int> valueOf(char digit) {
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  return std::nullopt;
}

std::optional<std::string> fromHex(const std::string &hex) {
  if (hex.size() % 2 != 0)
    return std::nullopt;
  std::string out;
  for (std::size_t n = 0; n < hex.size(); n += 2) {
    const auto high = valueOf(hex[n]);
    const auto low = valueOf(hex[n + 1]);
    if (!high || !low)
      return std::nullopt;
    out += static_cast<char>(*high * Base + *low);
  }
  return out;
}

} // namespace sorrelbay
