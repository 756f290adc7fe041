#include "LibOperator/ActiveBundle.h"
#include "LibBase/Invariant.h"

namespace sorrelbay {

ActiveBundle::ActiveBundle(std::vector<PublicKey> acceptedKeys)
    : AcceptedKeys(std::move(acceptedKeys)) {}

std::uint64_t ActiveBundle::generation() const {
  return Current == nullptr ? 0 : Current->Generation;
}

BundleOffer ActiveBundle::offer(const std::string &signedBytes) {
  if (Current != nullptr && signedBytes == Bytes)
    return BundleOffer::NotNewer;
  return adoptIfNewer(
      verifyBundle(decodeSignedBundle(signedBytes), AcceptedKeys), signedBytes);
}

BundleOffer ActiveBundle::offer(const BundleMark &mark) {
  if (mark == this->mark())
    return BundleOffer::NotNewer;
  Bundle bundle = verifyBundle(decodeSignedBundle(mark.Signed), AcceptedKeys);
  if (bundle.Generation != mark.Generation)
    throw BundleMalformed("a peer named another generation than the bundle's");
  return adoptIfNewer(std::move(bundle), mark.Signed);
}

BundleOffer ActiveBundle::adoptIfNewer(Bundle bundle,
                                       const std::string &signedBytes) {
  const std::uint64_t before = generation();
  // Of two that were signed under one generation all daemons must choose the
  // same one, whatever the order in which they come; see BundleMark.
  const bool isNewer = bundle.Generation > before ||
                       (bundle.Generation == before && signedBytes > Bytes);
  if (!isNewer)
    return BundleOffer::NotNewer;
  Current = std::make_shared<const Bundle>(std::move(bundle));
  Bytes = signedBytes;
  verifyInvariant(generation() >= before, "bundle-never-reverts",
                  "a daemon went back to an older bundle");
  return BundleOffer::Adopted;
}

} // namespace sorrelbay
