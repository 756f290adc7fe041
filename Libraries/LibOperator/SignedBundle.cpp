#include "LibOperator/SignedBundle.h"
#include "LibBase/JsonList.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

namespace {

using nlohmann::json;

/// Signed together with the payload, so that a signature made with the same key
/// for another purpose is not valid for a bundle.
constexpr const char *SigningContext = "sorrelbay bundle 1\n";

std::string signedText(const std::string &payload) {
  return SigningContext + payload;
}

json toBinary(const std::string &bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

std::string binaryAt(const json &from, const char *key) {
  const auto &bytes = from.at(key).get_binary();
  return {bytes.begin(), bytes.end()};
}

} // namespace

SignedBundle signBundle(const Bundle &bundle, const SigningKey &key) {
  SignedBundle out;
  out.Payload = encodeBundle(bundle);
  out.SignedBy = key.publicKey().id();
  out.Signature = key.sign(signedText(out.Payload));
  if (encodeSignedBundle(out).size() > MaxBundleBytes)
    throw BundleTooLarge(
        "the signed bundle exceeds the maximum size in bytes: " +
        std::to_string(MaxBundleBytes));
  return out;
}

std::string encodeSignedBundle(const SignedBundle &bundle) {
  const json value = {{"payload", toBinary(bundle.Payload)},
                      {"key", bundle.SignedBy.text()},
                      {"signature", toBinary(bundle.Signature)}};
  std::string out;
  json::to_cbor(value, out);
  return out;
}

SignedBundle decodeSignedBundle(const std::string &bytes) {
  if (bytes.size() > MaxBundleBytes)
    throw BundleTooLarge("the signed bundle has " +
                         std::to_string(bytes.size()) +
                         " bytes; the maximum is 524288");
  try {
    const json value = parseCbor(bytes);
    if (!value.contains("signature") || !value.contains("key"))
      throw BundleUnsigned("the bundle has no signature");
    return {binaryAt(value, "payload"),
            KeyId(value.at("key").get<std::string>()),
            binaryAt(value, "signature")};
  } catch (const json::exception &error) {
    throw BundleMalformed(std::string("the signed bundle can't be decoded: ") +
                          error.what());
  }
}

Bundle verifyBundle(const SignedBundle &bundle,
                    const std::vector<PublicKey> &acceptedKeys) {
  if (bundle.Signature.empty())
    throw BundleUnsigned("the bundle has no signature");
  bool isKeyKnown = false;
  for (const PublicKey &it : acceptedKeys) {
    if (it.id() != bundle.SignedBy)
      continue;
    isKeyKnown = true;
    if (it.verifies(signedText(bundle.Payload), bundle.Signature))
      return decodeBundle(bundle.Payload);
  }
  if (!isKeyKnown)
    throw BundleKeyUnknown("the bundle is signed by key " +
                           bundle.SignedBy.text() +
                           ", which is not an accepted key");
  throw BundleSignatureWrong("the signature by key " + bundle.SignedBy.text() +
                             " does not match the bundle");
}

} // namespace sorrelbay
