#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace sorrelbay {

struct PromptCacheEstimateSettings {
  /// A part that was not used for longer than this counts as evicted.
  Duration MaxIdleTime = seconds(10);
  /// Maximum number of entries. When it is reached, expired entries are
  /// dropped, and all entries if that is not enough.
  std::size_t MaxCacheEntries = 20000;
};

/// This host's estimate of the prompt parts that upstreams have cached: parts
/// that it sent there recently, and parts that callers use so often that each
/// upstream has prefilled them. A wrong estimate costs time but never gives a
/// wrong response. Not thread-safe.
class PromptCacheEstimate {
public:
  explicit PromptCacheEstimate(PromptCacheEstimateSettings settings = {})
      : Settings(settings) {}

  /// Records that a call with the part was sent to the upstream.
  void note(const UpstreamId &upstream, const std::string &part, Instant now);
  /// The probability in [0, 1] that the upstream has the part cached, given the
  /// number of hosts that send calls and of upstreams that receive them.
  double likelihood(const UpstreamId &upstream, const std::string &part,
                    double hosts, double upstreams, Instant now) const;
  std::size_t size() const { return Sent.size() + Uses.size(); }

private:
  struct Use {
    /// Exponentially decayed number of sends with the part.
    double Count = 0;
    Instant At{};
  };

  double decayedCount(const Use &use, Instant now) const;
  void prune(Instant now);

  PromptCacheEstimateSettings Settings;
  std::unordered_map<std::uint64_t, Instant> Sent;
  std::unordered_map<std::string, Use> Uses;
};

} // namespace sorrelbay
