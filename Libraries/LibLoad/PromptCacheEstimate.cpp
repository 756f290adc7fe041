#include "LibLoad/PromptCacheEstimate.h"
#include "LibBase/Hash.h"
#include <cmath>

namespace sorrelbay {

static std::uint64_t entryKey(const UpstreamId &upstream,
                              const std::string &part) {
  return stableHash(part, stableHash(upstream.text()));
}

/// The number of uses, decayed until `now`.
double PromptCacheEstimate::decayedCount(const Use &use, Instant now) const {
  const double age = toSeconds(now - use.At) / toSeconds(Settings.MaxIdleTime);
  return use.Count * std::exp(-std::max(0.0, age));
}

void PromptCacheEstimate::note(const UpstreamId &upstream,
                               const std::string &part, Instant now) {
  if (size() >= Settings.MaxCacheEntries)
    prune(now);
  Sent[entryKey(upstream, part)] = now;
  Use &use = Uses[part];
  use.Count = decayedCount(use, now) + 1;
  use.At = now;
}

double PromptCacheEstimate::likelihood(const UpstreamId &upstream,
                                       const std::string &part, double hosts,
                                       double upstreams, Instant now) const {
  const auto use = Uses.find(part);
  if (use == Uses.end())
    return 0;
  const auto sent = Sent.find(entryKey(upstream, part));
  if (sent != Sent.end() && now - sent->second <= Settings.MaxIdleTime)
    return 1;
  // Other hosts are assumed to send as many calls with the part as this one.
  const double sends = decayedCount(use->second, now) * hosts;
  return 1 - std::exp(-sends / std::max(1.0, upstreams));
}

/// Drops expired entries, and all entries if that is not enough.
void PromptCacheEstimate::prune(Instant now) {
  for (auto it = Sent.begin(); it != Sent.end();)
    it = now - it->second > Settings.MaxIdleTime ? Sent.erase(it)
                                                 : std::next(it);
  for (auto it = Uses.begin(); it != Uses.end();)
    it = now - it->second.At > Settings.MaxIdleTime ? Uses.erase(it)
                                                    : std::next(it);
  if (size() < Settings.MaxCacheEntries)
    return;
  Sent.clear();
  Uses.clear();
}

} // namespace sorrelbay
