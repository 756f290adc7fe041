#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace sorrelbay {

struct PromptCacheEstimateSettings {
  /// A part that wasn't used for so long may have yielded to others.
  Duration Kept = seconds(10);
  /// Parts and places that are remembered at the most.
  std::size_t MostEntries = 20000;
};

/// What this host believes of the prompt parts that upstreams have cached: it
/// sent them there lately, or callers use the part so much that each upstream
/// has read it. A wrong belief costs time, never a wrong answer. Not
/// thread-safe.
class PromptCacheEstimate {
public:
  explicit PromptCacheEstimate(PromptCacheEstimateSettings settings = {})
      : Settings(settings) {}

  /// A call with that part was sent to the upstream.
  void note(const UpstreamId &upstream, const std::string &part, Instant now);
  /// How likely the upstream has it, in [0, 1], where this host is one of so
  /// many that send calls and the upstream one of so many that get them.
  double likelihood(const UpstreamId &upstream, const std::string &part,
                    double hosts, double upstreams, Instant now) const;
  std::size_t size() const { return Sent.size() + Uses.size(); }

private:
  struct Use {
    /// Sends with the part, older ones counting less.
    double Count = 0;
    Instant At{};
  };

  double fresh(const Use &use, Instant now) const;
  void prune(Instant now);

  PromptCacheEstimateSettings Settings;
  std::unordered_map<std::uint64_t, Instant> Sent;
  std::unordered_map<std::string, Use> Uses;
};

} // namespace sorrelbay
