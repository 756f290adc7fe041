#include "LibServing/ColdShare.h"
#include "LibServing/RendezvousRank.h"
#include <algorithm>

namespace sorrelbay {

/// One second, plus the largest difference between the network delays of two
/// calls: calls that are sent more than a second apart may still arrive within
/// one second.
static constexpr Duration Window = milliseconds(1100);

int coldRateShare(const UpstreamId &upstream, const HostId &self,
                  const std::vector<HostId> &hosts, double perSecond) {
  const auto calls = static_cast<std::size_t>(std::max(0.0, perSecond));
  if (calls == 0 || hosts.empty())
    return 0;
  const std::size_t senders = std::min(hosts.size(), calls);
  const auto rank = rendezvousRank(upstream, self, hosts);
  return rank && *rank < senders ? static_cast<int>(calls / senders) : 0;
}

bool ColdRateLimiter::hasCapacity(int share, Instant now) const {
  const auto recent =
      std::count_if(Sends.begin(), Sends.end(),
                    [&](Instant at) { return now - at < Window; });
  return recent < share;
}

bool ColdRateLimiter::isIdle(Instant now) const {
  return Sends.empty() || now - Sends.back() >= Window;
}

void ColdRateLimiter::note(Instant now) {
  while (!Sends.empty() && now - Sends.front() >= Window)
    Sends.pop_front();
  Sends.push_back(now);
}

} // namespace sorrelbay
