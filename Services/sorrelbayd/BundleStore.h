#pragma once

#include "LibOperator/ActiveBundle.h"
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sorrelbay {

/// The bundle in force, shared by all threads of the daemon. Lock order:
/// OfferMutex, then Mutex, which is a leaf.
class BundleStore {
public:
  explicit BundleStore(const std::vector<std::string> &operatorKeys);

  /// Offers a signed bundle in the form that the object API stores. Returns
  /// true if it came into force, false if a bundle of the same or a later
  /// generation is already in force. Throws BundleRefused.
  bool offer(const std::string &signedBytes);
  /// The same for a bundle that a peer sent.
  bool offer(const BundleMark &mark);
  /// The bundle in force, or null while there is none.
  std::shared_ptr<const Bundle> current() const;
  /// The bundle in force in the form that is sent to peers.
  BundleMark mark() const;

private:
  template <typename Offered> bool adoptOffer(const Offered &offered);

  /// Held during the slow verification of a signature, so that calls, which
  /// lock only Mutex, don't wait for it.
  mutable std::mutex OfferMutex;
  ActiveBundle InForce;
  mutable std::mutex Mutex;
  std::shared_ptr<const Bundle> Current;
};

} // namespace sorrelbay
