#include "LibDecision/Placement.h"
#include "EventQueue.h"
#include "Experiment.h"
#include "LibBase/Hash.h"
#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace sorrelbay {

namespace {

/// The model service of one deployment. CallsPerSecond uses about 70% of the
/// engines' prefill capacity under least connections.
struct Deployment {
  const char *Name;
  int Replicas;
  int EntryHosts;
  Duration CrossZoneLatency;
  double CallsPerSecond;
};

const Deployment Deployments[] = {
    {"Tablón Sur", 9, 6, microseconds(500), 20},
    {"Caltagirone", 12, 7, microseconds(1500), 27},
};

constexpr int Zones = 4;
constexpr double PromptTokensPerSecond = 8000;
constexpr int CallSlots = 48;
constexpr Duration TokenGap = milliseconds(30);
/// Sizes of an engine's prompt cache, in tokens. With the small one, half of
/// all turns arrive after their prefix was evicted, whatever the policy; the
/// large one is sufficient.
const std::int64_t CacheSizes[] = {120000, 300000};
constexpr Duration ReportPeriod = seconds(1);
constexpr Duration ReportLag = milliseconds(500);
constexpr Duration PeerLag = milliseconds(100);
constexpr Duration CacheEventLag = seconds(2);
constexpr double CacheEventLost = 0.2;
constexpr Duration SimulatedSpan = minutes(10);
constexpr Duration WarmUp = minutes(2);
/// In the first ten seconds of every minute, conversations arrive at twice the
/// rate of the rest of the minute.
constexpr int BurstPeriodSeconds = 60;
constexpr int BurstSeconds = 10;
constexpr double BurstFactor = 2;

/// An open conversation. The prompt of each turn contains all previous turns.
struct OpenConversation {
  ConversationKey Key;
  int EntryHost = 0;
  Instant AddressUntil;
  std::int64_t Tokens = 0;
  /// How many of these tokens an engine has computed in an earlier turn.
  std::int64_t Computed = 0;
  int TurnsLeft = 0;
};

/// A simulated engine. It prefills prompts one after the other, caches the most
/// recently used conversations, and holds a call slot for each response that it
/// generates.
class SimulatedEngine {
public:
  explicit SimulatedEngine(std::int64_t cacheTokens)
      : CacheTokens(cacheTokens) {}

  struct Served {
    Instant FirstToken;
    Instant Finished;
    std::int64_t CachedTokens;
    std::vector<ConversationKey> Evicted;
  };

  Served serve(const OpenConversation &openConversation, int answerTokens,
               Instant now) {
    Served served;
    served.CachedTokens = std::min(openConversation.Computed,
                                   takeFromCache(openConversation.Key));
    const std::int64_t toCompute =
        openConversation.Tokens - served.CachedTokens;
    releaseFinishedSlots(now);
    Instant start = std::max(now, PrefillsDoneAt);
    if (FinishTimes.size() >= CallSlots)
      start = std::max(
          start, *std::next(FinishTimes.begin(),
                            static_cast<int>(FinishTimes.size()) - CallSlots));
    served.FirstToken = start + fromSeconds(static_cast<double>(toCompute) /
                                            PromptTokensPerSecond);
    PrefillsDoneAt = served.FirstToken;
    served.Finished = served.FirstToken + TokenGap * answerTokens;
    FinishTimes.insert(served.Finished);
    served.Evicted = putIntoCache(openConversation.Key,
                                  openConversation.Tokens + answerTokens);
    return served;
  }

  void report(UpstreamState &state, Instant now) {
    releaseFinishedSlots(now);
    const double backlog = std::max(0.0, toSeconds(PrefillsDoneAt - now));
    state.ReportedOpenCalls = static_cast<int>(FinishTimes.size());
    state.ReportedBacklogTokens =
        static_cast<std::int64_t>(backlog * PromptTokensPerSecond);
    state.ReportedAt = now;
  }

private:
  struct Cached {
    ConversationKey Key;
    std::int64_t Tokens;
  };

  void releaseFinishedSlots(Instant now) {
    FinishTimes.erase(FinishTimes.begin(), FinishTimes.upper_bound(now));
  }

  std::int64_t takeFromCache(const ConversationKey &key) {
    const auto found =
        std::find_if(Cache.begin(), Cache.end(),
                     [&](const Cached &it) { return it.Key == key; });
    if (found == Cache.end())
      return 0;
    const std::int64_t tokens = found->Tokens;
    CacheUse -= tokens;
    Cache.erase(found);
    return tokens;
  }

  std::vector<ConversationKey> putIntoCache(const ConversationKey &key,
                                            std::int64_t tokens) {
    std::vector<ConversationKey> evicted;
    Cache.push_front({key, tokens});
    CacheUse += tokens;
    while (CacheUse > CacheTokens) {
      evicted.push_back(Cache.back().Key);
      CacheUse -= Cache.back().Tokens;
      Cache.pop_back();
    }
    return evicted;
  }

  std::int64_t CacheTokens;
  Instant PrefillsDoneAt{};
  std::multiset<Instant> FinishTimes;
  std::list<Cached> Cache;
  std::int64_t CacheUse = 0;
};

/// The placement policy of one entry host. All policies receive the same
/// notifications through these hooks.
struct Chooser {
  std::function<UpstreamId(const std::vector<UpstreamState> &,
                           const PlacementRequest &, Instant)>
      Choose;
  std::function<void(const UpstreamId &, std::int64_t, Instant)> PeerSent =
      [](const UpstreamId &, std::int64_t, Instant) {};
  std::function<void(const UpstreamId &, const ConversationKey &, std::int64_t,
                     Instant)>
      Finished = [](const UpstreamId &, const ConversationKey &, std::int64_t,
                    Instant) {};
  std::function<void(const UpstreamId &, const ConversationKey &)> Evicted =
      [](const UpstreamId &, const ConversationKey &) {};
};

struct Policy {
  const char *Name;
  std::function<Chooser(const Deployment &)> Make;
  bool ReceivesPeerSends = true;
};

Chooser roundRobin(const Deployment & /*deployment*/) {
  Chooser chooser;
  const auto next = std::make_shared<std::size_t>(0);
  chooser.Choose = [next](const std::vector<UpstreamState> &upstreams,
                          const PlacementRequest &, Instant) {
    return upstreams[(*next)++ % upstreams.size()].Id;
  };
  return chooser;
}

/// The upstream with the fewest open calls of this entry host; the seed breaks
/// ties.
const UpstreamState &leastLoaded(const std::vector<UpstreamState> &upstreams,
                                 std::uint64_t seed) {
  const std::size_t offset = seed % upstreams.size();
  const UpstreamState *best = &upstreams[offset];
  for (std::size_t n = 0; n < upstreams.size(); ++n) {
    const UpstreamState &it = upstreams[(n + offset) % upstreams.size()];
    if (it.OwnOpenCalls < best->OwnOpenCalls)
      best = &it;
  }
  return *best;
}

Chooser leastConnections(const Deployment & /*deployment*/) {
  Chooser chooser;
  chooser.Choose = [](const std::vector<UpstreamState> &upstreams,
                      const PlacementRequest &request, Instant) {
    return leastLoaded(upstreams, request.Seed).Id;
  };
  return chooser;
}

/// Type-dependent assignment (TDA) as in the paper. Each conversation is
/// assigned a base upstream in round-robin order. It keeps its base while the
/// base has fewer than ActiveConnectionsLimit open calls, and is otherwise
/// reassigned to the least loaded upstream.
Chooser typeDependentAssignment(const Deployment & /*deployment*/) {
  constexpr int ActiveConnectionsLimit = 5;
  struct State {
    std::map<ConversationKey, UpstreamId> Bases;
    std::size_t Next = 0;
  };
  const auto state = std::make_shared<State>();
  Chooser chooser;
  chooser.Choose = [state](const std::vector<UpstreamState> &upstreams,
                           const PlacementRequest &request, Instant) {
    auto found = state->Bases.find(request.Conversation);
    if (found == state->Bases.end())
      found = state->Bases
                  .emplace(request.Conversation,
                           upstreams[state->Next++ % upstreams.size()].Id)
                  .first;
    const UpstreamState &least = leastLoaded(upstreams, request.Seed);
    for (const UpstreamState &it : upstreams)
      if (it.Id == found->second && it.OwnOpenCalls >= ActiveConnectionsLimit &&
          least.OwnOpenCalls < it.OwnOpenCalls)
        found->second = least.Id;
    return found->second;
  };
  return chooser;
}

/// Always the same upstream for a conversation, whatever the load. Apart from
/// evictions, no policy recomputes fewer tokens.
Chooser affinityOnly(const Deployment & /*deployment*/) {
  Chooser chooser;
  chooser.Choose = [](const std::vector<UpstreamState> &upstreams,
                      const PlacementRequest &request, Instant) {
    return upstreams[stableHash(request.Conversation.text()) % upstreams.size()]
        .Id;
  };
  return chooser;
}

Chooser byCost(const Deployment &deployment, PlacementSettings settings) {
  settings.PromptTokensPerSecond = PromptTokensPerSecond;
  settings.ConcurrentCallsPerUpstream = CallSlots;
  settings.CrossZoneLatency = deployment.CrossZoneLatency;
  const auto placement = std::make_shared<Placement>(settings);
  Chooser chooser;
  chooser.Choose = [placement](const std::vector<UpstreamState> &upstreams,
                               const PlacementRequest &request, Instant now) {
    const PlacementChoice choice = placement->choose(upstreams, request, now);
    placement->noteSent(*choice.Upstream, request, choice.CachedTokens, now);
    return *choice.Upstream;
  };
  chooser.PeerSent = [placement](const UpstreamId &upstream,
                                 std::int64_t tokens, Instant at) {
    placement->notePeerSent(upstream, 1, tokens, at);
  };
  chooser.Finished = [placement](const UpstreamId &upstream,
                                 const ConversationKey &key,
                                 std::int64_t tokens, Instant now) {
    placement->noteFinished(upstream, key, tokens, now);
  };
  chooser.Evicted = [placement](const UpstreamId &upstream,
                                const ConversationKey &key) {
    placement->noteEvicted(upstream, key);
  };
  return chooser;
}

struct Outcome {
  double RecomputedTokens = 0;
  double ComputedTokens = 0;
  double RepeatedTokens = 0;
  std::vector<double> FirstTokenMs;
};

/// One run: conversations arrive, pause between their turns, and resolve the
/// address of an entry host again once the previous one has expired.
class Run {
public:
  Run(const Deployment &deployment, std::int64_t cacheTokens,
      const Policy &policy, std::uint64_t seed)
      : ModeledDeployment(deployment),
        ReceivesPeerSends(policy.ReceivesPeerSends), Random(seed),
        Engines(static_cast<std::size_t>(deployment.Replicas),
                SimulatedEngine(cacheTokens)) {
    for (int n = 0; n < ModeledDeployment.EntryHosts; ++n)
      Hosts.push_back({policy.Make(ModeledDeployment), zoneOf(n), states()});
  }

  Outcome run() {
    startConversation();
    report();
    Queue.runUntil(Instant(SimulatedSpan));
    return Result;
  }

private:
  struct EntryHost {
    Chooser Policy;
    ZoneId Zone;
    std::vector<UpstreamState> Upstreams;
  };

  static ZoneId zoneOf(int n) { return ZoneId(std::to_string(n % Zones)); }

  std::vector<UpstreamState> states() const {
    std::vector<UpstreamState> out;
    for (int n = 0; n < ModeledDeployment.Replicas; ++n) {
      UpstreamState state;
      state.Id = UpstreamId(std::to_string(n));
      state.InZone = zoneOf(n);
      out.push_back(state);
    }
    return out;
  }

  double exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(Random);
  }

  int between(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(Random);
  }

  bool isBurst() const {
    const auto second = static_cast<int>(toSeconds(Queue.now() - Instant{}));
    return second % BurstPeriodSeconds < BurstSeconds;
  }

  void startConversation() {
    constexpr double MeanTurns = 6;
    constexpr double BurstShare = double(BurstSeconds) / BurstPeriodSeconds;
    const double base = ModeledDeployment.CallsPerSecond / MeanTurns /
                        (1 + (BurstFactor - 1) * BurstShare);
    const double rate = isBurst() ? BurstFactor * base : base;
    const auto openConversation = std::make_shared<OpenConversation>();
    openConversation->Key =
        ConversationKey(std::to_string(++ConversationsOpened));
    openConversation->Tokens = between(800, 3000);
    openConversation->TurnsLeft =
        1 + std::geometric_distribution<int>(1 / MeanTurns)(Random);
    sendTurn(openConversation);
    Queue.scheduleAt(Queue.now() + fromSeconds(exponential(1 / rate)),
                     [this] { startConversation(); });
  }

  void sendTurn(const std::shared_ptr<OpenConversation> &openConversation) {
    const Instant now = Queue.now();
    if (now >= openConversation->AddressUntil) {
      openConversation->EntryHost =
          between(0, ModeledDeployment.EntryHosts - 1);
      openConversation->AddressUntil = now + seconds(60);
    }
    EntryHost &host =
        Hosts[static_cast<std::size_t>(openConversation->EntryHost)];
    PlacementRequest request;
    request.Conversation = openConversation->Key;
    request.PromptTokens = openConversation->Tokens;
    request.OwnZone = host.Zone;
    request.Seed = Random();
    const UpstreamId chosen = host.Policy.Choose(host.Upstreams, request, now);
    serve(openConversation, host, std::stoul(chosen.text()));
  }

  void serve(const std::shared_ptr<OpenConversation> &openConversation,
             EntryHost &host, std::size_t n) {
    UpstreamState &upstream = host.Upstreams[n];
    const Duration oneWayLatency =
        upstream.InZone == host.Zone
            ? Duration{}
            : Duration(ModeledDeployment.CrossZoneLatency);
    const Instant sent = Queue.now();
    ++upstream.OwnOpenCalls;
    const int answerTokens = between(100, 400);
    SimulatedEngine::Served served =
        Engines[n].serve(*openConversation, answerTokens, sent + oneWayLatency);
    countTurn(*openConversation, served,
              served.FirstToken + oneWayLatency - sent);
    if (ReceivesPeerSends)
      publishSend(host, upstream.Id,
                  openConversation->Tokens - served.CachedTokens);
    publishEvictions(upstream.Id, served.Evicted);
    openConversation->Tokens += answerTokens;
    openConversation->Computed = openConversation->Tokens;
    Queue.scheduleAt(served.Finished + oneWayLatency, [this, openConversation,
                                                       &host, &upstream] {
      --upstream.OwnOpenCalls;
      host.Policy.Finished(upstream.Id, openConversation->Key,
                           openConversation->Tokens, Queue.now());
      openConversation->Tokens += between(50, 250);
      if (--openConversation->TurnsLeft > 0)
        Queue.scheduleAt(
            Queue.now() + fromSeconds(exponential(20)),
            [this, openConversation] { sendTurn(openConversation); });
    });
  }

  void countTurn(const OpenConversation &openConversation,
                 const SimulatedEngine::Served &served, Duration firstToken) {
    if (Queue.now() < Instant(WarmUp))
      return;
    Result.RepeatedTokens += static_cast<double>(openConversation.Computed);
    Result.RecomputedTokens +=
        static_cast<double>(openConversation.Computed - served.CachedTokens);
    Result.ComputedTokens +=
        static_cast<double>(openConversation.Tokens - served.CachedTokens);
    Result.FirstTokenMs.push_back(toSeconds(firstToken) * 1000);
  }

  void publishSend(const EntryHost &sender, const UpstreamId &upstream,
                   std::int64_t tokens) {
    const Instant sent = Queue.now();
    Queue.scheduleAt(sent + PeerLag, [this, &sender, upstream, tokens, sent] {
      for (EntryHost &it : Hosts)
        if (&it != &sender)
          it.Policy.PeerSent(upstream, tokens, sent);
    });
  }

  void publishEvictions(const UpstreamId &upstream,
                        const std::vector<ConversationKey> &evicted) {
    for (const ConversationKey &key : evicted) {
      if (std::bernoulli_distribution(CacheEventLost)(Random))
        continue;
      Queue.scheduleAt(Queue.now() + CacheEventLag, [this, upstream, key] {
        for (EntryHost &it : Hosts)
          it.Policy.Evicted(upstream, key);
      });
    }
  }

  void report() {
    for (std::size_t n = 0; n < Engines.size(); ++n) {
      UpstreamState state;
      Engines[n].report(state, Queue.now());
      Queue.scheduleAt(Queue.now() + ReportLag, [this, n, state] {
        for (EntryHost &it : Hosts) {
          it.Upstreams[n].ReportedOpenCalls = state.ReportedOpenCalls;
          it.Upstreams[n].ReportedBacklogTokens = state.ReportedBacklogTokens;
          it.Upstreams[n].ReportedAt = state.ReportedAt;
        }
      });
    }
    Queue.scheduleAt(Queue.now() + ReportPeriod, [this] { report(); });
  }

  const Deployment &ModeledDeployment;
  bool ReceivesPeerSends;
  std::mt19937_64 Random;
  EventQueue Queue;
  std::vector<SimulatedEngine> Engines;
  std::vector<EntryHost> Hosts;
  int ConversationsOpened = 0;
  Outcome Result;
};

std::vector<Policy> policies() {
  const auto product = [](const Deployment &deployment) {
    return byCost(deployment, {});
  };
  const auto reportsOnly = [](const Deployment &deployment) {
    PlacementSettings settings;
    settings.MaxLoadChanges = 0;
    return byCost(deployment, settings);
  };
  const auto noAssumedCache = [](const Deployment &deployment) {
    PlacementSettings settings;
    settings.AssumedCachedShare = 0;
    return byCost(deployment, settings);
  };
  return {{"round robin", roundRobin},
          {"least connections", leastConnections},
          {"TDA as in the paper", typeDependentAssignment},
          {"affinity only", affinityOnly},
          {"sorrelbay", product},
          {"without peers' sends", product, false},
          {"without any sends", reportsOnly, false},
          {"without a home", noAssumedCache}};
}

/// The figures of one policy for one deployment and cache size, over all seeds.
std::vector<Figure> measure(const Deployment &deployment,
                            std::int64_t cacheTokens, const Policy &policy,
                            std::uint64_t seeds) {
  const std::string cache =
      ", " + std::to_string(cacheTokens / 1000) + "k cache";
  const bool isProduct = std::string(policy.Name) == "sorrelbay";
  const auto figure = [&](const char *name, const char *unit, const char *aim) {
    return Figure{deployment.Name,     policy.Name, name + cache, unit, {},
                  isProduct ? aim : ""};
  };
  Figure share =
      figure("recomputed repeats", "%", "<= half of least connections");
  Figure tail = figure("first token p95", "ms", "<= least connections");
  Figure middle = figure("first token median", "ms", "");
  Figure use = figure("engines computing", "%", "");
  const double capacity = PromptTokensPerSecond * deployment.Replicas *
                          toSeconds(SimulatedSpan - WarmUp);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Outcome outcome = Run(deployment, cacheTokens, policy, seed).run();
    share.Values.push_back(100 * outcome.RecomputedTokens /
                           outcome.RepeatedTokens);
    tail.Values.push_back(quantile(outcome.FirstTokenMs, 0.95));
    middle.Values.push_back(median(outcome.FirstTokenMs));
    use.Values.push_back(100 * outcome.ComputedTokens / capacity);
  }
  return {share, tail, middle, use};
}

std::vector<Figure> run(const ExperimentOptions &options) {
  std::vector<Figure> figures;
  for (const Deployment &deployment : Deployments)
    for (const std::int64_t cacheTokens : CacheSizes)
      for (const Policy &policy : policies())
        for (Figure &it :
             measure(deployment, cacheTokens, policy, options.Seeds))
          figures.push_back(std::move(it));
  return figures;
}

} // namespace

Experiment placementExperiment() {
  return {"placement",
          "recomputed tokens and time to first token by placement policy", run};
}

} // namespace sorrelbay
