#include "BundleStore.h"

namespace sorrelbay {

static std::vector<PublicKey> parseKeys(const std::vector<std::string> &texts) {
  std::vector<PublicKey> out;
  out.reserve(texts.size());
  for (const std::string &it : texts)
    out.push_back(PublicKey::parse(it));
  return out;
}

BundleStore::BundleStore(const std::vector<std::string> &operatorKeys)
    : InForce(parseKeys(operatorKeys)) {}

template <typename Offered>
bool BundleStore::adoptOffer(const Offered &offered) {
  const std::lock_guard<std::mutex> offerLock(OfferMutex);
  if (InForce.offer(offered) != BundleOfferResult::Adopted)
    return false;
  const std::lock_guard<std::mutex> lock(Mutex);
  Current = InForce.current();
  return true;
}

bool BundleStore::offer(const std::string &signedBytes) {
  return adoptOffer(signedBytes);
}

bool BundleStore::offer(const BundleMark &mark) { return adoptOffer(mark); }

std::shared_ptr<const Bundle> BundleStore::current() const {
  const std::lock_guard<std::mutex> lock(Mutex);
  return Current;
}

BundleMark BundleStore::mark() const {
  const std::lock_guard<std::mutex> offerLock(OfferMutex);
  return InForce.mark();
}

} // namespace sorrelbay
