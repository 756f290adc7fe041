#pragma once

#include "LibObjectApi/ObjectApi.h"
#include "LibOperator/SignedBundle.h"
#include <cstdint>

namespace sorrelbay {

/// The generation and the signing key of a bundle, for messages to operators.
struct BundleOrigin {
  std::uint64_t Generation = 0;
  KeyId SignedBy;
};

/// A bundle was not rolled because another bundle is current.
class RollRefused : public Error {
public:
  RollRefused(const std::string &reason, BundleOrigin current);
  const BundleOrigin &current() const { return Current; }

private:
  BundleOrigin Current;
};

/// The generation of the current bundle was equal or higher before the roll.
class RollOutdated : public RollRefused {
public:
  using RollRefused::RollRefused;
};

/// Another operator's bundle became current during the roll.
class RollConflict : public RollRefused {
public:
  using RollRefused::RollRefused;
};

/// The result of a roll.
struct RollResult {
  std::uint64_t Generation = 0;
  /// Whether the same bundle was already current, from an earlier attempt.
  bool WasCurrent = false;
};

/// Rolls the bundle: makes it the current one by a single conditional update.
/// If the reply is lost, the object is read back to determine the outcome.
/// Throws RollOutdated, RollConflict, BundleMalformed, ObjectApiUnavailable if
/// the bundle was not rolled, or WriteOutcomeUnknown if reading back did not
/// determine the outcome. It is safe to roll the same bundle again.
RollResult rollBundle(const ObjectApi &api, const SignedBundle &bundle);

/// The current bundle as read from the object API. Its signature is not
/// verified, since only daemons have the accepted keys.
struct CurrentBundle {
  Bundle Content;
  KeyId SignedBy;
};

/// Returns the current bundle, or nothing if there is no object or it is not a
/// signed bundle. Throws ObjectApiUnavailable.
std::optional<CurrentBundle> readCurrentBundle(const ObjectApi &api);

} // namespace sorrelbay
