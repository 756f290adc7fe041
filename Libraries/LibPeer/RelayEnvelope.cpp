#include "LibPeer/RelayEnvelope.h"
#include "LibBase/Invariant.h"
#include "LibPeer/PeerFailures.h"
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace sorrelbay {

using nlohmann::json;

/// Must be changed whenever the format changes incompatibly.
static constexpr int FormatNumber = 1;
static constexpr const char *SealContext = "sorrelbay relay 1";
static constexpr char Separator = '.';
static constexpr std::size_t SecretBytes = 32;
/// Longer header fields are refused before they are decoded.
static constexpr std::size_t MaxTextLength = 8UL * 1024;

template <typename Bytes> static std::string toHex(const Bytes &bytes) {
  static constexpr const char *Digits = "0123456789abcdef";
  std::string out;
  for (const auto it : bytes) {
    const auto byte = static_cast<unsigned char>(it);
    out += Digits[byte >> 4U];
    out += Digits[byte & 15U];
  }
  return out;
}

static unsigned digitOf(char c) {
  if (c >= '0' && c <= '9')
    return static_cast<unsigned>(c - '0');
  if (c >= 'a' && c <= 'f')
    return static_cast<unsigned>(c - 'a') + 10;
  throw PeerMessageRefused("relay envelope is not hexadecimal");
}

static std::string fromHex(const std::string &text) {
  if (text.size() % 2 != 0)
    throw PeerMessageRefused("relay envelope is cut off");
  std::string out;
  for (std::size_t n = 0; n < text.size(); n += 2)
    out += static_cast<char>(digitOf(text[n]) << 4U | digitOf(text[n + 1]));
  return out;
}

static std::string sealOf(const std::string &bytes, const std::string &secret) {
  const std::string text = SealContext + bytes;
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char *>(text.data()), text.size(),
       buf.data(), &n);
  return toHex(std::string(buf.begin(), buf.begin() + n));
}

std::string sealRelayEnvelope(const RelayEnvelope &envelope,
                              const std::string &secret) {
  const json fields = {FormatNumber,
                       envelope.From.text(),
                       envelope.To.text(),
                       envelope.CallId,
                       envelope.RequestDigest,
                       envelope.Service.text(),
                       envelope.WaitLimit.count(),
                       envelope.Attempts,
                       envelope.PlanVersion,
                       envelope.ResumeAfter,
                       envelope.IsDemandCounted};
  const auto cbor = json::to_cbor(fields);
  const std::string bytes(cbor.begin(), cbor.end());
  return toHex(bytes) + Separator + sealOf(bytes, secret);
}

static RelayEnvelope envelopeFrom(const json &fields) {
  if (fields.at(0).get<int>() != FormatNumber)
    throw PeerMessageRefused("relay envelope has an unsupported format number");
  RelayEnvelope out;
  out.From = HostId(fields.at(1).get<std::string>());
  out.To = HostId(fields.at(2).get<std::string>());
  fields.at(3).get_to(out.CallId);
  fields.at(4).get_to(out.RequestDigest);
  out.Service = ServiceId(fields.at(5).get<std::string>());
  out.WaitLimit = Duration(fields.at(6).get<std::int64_t>());
  fields.at(7).get_to(out.Attempts);
  fields.at(8).get_to(out.PlanVersion);
  fields.at(9).get_to(out.ResumeAfter);
  fields.at(10).get_to(out.IsDemandCounted);
  return out;
}

RelayEnvelope openRelayEnvelope(const std::string &text,
                                const std::string &secret) {
  const std::size_t at = text.find(Separator);
  if (secret.empty() || at == std::string::npos || text.size() > MaxTextLength)
    throw PeerMessageRefused("relay envelope is not sealed");
  const std::string bytes = fromHex(text.substr(0, at));
  const std::string expected = sealOf(bytes, secret);
  const std::string seal = text.substr(at + 1);
  if (seal.size() != expected.size() ||
      CRYPTO_memcmp(seal.data(), expected.data(), seal.size()) != 0)
    throw PeerMessageRefused("relay envelope has another seal");
  try {
    return envelopeFrom(json::from_cbor(bytes));
  } catch (const json::exception &error) {
    throw PeerMessageRefused(std::string("relay envelope can't be decoded: ") +
                             error.what());
  }
}

std::string digestOfRequest(const std::string &method,
                            const std::string &path) {
  const std::string text = method + " " + path;
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf{};
  unsigned int n = 0;
  EVP_Digest(text.data(), text.size(), buf.data(), &n, EVP_sha256(), nullptr);
  return toHex(std::string(buf.begin(), buf.begin() + n));
}

std::string makeRelaySecret() {
  std::array<unsigned char, SecretBytes> buf{};
  const bool isFilled = RAND_bytes(buf.data(), buf.size()) == 1;
  verifyInvariant(isFilled, "relay-secret-is-random", "RAND_bytes failed");
  return toHex(buf);
}

} // namespace sorrelbay
