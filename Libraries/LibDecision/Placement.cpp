#include "LibDecision/Placement.h"
#include "LibBase/Hash.h"
#include "LibBase/Invariant.h"
#include <algorithm>
#include <limits>

namespace sorrelbay {

namespace {

/// Spreads a seed over 64 bits (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t n) {
  n += 0x9e3779b97f4a7c15ULL;
  n = (n ^ (n >> 30)) * 0xbf58476d1ce4e5b9ULL;
  n = (n ^ (n >> 27)) * 0x94d049bb133111ebULL;
  return n ^ (n >> 31);
}

bool contains(const std::vector<UpstreamId> &ids, const UpstreamId &id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

Placement::Placement(PlacementSettings settings)
    : Settings(settings), Prefixes(settings.MaxConversations) {}

bool Placement::isEligible(const UpstreamState &upstream,
                           const PlacementRequest &request) const {
  return !upstream.IsLeaving && upstream.OfService == request.ForService &&
         (request.AllowedVersion.empty() ||
          upstream.OfVersion == request.AllowedVersion) &&
         !contains(request.Tried, upstream.Id);
}

// A fluid queue model: the reported backlog drains at the engine's rate from
// the time of the report on, and each later call adds to it.
Placement::Load Placement::loadOf(const UpstreamState &upstream,
                                  Instant now) const {
  Load load{static_cast<double>(upstream.ReportedOpenCalls),
            static_cast<double>(upstream.ReportedBacklogTokens)};
  Instant asOf = upstream.ReportedAt;
  const auto drainTo = [&](Instant at) {
    const double drained =
        toSeconds(at - asOf) * Settings.PromptTokensPerSecond;
    load.BacklogTokens = std::max(0.0, load.BacklogTokens - drained);
    asOf = at;
  };
  const auto found = Changes.find(upstream.Id);
  if (found != Changes.end()) {
    for (const Change &it : found->second) {
      if (it.At <= upstream.ReportedAt)
        continue;
      if (it.At > asOf)
        drainTo(it.At);
      load.OpenCalls += it.Calls;
      load.BacklogTokens += static_cast<double>(it.Tokens);
    }
  }
  if (now > asOf)
    drainTo(now);
  load.OpenCalls =
      std::max(load.OpenCalls, static_cast<double>(upstream.OwnOpenCalls));
  return load;
}

Placement::Candidate Placement::candidateOf(const UpstreamState &upstream,
                                            const PlacementRequest &request,
                                            const UpstreamState *home,
                                            Instant now) const {
  const Load load = loadOf(upstream, now);
  const std::int64_t cached =
      std::min(request.PromptTokens,
               Prefixes.cachedTokensAt(upstream.Id, request.Conversation));
  const double rate = Settings.PromptTokensPerSecond;
  const double compute =
      static_cast<double>(request.PromptTokens - cached) / rate;
  double wait = load.BacklogTokens / rate + compute +
                load.OpenCalls * toSeconds(Settings.WaitPerOpenCall);
  const double excessCalls =
      load.OpenCalls + 1 - Settings.ConcurrentCallsPerUpstream;
  if (excessCalls > 0)
    wait += excessCalls * toSeconds(Settings.MeanCallTime) /
            Settings.ConcurrentCallsPerUpstream;
  if (upstream.InZone != request.OwnZone)
    wait += 2 * toSeconds(Settings.CrossZoneLatency);
  wait = std::max(0.0, wait);
  double cost = wait + (Settings.ComputeWeight - 1) * compute;
  if (&upstream == home)
    cost -= Settings.ComputeWeight * Settings.AssumedCachedShare * compute;
  return {&upstream, fromSeconds(wait), cost, cached};
}

// Rendezvous hashing: daemons without an entry for a conversation choose the
// same home without communication, and only the conversations of a leaving
// upstream get a new home.
const UpstreamState *
Placement::homeOf(const std::vector<UpstreamState> &upstreams,
                  const PlacementRequest &request) const {
  if (request.Conversation.empty() || Prefixes.holderOf(request.Conversation))
    return nullptr;
  const std::uint64_t key = stableHash(request.Conversation.text());
  const UpstreamState *home = nullptr;
  std::uint64_t best = 0;
  for (const UpstreamState &it : upstreams) {
    const std::uint64_t score = stableHash(it.Id.text(), key);
    if (!isEligible(it, request) || (home != nullptr && score < best))
      continue;
    home = &it;
    best = score;
  }
  return home;
}

std::size_t Placement::pick(const std::vector<Candidate> &candidates,
                            const PlacementRequest &request) const {
  double best = std::numeric_limits<double>::max();
  for (const Candidate &it : candidates)
    best = std::min(best, it.Cost);
  const double limit =
      best + std::max(toSeconds(Settings.CostTolerance),
                      std::abs(best) * Settings.CostToleranceShare);
  std::vector<std::size_t> near;
  for (std::size_t n = 0; n < candidates.size(); ++n)
    if (candidates[n].Cost <= limit)
      near.push_back(n);
  // No cost can be compared.
  if (near.empty())
    return 0;
  const std::uint64_t random = mix(request.Seed);
  const std::size_t first = near[random % near.size()];
  const std::size_t second = near[(random >> 32) % near.size()];
  return candidates[second].Cost < candidates[first].Cost ? second : first;
}

PlacementChoice Placement::choose(const std::vector<UpstreamState> &upstreams,
                                  const PlacementRequest &request,
                                  Instant now) const {
  const UpstreamState *home = homeOf(upstreams, request);
  std::vector<Candidate> candidates;
  for (const UpstreamState &it : upstreams)
    if (isEligible(it, request))
      candidates.push_back(candidateOf(it, request, home, now));
  if (candidates.empty())
    return {};
  const Candidate &chosen = candidates[pick(candidates, request)];
  verifyInvariant(!chosen.Upstream->IsLeaving,
                  "a leaving upstream gets no new work",
                  "a leaving upstream was chosen");
  return {chosen.Upstream->Id, chosen.Wait, chosen.CachedTokens};
}

void Placement::recordChange(const UpstreamId &upstream, const Change &change) {
  std::deque<Change> &changes = Changes[upstream];
  const auto later = std::upper_bound(
      changes.begin(), changes.end(), change,
      [](const Change &a, const Change &b) { return a.At < b.At; });
  changes.insert(later, change);
  if (changes.size() > Settings.MaxLoadChanges)
    changes.pop_front();
}

void Placement::noteSent(const UpstreamId &upstream,
                         const PlacementRequest &request,
                         std::int64_t cachedTokens, Instant now) {
  recordChange(upstream, {now, 1, request.PromptTokens - cachedTokens});
  Prefixes.note(upstream, request.Conversation, request.PromptTokens);
}

void Placement::notePeerSent(const UpstreamId &upstream, int calls,
                             std::int64_t tokens, Instant at) {
  recordChange(upstream, {at, calls, tokens});
}

void Placement::noteFinished(const UpstreamId &upstream,
                             const ConversationKey &conversation,
                             std::int64_t conversationTokens, Instant now) {
  recordChange(upstream, {now, -1, 0});
  Prefixes.note(upstream, conversation, conversationTokens);
}

void Placement::noteEvicted(const UpstreamId &upstream,
                            const ConversationKey &conversation) {
  Prefixes.noteEvicted(upstream, conversation);
}

void Placement::forget(const UpstreamId &upstream) {
  Prefixes.forget(upstream);
  Changes.erase(upstream);
}

} // namespace sorrelbay
