#pragma once

#include "LibDecision/Bundle.h"
#include "LibOperator/BundleFailures.h"
#include <string>

namespace sorrelbay {

/// The maximum size of a signed bundle, in bytes. Half of what the object API
/// accepts, so that a bundle also fits into a message between peers.
constexpr std::size_t MaxBundleBytes = std::size_t{512} * 1024;

/// Encodes the bundle as CBOR. Equal bundles give equal bytes on every host:
/// keys are sorted and numbers have their shortest form.
std::string encodeBundle(const Bundle &bundle);

/// Decodes a bundle. Throws BundleMalformed for bytes that encodeBundle would
/// not produce, and BundleTooLarge for more than MaxBundleBytes.
Bundle decodeBundle(const std::string &bytes);

} // namespace sorrelbay
