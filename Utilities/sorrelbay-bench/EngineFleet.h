#pragma once

#include "LibLoad/EngineDemand.h"
#include "LibLoad/QueueWaitLimits.h"
#include "LibServing/ReplicaAutoscaler.h"
#include "LibServing/ReplicaTable.h"
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sorrelbay {

/// How fast one make of engine is. It reads prompts in chunks between the steps
/// in which each running stream gets a token.
struct EngineMake {
  double TokensPerMs = 140;
  double StepMs = 2.2;
  double StepMsPerStream = 0.014;
  double FirstMs = 40;
  double Chunk = 2048;
  int Slots = 48;
  std::int64_t MemoryTokens = 440000;
};

/// One kind of call. Sizes are means; they are drawn with a long tail.
struct PromptKind {
  std::string Name;
  double PerSecond = 10;
  double OwnTokens = 1000;
  /// What the calls of one conversation share, and how many there are.
  std::int64_t SharedTokens = 0;
  int Conversations = 1;
  double OutputTokens = 50;
  Duration Target = milliseconds(800);
  int Priority = 0;
};

/// Three kinds of call with very different prompts, so many a second in all.
std::vector<PromptKind> mixedPrompts(double perSecond);

/// From then on so many times the usual calls come.
struct LoadStep {
  double AtSeconds = 0;
  double LoadFactor = 1;
};

/// A zone loses its reclaimable engines, after a notice, and gives none for a
/// while.
struct ZoneLoss {
  double AtSeconds = 0;
  int Zone = 0;
  double NoticeSeconds = 2.5;
  double UnavailableSeconds = 14;
};

/// What is played, and by which policy.
struct EngineFleetPlan {
  std::uint64_t Seed = 1;
  int Hosts = 6;
  int Zones = 3;
  int EnginesPerZone = 6;
  EngineMake Make;
  std::vector<PromptKind> Kinds;
  std::vector<LoadStep> Load;
  std::vector<ZoneLoss> Losses;
  int Seconds = 30;
  /// The first engine is so many times slower than the others.
  double FirstIsSlower = 1;
  /// The replica plan orders engines; otherwise their number stays.
  bool IsScaled = false;
  ReplicaTableSettings Table;
  ReplicaAutoscalerSettings Replicas;
  /// Zero lets all calls in.
  double QueueWaitShare = 0.45;
};

/// What became of the calls of one kind, or of one span of time.
struct CallTally {
  int OfferedCount = 0;
  int InTime = 0;
  int Late = 0;
  int Refused = 0;
  int Failed = 0;

  double inTimeShare() const {
    return OfferedCount == 0 ? 1 : static_cast<double>(InTime) / OfferedCount;
  }
};

struct EngineFleetResult {
  CallTally All;
  std::vector<CallTally> ByKind;
  /// By span of two seconds, by when calls arrived.
  std::vector<CallTally> BySpan;
  /// Of calls that came to their end, from the first token to the last.
  double MeanTokenMs = 0;
  double EngineSeconds = 0;
  /// Shared prompt tokens that were read though the engine had them no longer,
  /// or another one had.
  std::int64_t RecomputedSharedTokens = 0;

  double worstSpan() const;
};

/// Hosts that place, let in and order by the daemon's own decisions, before
/// engines that are played, in simulated time. Hosts hear of each other's work
/// four times a second.
class EngineFleet {
public:
  explicit EngineFleet(const EngineFleetPlan &plan);

  EngineFleetResult play();

private:
  struct Call {
    std::size_t Host = 0;
    std::size_t Kind = 0;
    std::size_t Span = 0;
    Instant SentAt{};
    std::vector<PromptPart> Prompt;
    std::int64_t Tokens = 0;
    CallCost Work;
    ReplicaChoice Choice;
    double PromptTokensLeft = -1;
    int OutputTokensLeft = 0;
    Instant FirstAt{};
  };
  struct Engine {
    UpstreamId Id;
    int Zone = 0;
    bool IsReclaimable = true;
    bool IsLeaving = false;
    double SlowdownFactor = 1;
    Instant StepEnds{};
    std::list<Call> Prefilling;
    std::list<Call> Decoding;
    /// Parts by when they were last used.
    std::map<std::string, std::pair<Instant, std::int64_t>> Cached;
    std::int64_t CachedTokens = 0;
  };
  struct Host {
    explicit Host(const ReplicaTableSettings &settings) : Table(settings) {}
    ReplicaTable Table;
    EngineDemand Demand;
  };
  struct PendingReplicaOrder {
    Instant At{};
    ReplicaOrder Order;
  };

  double currentLoadFactor() const;
  void addEngine(int zone, bool isReclaimable);
  void publishRecord(const Engine &engine);
  void removeEngine(Engine &engine, bool isLost);
  void placeCall(std::size_t kind);
  void step(Engine &engine);
  void emitFirstToken(Engine &engine, Call &call);
  double tokensUncached(Engine &engine, const Call &call);
  void finish(Engine &engine, Call &call, bool isWhole);
  void exchangePeerReports();
  void scale();
  void setCount(const ReplicaOrder &order);
  bool lacksReclaimableHosts(int zone) const;
  void reclaimZones();

  EngineFleetPlan Plan;
  Instant Now{seconds(1000)};
  Instant Start{Now};
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::list<Engine> Engines;
  std::deque<PendingReplicaOrder> Orders;
  ReplicaAutoscaler Replicas;
  QueueWaitLimits Limits;
  EngineFleetResult Result;
  int EnginesCreated = 0;
  double TotalTokenMs = 0;
  std::int64_t Tokens = 0;
};

} // namespace sorrelbay
