#include "LibServing/UpstreamRateLimit.h"
#include "LibServing/RendezvousRank.h"
#include <algorithm>

namespace sorrelbay {

/// The smallest rate that is used. An upstream that accepts fewer calls, or
/// none, has to get some: only their responses show that its limit has ended.
static constexpr double MinRate = 0.25;
/// Hosts that get a share beyond one for each whole call a second. More hosts
/// find more use for the upstream, but each may send one call at once.
static constexpr std::size_t ExtraSenders = 3;
/// The time over which a share may be used at once.
static constexpr Duration BurstTime = milliseconds(500);
/// The wait of a host without a share, whose caller may find another host.
static constexpr Duration NoShareWait = seconds(1);

void mergeNewest(LimitStatements &known, const LimitStatements &others) {
  for (const auto &[id, statement] : others) {
    const auto [it, isNew] = known.try_emplace(id, statement);
    if (!isNew && it->second.At < statement.At)
      it->second = statement;
  }
}

double rateLimitShare(const UpstreamId &upstream, const HostId &self,
                      const std::vector<HostId> &hosts, double perSecond,
                      std::size_t turn) {
  const auto rank = rendezvousRank(upstream, self, hosts);
  if (!rank)
    return 0;
  const double rate = std::max(perSecond, MinRate);
  const std::size_t senders = std::min<std::size_t>(
      static_cast<std::size_t>(rate) + ExtraSenders, hosts.size());
  const std::size_t first = turn * senders % hosts.size();
  const std::size_t position = (*rank + hosts.size() - first) % hosts.size();
  return position < senders ? rate / static_cast<double>(senders) : 0;
}

static double capacity(double share) {
  return std::max(1.0, share * toSeconds(BurstTime));
}

double RateShareLimiter::tokens(double share, Instant now) const {
  if (RefilledAt == Instant{})
    return capacity(share);
  return std::min(capacity(share),
                  Tokens + share * toSeconds(now - RefilledAt));
}

bool RateShareLimiter::hasCapacity(double share, Instant now) const {
  return share > 0 && tokens(share, now) >= 1;
}

Duration RateShareLimiter::wait(double share, Instant now) const {
  if (share <= 0)
    return NoShareWait;
  const double missing = std::max(0.0, 1 - tokens(share, now));
  return fromSeconds(missing / share);
}

void RateShareLimiter::note(double share, Instant now) {
  Tokens = std::max(0.0, tokens(share, now) - 1);
  RefilledAt = now;
}

} // namespace sorrelbay
