#include "LibPeer/RelayEnvelope.h"
#include "LibBase/Hex.h"
#include "LibBase/JsonList.h"
#include "LibPeer/MessageCode.h"
#include "LibPeer/PeerFailures.h"
#include <array>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace sorrelbay {

using nlohmann::json;

/// Must be changed whenever the format changes incompatibly.
static constexpr int FormatNumber = 1;
static constexpr const char *SealContext = "sorrelbay relay 1";
static constexpr char Separator = '.';
static constexpr std::size_t SecretBytes = 32;
/// Longer header fields are refused before they are decoded.
static constexpr std::size_t MaxTextLength = 8UL * 1024;

static std::string sealOf(const std::string &bytes, const std::string &secret) {
  return toHex(messageCode(secret, SealContext + bytes));
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
  const auto bytes = fromHex(text.substr(0, at));
  if (!bytes)
    throw PeerMessageRefused("relay envelope is not hexadecimal");
  if (!isSameCode(text.substr(at + 1), sealOf(*bytes, secret)))
    throw PeerMessageRefused("relay envelope has another seal");
  try {
    return envelopeFrom(parseCbor(*bytes));
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

std::string makeRelaySecret() { return toHex(randomBytes(SecretBytes)); }

} // namespace sorrelbay
