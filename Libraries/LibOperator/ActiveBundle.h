#pragma once

#include "LibDecision/PeerKnowledge.h"
#include "LibOperator/SignedBundle.h"
#include <memory>
#include <string>
#include <vector>

namespace sorrelbay {

/// What became of a bundle that was offered.
enum class BundleOffer { Adopted, NotNewer };

/// The one bundle that a daemon acts by. Whoever offers one, the object API or
/// a peer, it comes into force only if an accepted key signed it and it is
/// newer. Not thread-safe.
class ActiveBundle {
public:
  explicit ActiveBundle(std::vector<PublicKey> acceptedKeys);

  /// Takes the bytes of a signed bundle. Throws a kind of BundleRefused.
  BundleOffer offer(const std::string &signedBytes);

  /// Takes what a peer sent. Throws BundleMalformed also if the mark names
  /// another generation than the bundle's own: an old bundle would pass for a
  /// new one wherever only the mark is looked at.
  BundleOffer offer(const BundleMark &mark);

  /// Null until the first one is adopted.
  std::shared_ptr<const Bundle> current() const { return Current; }
  /// 0 until the first one is adopted.
  std::uint64_t generation() const;
  /// The bytes as they were offered; empty until the first one is adopted.
  const std::string &signedBytes() const { return Bytes; }
  /// What is sent to peers.
  BundleMark mark() const { return {generation(), Bytes}; }

private:
  BundleOffer adoptIfNewer(Bundle bundle, const std::string &signedBytes);

  std::vector<PublicKey> AcceptedKeys;
  std::shared_ptr<const Bundle> Current;
  std::string Bytes;
};

} // namespace sorrelbay
