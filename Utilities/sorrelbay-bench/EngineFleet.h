#pragma once

#include "LibLoad/EngineDemand.h"
#include "LibServing/CallTimes.h"
#include "LibServing/PromptWaitLimits.h"
#include "LibServing/ReplicaAutoscaler.h"
#include "LibServing/ReplicaTable.h"
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sorrelbay {

/// Speed and sizes of one type of engine. In each step it prefills up to one
/// chunk of prompt tokens and decodes one token for each running stream.
struct EngineProfile {
  double TokensPerMs = 140;
  double StepMs = 2.2;
  double StepMsPerStream = 0.014;
  double FirstMs = 40;
  double Chunk = 2048;
  int Slots = 48;
  std::int64_t MemoryTokens = 440000;
};

/// One class of calls. The token counts are means of log-normal distributions,
/// except for SharedTokens.
struct PromptKind {
  std::string Name;
  double PerSecond = 10;
  double OwnTokens = 1000;
  /// Tokens of the prompt prefix that all calls of one conversation share, and
  /// the number of conversations.
  std::int64_t SharedTokens = 0;
  int Conversations = 1;
  double OutputTokens = 50;
  Duration Target = milliseconds(800);
  int Priority = 0;
  /// The time that the callers have for the whole response.
  Duration CallerTime = seconds(10);
};

/// Three classes of calls with very different prompt lengths; the rate is their
/// sum, in calls per second.
std::vector<PromptKind> mixedPrompts(double perSecond);

/// From AtSeconds on, calls arrive at LoadFactor times their usual rate.
struct LoadStep {
  double AtSeconds = 0;
  double LoadFactor = 1;
};

/// The reclaim of all reclaimable engines of a zone: they end NoticeSeconds
/// after the notice at AtSeconds, and the zone provides no reclaimable engines
/// until UnavailableSeconds after the notice.
struct ZoneReclaim {
  double AtSeconds = 0;
  int Zone = 0;
  double NoticeSeconds = 2.5;
  double UnavailableSeconds = 14;
};

/// The simulated engines, load and faults, and the settings of the decisions.
struct EngineFleetPlan {
  std::uint64_t Seed = 1;
  int Hosts = 6;
  int Zones = 3;
  int EnginesPerZone = 6;
  EngineProfile Make;
  /// Whether a call occupies a slot from the start of its prefill, and waiting
  /// calls start in the order of their priority. Calls that have started are
  /// prefilled in the order of their start. Otherwise, a call occupies a slot
  /// from its first token, and all calls are prefilled in order of arrival.
  bool OrdersByPriority = false;
  std::vector<PromptKind> Kinds;
  /// Standard deviation of the logarithm of the token counts.
  double SizeSpread = 0.8;
  std::vector<LoadStep> Load;
  /// The index of the only class whose rate Load changes; empty for all.
  std::optional<std::size_t> LoadKind;
  std::vector<ZoneReclaim> ZoneReclaims;
  int Seconds = 30;
  /// Factor by which the steps of the first engine take longer.
  double FirstEngineSlowdown = 1;
  /// Whether the replica autoscaler changes the number of engines.
  bool IsScaled = false;
  ReplicaTableSettings Table;
  ReplicaAutoscalerSettings Replicas;
  /// Whether a caller whose call was refused returns once, after the wait that
  /// was expected but at most a third of its remaining time, and at any host.
  bool DoCallersReturn = false;
  /// Whether hosts refuse calls that are not expected to end in time.
  bool RefusesLateCalls = true;
  /// Factor by which hosts overestimate the times of prompts.
  double EstimateFactor = 1;
};

/// The studios of docs/design/HARD-LOAD.md: 68 hosts and 64 engines in four
/// zones, and three routes. From 10 to 17 s, long drafts arrive at `burst`
/// times their usual rate.
EngineFleetPlan studiosPlan(double burst);

/// Outcomes of the calls of one class, or of one span of time.
struct CallTally {
  int OfferedCount = 0;
  int InTime = 0;
  int Late = 0;
  int Refused = 0;
  int Failed = 0;
  /// Whole responses while their callers still waited.
  int Answered = 0;

  /// Times to the first token of the calls that had one, in milliseconds.
  std::vector<double> FirstTokenMs;

  /// The time to the first token that the share `p` of the calls stayed within.
  double firstTokenMs(double p) const;
  double inTimeShare() const {
    return OfferedCount == 0 ? 1 : static_cast<double>(InTime) / OfferedCount;
  }
  double answeredShare() const {
    return OfferedCount == 0 ? 1 : static_cast<double>(Answered) / OfferedCount;
  }
};

/// Where a call was sent, or that it was refused, and when.
struct EngineDecision {
  std::uint64_t Call = 0;
  /// Empty if the call was refused.
  UpstreamId Engine;
  Instant At{};

  friend bool operator==(const EngineDecision &a, const EngineDecision &b) {
    return a.Call == b.Call && a.Engine == b.Engine && a.At == b.At;
  }
};

struct EngineFleetResult {
  CallTally All;
  CallTally FirstTries;
  CallTally Repeats;
  /// The calls of each class whose prompt is among its largest tenth.
  std::vector<CallTally> LargestByKind;
  std::vector<EngineDecision> Decisions;
  /// Tokens that were prefilled or generated, and those of calls whose callers
  /// had left at the end.
  double TokensOfWork = 0;
  double TokensInVain = 0;
  std::vector<CallTally> ByKind;
  /// One entry for each span of 2 s; a call counts in the span in which it
  /// arrived.
  std::vector<CallTally> BySpan;
  /// The calls of each class that arrived during a LoadStep other than the
  /// usual rate, or within 1 s after it.
  std::vector<CallTally> ByKindInBurst;
  /// Mean time between two tokens of a stream, in milliseconds.
  double MeanTokenMs = 0;
  double EngineSeconds = 0;
  /// Tokens of shared prefixes that an engine prefilled because its cache did
  /// not hold them: at their first use, after an eviction, or because only
  /// other engines had cached them.
  std::int64_t RecomputedSharedTokens = 0;

  /// The number of engines that the first host reserves at the end.
  int Reserved = 0;

  double worstSpan() const;
};

/// Simulates hosts and engines. The hosts place and admit calls and order
/// replicas with the daemon's own decision code; the engines and the time are
/// simulated. Each host receives the other hosts' load every 250 ms.
class EngineFleet {
public:
  explicit EngineFleet(const EngineFleetPlan &plan);

  EngineFleetResult play();

private:
  struct Call {
    std::size_t Host = 0;
    std::size_t Kind = 0;
    std::size_t Span = 0;
    bool IsInBurst = false;
    bool IsRepeat = false;
    bool IsLarge = false;
    Instant SentAt{};
    Instant Deadline{};
    double TokensDone = 0;
    int OutputTokens = 0;
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
    /// Calls without a slot; used if the profile orders calls by priority.
    std::list<Call> Waiting;
    std::list<Call> Prefilling;
    std::list<Call> Decoding;
    /// Cached prompt parts: time of the last use, and size in tokens.
    std::map<std::string, std::pair<Instant, std::int64_t>> Cached;
    std::int64_t CachedTokens = 0;
  };
  struct Host {
    explicit Host(const ReplicaTableSettings &settings) : Table(settings) {}
    ReplicaTable Table;
    EngineDemand Demand;
    EngineDemand ShortDemand;
    CallTimes Times;
    PromptWaitLimits Waits;
  };
  struct PendingReplicaOrder {
    Instant At{};
    ReplicaOrder Order;
  };

  double currentLoadFactor(std::size_t kind) const;
  bool isInBurst() const;
  std::vector<CallTally *> talliesOf(const Call &call);
  void addEngine(int zone, bool isReclaimable);
  void publishRecord(const Engine &engine);
  void removeEngine(Engine &engine, bool isLost);
  void arrive(std::size_t kind);
  void returnCallers();
  void placeCall(Call call);
  bool canEndInTime(Host &host, const Call &call, const ReplicaChoice &choice);
  void noteTimes(Engine &engine, const Call &call, bool isWhole);
  void refuse(const Call &call, Duration returnAfter);
  void abandon(std::list<Call> &calls, Engine &engine);
  void step(Engine &engine);
  void startWaiting(Engine &engine);
  void emitFirstToken(Engine &engine, Call &call);
  double tokensUncached(Engine &engine, const Call &call);
  void finish(Engine &engine, Call &call, bool isWhole);
  void exchangePeerReports();
  void updateReserved();
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
  /// Refused calls, by the time at which their callers return.
  std::multimap<Instant, Call> Returns;
  std::uint64_t CallCount = 0;
  ReplicaAutoscaler Replicas;
  EngineFleetResult Result;
  int EnginesCreated = 0;
  double TotalTokenMs = 0;
  std::int64_t Tokens = 0;
};

} // namespace sorrelbay
