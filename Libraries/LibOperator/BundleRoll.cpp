#include "LibOperator/BundleRoll.h"

namespace sorrelbay {

namespace {

constexpr int MaxAttempts = 3;

std::string describe(const std::string &reason, const BundleOrigin &current) {
  return reason + ": generation " + std::to_string(current.Generation) +
         " signed by key " + current.SignedBy.text() + " is current";
}

/// Decodes the current bundle. An object that is not a bundle is ignored: no
/// daemon puts it into force, and if it blocked a roll it could never be
/// replaced.
std::optional<CurrentBundle>
currentOf(const std::optional<StoredObject> &object) {
  if (!object)
    return std::nullopt;
  try {
    const SignedBundle bundle = decodeSignedBundle(object->Body);
    return CurrentBundle{decodeBundle(bundle.Payload), bundle.SignedBy};
  } catch (const BundleRefused &) {
    return std::nullopt;
  }
}

BundleOrigin originOf(const std::optional<StoredObject> &object) {
  const auto current = currentOf(object);
  if (!current)
    return {};
  return {current->Content.Generation, current->SignedBy};
}

/// A conditional update that is attempted until its outcome is known. All
/// attempts send the same update, so that at most one takes effect.
class BundleWrite {
public:
  BundleWrite(const ObjectApi &api, std::string body,
              const std::optional<StoredObject> &before)
      : Api(api), Body(std::move(body)),
        Expected(before ? before->Version : AbsentVersion) {}

  /// Returns true if the update took effect and false if that is unknown.
  /// Throws RollConflict, and ObjectApiUnavailable if no attempt can have taken
  /// effect.
  bool attempt() {
    try {
      return write() || readBack();
    } catch (const ObjectApiUnavailable &) {
      if (!MayHaveTakenEffect)
        throw;
      return false;
    }
  }

private:
  bool write() {
    try {
      Api.Write(CurrentBundleObject, Body, Expected);
      return true;
    } catch (const WriteOutcomeUnknown &) {
      MayHaveTakenEffect = true;
    } catch (const VersionConflict &) {
      // Either another operator's update was first, or an earlier attempt whose
      // reply was lost took effect. Reading back determines which.
      MayHaveTakenEffect = true;
    }
    return false;
  }

  bool readBack() {
    const auto after = Api.Read(CurrentBundleObject);
    if (after && after->Body == Body)
      return true;
    if (after && after->Version != Expected)
      throw RollConflict(
          "the bundle was not rolled, or was replaced immediately",
          originOf(after));
    return false;
  }

  const ObjectApi &Api;
  std::string Body;
  std::uint64_t Expected;
  bool MayHaveTakenEffect = false;
};

} // namespace

RollRefused::RollRefused(const std::string &reason, BundleOrigin current)
    : Error(describe(reason, current)), Current(std::move(current)) {}

std::optional<CurrentBundle> readCurrentBundle(const ObjectApi &api) {
  return currentOf(api.Read(CurrentBundleObject));
}

RollResult rollBundle(const ObjectApi &api, const SignedBundle &bundle) {
  const std::uint64_t generation = decodeBundle(bundle.Payload).Generation;
  const std::string body = encodeSignedBundle(bundle);
  const auto before = api.Read(CurrentBundleObject);
  if (before && before->Body == body)
    return {generation, true};
  const BundleOrigin origin = originOf(before);
  if (origin.Generation >= generation)
    throw RollOutdated("generation " + std::to_string(generation) +
                           " is not newer than the current one",
                       origin);
  BundleWrite write(api, body, before);
  for (int n = 0; n < MaxAttempts; ++n)
    if (write.attempt())
      return {generation, false};
  throw WriteOutcomeUnknown("generation " + std::to_string(generation) +
                            " may or may not have been rolled; roll it again");
}

} // namespace sorrelbay
