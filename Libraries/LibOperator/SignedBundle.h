#pragma once

#include "LibDecision/Bundle.h"
#include "LibOperator/BundleCodec.h"
#include "LibOperator/SigningKey.h"
#include <string>
#include <vector>

namespace sorrelbay {

/// A bundle as stored in the object API and sent between peers. It keeps the
/// signed bytes, so that no host has to encode the bundle again.
struct SignedBundle {
  /// The bundle as encoded by encodeBundle.
  std::string Payload;
  KeyId SignedBy;
  std::string Signature;

  friend bool operator==(const SignedBundle &a, const SignedBundle &b) {
    return a.Payload == b.Payload && a.SignedBy == b.SignedBy &&
           a.Signature == b.Signature;
  }
};

/// The name of the object that stores the current bundle.
constexpr const char *CurrentBundleObject = "bundle/current";

/// Signs the bundle. Throws BundleTooLarge or KeyUnusable.
SignedBundle signBundle(const Bundle &bundle, const SigningKey &key);

/// Encodes the signed bundle as the body of the `bundle/current` object.
std::string encodeSignedBundle(const SignedBundle &bundle);
/// Decodes a signed bundle without verifying it. Throws BundleUnsigned,
/// BundleTooLarge or BundleMalformed.
SignedBundle decodeSignedBundle(const std::string &bytes);

/// Verifies the signature and returns the bundle. Throws a subclass of
/// BundleRefused if it is not signed by an accepted key. Two keys are accepted
/// while operators rotate keys.
Bundle verifyBundle(const SignedBundle &bundle,
                    const std::vector<PublicKey> &acceptedKeys);

} // namespace sorrelbay
