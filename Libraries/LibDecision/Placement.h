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

/// What a daemon knows of one upstream when it places a call. The reported
/// figures come from the upstream itself and lag; where none has come yet they
/// stay zero.
struct UpstreamState {
  UpstreamId Id;
  ServiceId OfService;
  VersionId OfVersion;
  ZoneId InZone;
  /// Calls that run or wait at the upstream, from all daemons.
  int ReportedOpenCalls = 0;
  /// Prompt tokens that wait to be computed; 0 for desks.
  std::int64_t ReportedBacklogTokens = 0;
  Instant ReportedAt{};
  /// This daemon's own calls that are open there now.
  int OwnOpenCalls = 0;
  bool IsLeaving = false;
};

/// One call to be placed.
struct PlacementRequest {
  ServiceId ForService;
  /// The version that the call's share fell to; empty allows every version.
  VersionId AllowedVersion;
  /// Empty if the call belongs to no conversation.
  ConversationKey Conversation;
  std::int64_t PromptTokens = 0;
  /// The daemon's own zone.
  ZoneId OwnZone;
  /// Decides between near-equals; a hash of the call's id will do.
  std::uint64_t Seed = 0;
  /// Upstreams that this call has already tried.
  std::vector<UpstreamId> Tried;
};

/// Where a call goes. Without an upstream there is none that may take it.
struct PlacementChoice {
  std::optional<UpstreamId> Upstream;
  /// Until the first token, or a desk's answer, is expected.
  Duration ExpectedWait{};
  /// Prompt tokens that the upstream is expected to have in its cache.
  std::int64_t CachedTokens = 0;
};

struct PlacementSettings {
  /// How fast an upstream computes a prompt.
  double PromptTokensPerSecond = 8000;
  /// What each call that is open at an upstream adds to the next one's wait.
  Duration WaitPerOpenCall = milliseconds(1);
  /// Calls that an upstream works on at once; one more waits for a place.
  int ConcurrentCallsPerUpstream = 64;
  /// How long a call holds its place.
  Duration MeanCallTime = seconds(5);
  /// One way, to an upstream in another zone.
  Duration CrossZoneLatency = microseconds(500);
  /// Upstreams within this much of the best one's cost are near-equals; the
  /// larger of the two limits counts.
  Duration CostTolerance = milliseconds(5);
  double CostToleranceShare = 0.1;
  /// What a prompt token that must be computed costs, as a multiple of its own
  /// time: it delays the calls behind this one, too.
  double ComputeWeight = 2;
  /// The share of a prompt that is assumed to be cached at the conversation's
  /// home when this daemon has seen no turn of it yet.
  double AssumedCachedShare = 0.3;
  std::size_t MaxConversations = 20000;
  /// Sends that are remembered for each upstream until a report covers them.
  std::size_t MaxRememberedSends = 256;
};

/// Chooses the upstream for each call by what it costs there: the wait, the
/// prompt tokens to compute and the distance between zones. Not thread-safe;
/// the daemon locks around it.
class Placement {
public:
  explicit Placement(PlacementSettings settings = {});

  /// The upstream for the call; never one that is leaving, is of another
  /// version or was tried before.
  PlacementChoice choose(const std::vector<UpstreamState> &upstreams,
                         const PlacementRequest &request, Instant now) const;
  /// The call was sent there by this daemon. Without this a burst between two
  /// load reports all goes to the upstream that looked idle.
  void noteSent(const UpstreamId &upstream, const PlacementRequest &request,
                std::int64_t cachedTokens, Instant now);
  /// A peer has reported that it sent calls with that many tokens to compute.
  void notePeerSent(const UpstreamId &upstream, int calls, std::int64_t tokens,
                    Instant at);
  /// A call that this daemon sent is over; its answer added that many tokens
  /// to the conversation.
  void noteFinished(const UpstreamId &upstream,
                    const ConversationKey &conversation,
                    std::int64_t conversationTokens, Instant now);
  /// The engine reported that it no longer holds the conversation's prefix.
  void noteEvicted(const UpstreamId &upstream,
                   const ConversationKey &conversation);
  /// The upstream is gone.
  void forget(const UpstreamId &upstream);

private:
  /// A change of an upstream's load that its last report can't know of yet.
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
  void remember(const UpstreamId &upstream, const Change &change);

  PlacementSettings Settings;
  PrefixTable Prefixes;
  std::unordered_map<UpstreamId, std::deque<Change>> Changes;
};

} // namespace sorrelbay
