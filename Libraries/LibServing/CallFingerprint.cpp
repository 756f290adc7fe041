#include "LibServing/CallFingerprint.h"
#include "LibBase/Hex.h"
#include "LibServing/UpstreamCrash.h"
#include <array>
#include <openssl/evp.h>

namespace sorrelbay {

/// Too many for a caller to find another request with a given fingerprint.
static constexpr std::size_t FingerprintBytes = 10;

/// Appends the text with its length, so that no two lists of texts are the
/// same in sum.
static void append(std::string &out, const std::string &text) {
  out += std::to_string(text.size()) + ':' + text;
}

std::string callFingerprint(const ServingCall &call, const TeamId &team,
                            const std::string &body) {
  std::string text;
  text.reserve(256 + body.size());
  append(text, team.text());
  append(text, call.Method);
  append(text, call.Path);
  for (const PromptPart &it : call.Prompt)
    append(text, it.Id + '/' + std::to_string(it.Tokens));
  text += ';';
  append(text, body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  EVP_Digest(text.data(), text.size(), buf.data(), nullptr, EVP_sha256(),
             nullptr);
  return CallSuspectPrefix +
         toHex(std::string(buf.begin(), buf.begin() + FingerprintBytes));
}

} // namespace sorrelbay
