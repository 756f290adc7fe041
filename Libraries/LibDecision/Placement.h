#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/PrefixTable.h"
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

/// A daemon's view of an upstream when it places a call. The reported values
/// come from the upstream and lag behind. They are zero before the first
/// report.
struct UpstreamState {
  UpstreamId Id;
  ServiceId OfService;
  VersionId OfVersion;
  ZoneId InZone;
  /// Calls running or queued at the upstream, from all daemons.
  int ReportedOpenCalls = 0;
  /// Prompt tokens queued for prefill; 0 for desks.
  std::int64_t ReportedBacklogTokens = 0;
  Instant ReportedAt{};
  /// This daemon's own calls that are open at the upstream.
  int OwnOpenCalls = 0;
  bool IsLeaving = false;
};

/// A call to be placed.
struct PlacementRequest {
  ServiceId ForService;
  /// The version chosen for the call. Any version is allowed if empty.
  VersionId AllowedVersion;
  /// Empty if the call belongs to no conversation.
  ConversationKey Conversation;
  std::int64_t PromptTokens = 0;
  /// The zone of this daemon.
  ZoneId OwnZone;
  /// Random seed for the choice among upstreams of similar cost, such as a hash
  /// of the call id.
  std::uint64_t Seed = 0;
  /// Upstreams that this call was already sent to.
  std::vector<UpstreamId> Tried;
};

/// The result of placing a call. Has no upstream if none is eligible.
struct PlacementChoice {
  std::optional<UpstreamId> Upstream;
  /// The expected time until the first token, or until the answer of a desk.
  Duration ExpectedWait{};
  /// Prompt tokens that the upstream is expected to have cached.
  std::int64_t CachedTokens = 0;
};

struct PlacementSettings {
  /// The prefill rate of an upstream.
  double PromptTokensPerSecond = 8000;
  /// How much each open call of an upstream delays the next one.
  Duration WaitPerOpenCall = milliseconds(1);
  /// The maximum number of calls that an upstream runs concurrently; further
  /// calls are queued.
  int ConcurrentCallsPerUpstream = 64;
  /// The average time that a call runs at an upstream.
  Duration MeanCallTime = seconds(5);
  /// One-way latency to an upstream in another zone.
  Duration CrossZoneLatency = microseconds(500);
  /// Upstreams whose cost exceeds the lowest by at most this tolerance count as
  /// equal. The larger of the absolute and the relative tolerance applies.
  Duration CostTolerance = milliseconds(5);
  double CostToleranceShare = 0.1;
  /// The cost of computing a prompt token, as a multiple of its compute time.
  /// It is above 1 because the calls behind this one are delayed, too.
  double ComputeWeight = 2;
  /// The share of a prompt, 0 to 1, assumed to be cached at the conversation's
  /// home upstream, which is chosen by hash. Applies while this daemon has
  /// placed no call of the conversation.
  double AssumedCachedShare = 0.3;
  /// The maximum number of conversations whose prefixes are tracked; beyond it,
  /// the least recently used one is dropped.
  std::size_t MaxConversations = 20000;
  /// The maximum number of load changes kept per upstream; beyond it, the
  /// oldest one is dropped.
  std::size_t MaxLoadChanges = 256;
};

/// Chooses the upstream with the lowest cost for each call. The cost covers
/// queueing, prefill and the latency between zones. Not thread-safe; the daemon
/// serialises access to it.
class Placement {
public:
  explicit Placement(PlacementSettings settings = {});

  /// Chooses an upstream that is not leaving, has an allowed version and was
  /// not tried before.
  PlacementChoice choose(const std::vector<UpstreamState> &upstreams,
                         const PlacementRequest &request, Instant now) const;
  /// Records that this daemon sent the call to the upstream. Without this, all
  /// calls of a burst between two load reports would go to the upstream that
  /// was idle in the last report.
  void noteSent(const UpstreamId &upstream, const PlacementRequest &request,
                std::int64_t cachedTokens, Instant now);
  /// Records that a peer sent calls with a total of `tokens` prompt tokens to
  /// compute.
  void notePeerSent(const UpstreamId &upstream, int calls, std::int64_t tokens,
                    Instant at);
  /// Records the end of a call that this daemon sent. The conversation has
  /// `conversationTokens` tokens now.
  void noteFinished(const UpstreamId &upstream,
                    const ConversationKey &conversation,
                    std::int64_t conversationTokens, Instant now);
  /// Records that the engine evicted the prefix of the conversation.
  void noteEvicted(const UpstreamId &upstream,
                   const ConversationKey &conversation);
  /// Removes the state of an upstream that no longer exists.
  void forget(const UpstreamId &upstream);

private:
  /// A change in an upstream's load after its last report.
  struct Change {
    Instant At;
    int Calls = 0;
    std::int64_t Tokens = 0;
  };
  struct Load {
    double OpenCalls = 0;
    double BacklogTokens = 0;
  };
  struct Candidate {
    const UpstreamState *Upstream = nullptr;
    Duration Wait{};
    double Cost = 0;
    std::int64_t CachedTokens = 0;
  };

  bool isEligible(const UpstreamState &upstream,
                  const PlacementRequest &request) const;
  Load loadOf(const UpstreamState &upstream, Instant now) const;
  Candidate candidateOf(const UpstreamState &upstream,
                        const PlacementRequest &request,
                        const UpstreamState *home, Instant now) const;
  const UpstreamState *homeOf(const std::vector<UpstreamState> &upstreams,
                              const PlacementRequest &request) const;
  std::size_t pick(const std::vector<Candidate> &candidates,
                   const PlacementRequest &request) const;
  void recordChange(const UpstreamId &upstream, const Change &change);

  PlacementSettings Settings;
  PrefixTable Prefixes;
  std::unordered_map<UpstreamId, std::deque<Change>> Changes;
};

} // namespace sorrelbay
