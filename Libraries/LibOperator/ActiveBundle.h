#pragma once

#include "LibDecision/PeerKnowledge.h"
#include "LibOperator/SignedBundle.h"
#include <memory>
#include <string>
#include <vector>

namespace sorrelbay {

/// The result of offering a bundle.
enum class BundleOfferResult { Adopted, NotNewer };

/// The bundle in force in a daemon. A bundle offered by the object API or a
/// peer comes into force only if it is signed by an accepted key and newer than
/// the current one. Not thread-safe.
class ActiveBundle {
public:
  explicit ActiveBundle(std::vector<PublicKey> acceptedKeys);

  /// Offers the bytes of a signed bundle. Throws a subclass of BundleRefused.
  BundleOfferResult offer(const std::string &signedBytes);

  /// Offers a bundle sent by a peer. Throws a subclass of BundleRefused, and
  /// BundleMalformed if the mark's generation differs from the bundle's own:
  /// where only the mark is compared, an old bundle would be taken for a new
  /// one.
  BundleOfferResult offer(const BundleMark &mark);

  /// The bundle in force; null until the first one is adopted.
  std::shared_ptr<const Bundle> current() const { return Current; }
  /// 0 until the first one is adopted.
  std::uint64_t generation() const;
  /// The bytes of the bundle as offered; empty until the first one is adopted.
  const std::string &signedBytes() const { return Bytes; }
  /// The mark to send to peers.
  BundleMark mark() const { return {generation(), Bytes}; }

private:
  BundleOfferResult adoptIfNewer(Bundle bundle, const std::string &signedBytes);

  std::vector<PublicKey> AcceptedKeys;
  std::shared_ptr<const Bundle> Current;
  std::string Bytes;
};

} // namespace sorrelbay
