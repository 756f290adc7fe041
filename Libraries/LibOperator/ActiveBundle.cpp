#include "LibOperator/ActiveBundle.h"
#include "LibBase/Invariant.h"

namespace sorrelbay {

ActiveBundle::ActiveBundle(std::vector<PublicKey> acceptedKeys)
    : AcceptedKeys(std::move(acceptedKeys)) {}

std::uint64_t ActiveBundle::generation() const {
  return Current == nullptr ? 0 : Current->Generation;
}

BundleOfferResult ActiveBundle::offer(const std::string &signedBytes) {
  if (Current != nullptr && signedBytes == Bytes)
    return BundleOfferResult::NotNewer;
  return adoptIfNewer(
      verifyBundle(decodeSignedBundle(signedBytes), AcceptedKeys), signedBytes);
}

BundleOfferResult ActiveBundle::offer(const BundleMark &mark) {
  if (mark == this->mark())
    return BundleOfferResult::NotNewer;
  Bundle bundle = verifyBundle(decodeSignedBundle(mark.Signed), AcceptedKeys);
  if (bundle.Generation != mark.Generation)
    throw BundleMalformed("the mark's generation differs from the bundle's");
  return adoptIfNewer(std::move(bundle), mark.Signed);
}

BundleOfferResult ActiveBundle::adoptIfNewer(Bundle bundle,
                                             const std::string &signedBytes) {
  const std::uint64_t previous = generation();
  // Of two bundles with the same generation, all daemons must choose the same
  // one regardless of the order of arrival; see BundleMark.
  const bool isNewer = bundle.Generation > previous ||
                       (bundle.Generation == previous && signedBytes > Bytes);
  if (!isNewer)
    return BundleOfferResult::NotNewer;
  Current = std::make_shared<const Bundle>(std::move(bundle));
  Bytes = signedBytes;
  verifyInvariant(generation() >= previous, "bundle-never-reverts",
                  "a daemon adopted an older bundle");
  return BundleOfferResult::Adopted;
}

} // namespace sorrelbay
