#include "LibDecision/PeerFreshness.h"
#include <algorithm>
#include <functional>
#include <vector>

namespace sorrelbay {

void PeerFreshness::answered(const HostId &peer, Instant askedAt) {
  Instant &known = Answers[peer];
  known = std::max(known, askedAt);
}

void PeerFreshness::forget(const HostId &peer) { Answers.erase(peer); }

Instant PeerFreshness::knownUntil(std::size_t peers) const {
  const std::size_t wanted = peers / 2 + 1;
  if (Answers.size() < wanted)
    return {};
  std::vector<Instant> times;
  times.reserve(Answers.size());
  for (const auto &it : Answers)
    times.push_back(it.second);
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[wanted - 1];
}

} // namespace sorrelbay
