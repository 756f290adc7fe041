#include "LibLoad/PromptCacheEstimate.h"
#include "LibBase/Hash.h"
#include <cmath>

namespace sorrelbay {

static std::uint64_t placeOf(const UpstreamId &upstream,
                             const std::string &part) {
  return stableHash(part, stableHash(upstream.text()));
}

/// The uses of the last while, about.
double PromptCacheEstimate::fresh(const Use &use, Instant now) const {
  const double age = toSeconds(now - use.At) / toSeconds(Settings.Kept);
  return use.Count * std::exp(-std::max(0.0, age));
}

void PromptCacheEstimate::note(const UpstreamId &upstream,
                               const std::string &part, Instant now) {
  if (size() >= Settings.MostEntries)
    prune(now);
  Sent[placeOf(upstream, part)] = now;
  Use &use = Uses[part];
  use.Count = fresh(use, now) + 1;
  use.At = now;
}

double PromptCacheEstimate::likelihood(const UpstreamId &upstream,
                                       const std::string &part, double hosts,
                                       double upstreams, Instant now) const {
  const auto use = Uses.find(part);
  if (use == Uses.end())
    return 0;
  const auto sent = Sent.find(placeOf(upstream, part));
  if (sent != Sent.end() && now - sent->second <= Settings.Kept)
    return 1;
  // Other hosts see as many calls with the part as this one.
  const double sends = fresh(use->second, now) * hosts;
  return 1 - std::exp(-sends / std::max(1.0, upstreams));
}

/// Drops what is old; all of it if everything is new.
void PromptCacheEstimate::prune(Instant now) {
  for (auto it = Sent.begin(); it != Sent.end();)
    it = now - it->second > Settings.Kept ? Sent.erase(it) : std::next(it);
  for (auto it = Uses.begin(); it != Uses.end();)
    it = now - it->second.At > Settings.Kept ? Uses.erase(it) : std::next(it);
  if (size() < Settings.MostEntries)
    return;
  Sent.clear();
  Uses.clear();
}

} // namespace sorrelbay
