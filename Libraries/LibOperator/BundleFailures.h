#pragma once

#include "LibBase/Error.h"

namespace sorrelbay {

/// A bundle is rejected and must not come into force. The subclasses name the
/// cause.
class BundleRefused : public Error {
public:
  using Error::Error;
};

/// The bundle has no signature.
class BundleUnsigned : public BundleRefused {
public:
  using BundleRefused::BundleRefused;
};

/// The bundle is signed with a key that is not among the accepted keys.
class BundleKeyUnknown : public BundleRefused {
public:
  using BundleRefused::BundleRefused;
};

/// The signature does not match the bundle's bytes.
class BundleSignatureWrong : public BundleRefused {
public:
  using BundleRefused::BundleRefused;
};

/// The bundle is larger than MaxBundleBytes.
class BundleTooLarge : public BundleRefused {
public:
  using BundleRefused::BundleRefused;
};

/// The bytes are not the canonical CBOR encoding of a bundle.
class BundleMalformed : public BundleRefused {
public:
  using BundleRefused::BundleRefused;
};

} // namespace sorrelbay
