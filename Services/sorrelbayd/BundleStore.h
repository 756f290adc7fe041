#pragma once

#include "LibOperator/ActiveBundle.h"
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sorrelbay {

/// The bundle in force, for all threads of the daemon. Lock order: OfferMutex,
/// then Mutex, which is a leaf.
class BundleStore {
public:
  explicit BundleStore(const std::vector<std::string> &operatorKeys);

  /// Takes a signed bundle as the object API holds it. Returns true if it came
  /// into force; false if one as new is in force already. Throws BundleRefused.
  bool offer(const std::string &signedBytes);
  /// The same for what a peer sent.
  bool offer(const BundleMark &mark);
  /// The bundle in force, or null before there is one.
  std::shared_ptr<const Bundle> current() const;
  /// The bundle in force as it is sent to peers.
  BundleMark mark() const;

private:
  template <typename Offered> bool take(const Offered &offered);

  /// Held while a signature is verified, which is slow; calls only need Mutex.
  mutable std::mutex OfferMutex;
  ActiveBundle InForce;
  mutable std::mutex Mutex;
  std::shared_ptr<const Bundle> Current;
};

} // namespace sorrelbay
