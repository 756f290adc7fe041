#pragma once

#include "LibBase/Time.h"
#include "LibDecision/AnswerStream.h"
#include <map>
#include <optional>
#include <vector>

namespace sorrelbay {

/// The number of prompt tokens assumed to be cached on an engine.
struct CachedPrefix {
  UpstreamId At;
  std::uint64_t Tokens = 0;
};

/// An answer that is being generated on an engine.
struct OpenAnswer {
  RequestId Request;
  std::uint64_t PromptTokens = 0;
  std::uint64_t TokensSoFar = 0;
  /// Estimated length of the whole answer, in tokens.
  std::uint64_t ExpectedLength = 0;
  /// Engines that are assumed to cache a part of the prompt.
  std::vector<CachedPrefix> Cached;
};

/// Rates and limits for recovery plans.
struct RecoverySettings {
  /// Generation rate of one answer on an engine.
  double TokensPerSecond = 30;
  /// Prefill rate of an engine.
  double PrefillTokensPerSecond = 4000;
  /// Size of the KV cache per token.
  double CacheBytesPerToken = 131072;
  /// Rate of a single KV cache move, including export and import.
  double MoveBytesPerSecond = 5e8;
  /// Maximum concurrent moves out of one engine, and of all moves. 0 disables
  /// moves.
  std::uint32_t MovesPerSource = 2;
  std::uint32_t MovesTogether = 6;
  /// Maximum concurrent prefills of resumed answers per engine. More of them
  /// would slow down the answers that it already serves.
  std::uint32_t PrefillsTogether = 2;
  /// Time kept free before an engine leaves.
  Duration Margin = milliseconds(300);
  /// An answer is left to finish on a leaving engine only if this multiple of
  /// its estimated remaining time fits.
  double FinishTimeFactor = 1.25;
};

/// How an attempt failed.
enum class AttemptLoss {
  /// The connection timed out or broke. The engine may be healthy and still
  /// cache the answer, so it is tried once more.
  Connection,
  /// The engine refused, failed or sent an invalid response. It is avoided with
  /// exponential backoff.
  Upstream,
};

/// Start to export the KV cache from one engine and to import it into the
/// other. The old engine continues the answer in the meantime.
struct MoveCache {
  RequestId Request;
  UpstreamId From;
  UpstreamId To;
};

/// Start a new attempt on the engine at the next offset, then cancel the old
/// one.
struct AnswerResumption {
  RequestId Request;
  UpstreamId To;
  /// Tokens that the engine is expected to recompute.
  std::uint64_t Recomputed = 0;
};

/// The actions to take now. Answers that are not listed stay as they are.
struct RecoveryActions {
  std::vector<MoveCache> Moves;
  std::vector<AnswerResumption> Resumes;
};

/// Plans how the open answers of one entry host continue when their engines are
/// reclaimed.
///
/// The reclaim of a zone would break all its answers at once. Resuming them all
/// at that time would overload the remaining engines, which would have to
/// recompute the whole prefixes. Answers that can finish in place are therefore
/// not touched. Of the others, as many as the bandwidth allows have their
/// caches moved before the engine leaves. The remaining answers are resumed
/// from the prefix, spread over the notice period and over engines with free
/// capacity.
///
/// Events are passed in with their time, and the actions to take are returned.
/// Not thread-safe.
class RecoveryPlan {
public:
  explicit RecoveryPlan(RecoverySettings settings);

  /// Sets the measured generation rate of one answer.
  void setTokensPerSecond(double n) { Settings.TokensPerSecond = n; }
  /// Adds or updates an engine and the number of answers that this host may
  /// have open on it.
  void setUpstream(const UpstreamId &id, const ZoneId &zone,
                   std::uint32_t capacity);
  /// An answer started on an engine.
  void open(const OpenAnswer &answer, const UpstreamId &at);
  void setProgress(const RequestId &request, std::uint64_t tokensSoFar);
  /// The answer ended, or its caller cancelled it.
  void close(const RequestId &request);

  /// The engines will leave at that time. Notices may be repeated. Of several
  /// notices for one engine, the earliest time counts.
  RecoveryActions notice(Instant at, const std::vector<UpstreamId> &upstreams,
                         Instant leavesAt);
  /// The engine has terminated, with or without notice.
  RecoveryActions gone(Instant at, const UpstreamId &upstream);
  /// The import of a cache has finished. The cache covers `cachedTokens`
  /// tokens, including the prompt.
  RecoveryActions moved(Instant at, const RequestId &request,
                        std::uint64_t cachedTokens);
  RecoveryActions moveFailed(Instant at, const RequestId &request);
  /// The first token of the attempt started for an AnswerResumption has
  /// arrived.
  RecoveryActions resumed(Instant at, const RequestId &request);
  /// The answer's attempt on that engine failed. Ignored if another engine
  /// serves the answer by now.
  RecoveryActions attemptLost(Instant at, const RequestId &request,
                              const UpstreamId &upstream, AttemptLoss loss);
  /// Must be called a few times per second while isBusy().
  RecoveryActions tick(Instant at);

  /// Whether any answer is waiting, moving, resuming or on a leaving engine.
  bool isBusy() const;
  /// The number of answers that wait for free capacity.
  std::size_t waiting() const;
  /// Whether a new call may be sent to the engine. Waiting answers were
  /// accepted earlier, and a new call must not take their capacity.
  bool mayAdmit(const UpstreamId &upstream) const;
  /// The same, before an engine is chosen.
  bool mayAdmitAnywhere() const;
  /// Answers that are open on the engine or being moved to it.
  std::uint32_t load(const UpstreamId &upstream) const;
  bool isLeaving(const UpstreamId &upstream) const;

private:
  enum class Phase { Steady, Waiting, Moving, Resuming };
  struct RetryBackoff {
    Instant Until{};
    Duration BackoffDelay{};
  };
  struct Answer {
    OpenAnswer Open;
    /// The engine that serves the answer; empty if there is none.
    UpstreamId At;
    /// The engine that the cache is being moved to, where capacity is reserved.
    UpstreamId To;
    Phase CurrentPhase = Phase::Steady;
    /// A move failed; it is not tried again.
    bool HasMoveFailed = false;
    /// The engine whose connection was lost before the first token of the
    /// attempt.
    UpstreamId ConnectionLostTo;
    /// Engines that failed this answer, with the end of their backoff.
    std::map<UpstreamId, RetryBackoff> Avoided;
    Instant MoveEnds{};
  };
  struct Upstream {
    ZoneId Zone;
    std::uint32_t Capacity = 0;
    std::uint32_t Load = 0;
    std::uint32_t Prefills = 0;
    std::optional<Instant> LeavesAt;
    bool IsGone = false;
  };
  /// The times at which the slots for moves become free.
  struct MoveSlots {
    std::vector<Instant> Overall;
    std::map<UpstreamId, std::vector<Instant>> BySource;
  };
  using Candidates = std::vector<Answer *>;

  static std::uint64_t context(const Answer &answer);
  static std::uint64_t recomputedAt(const Answer &answer, const UpstreamId &id);
  std::uint64_t leastRecomputed(const Answer &answer) const;
  static bool hasCapacity(const Upstream &upstream);
  static bool avoids(Instant at, const Answer &answer, const UpstreamId &id);
  static void avoid(Instant at, Answer &answer, const UpstreamId &id);
  std::uint32_t freeCapacity() const;
  bool isZoneAtRisk(const ZoneId &zone) const;
  Instant leavesAt(const Answer &answer) const;
  Duration moveTime(const Answer &answer) const;
  bool finishesInPlace(Instant at, const Answer &answer) const;
  bool isMovable(const Answer &answer) const;
  MoveSlots moveSlots(Instant at) const;
  bool mayStay(Instant at, const Answer &answer, Duration backlog) const;

  void enter(Answer &answer, const UpstreamId &id);
  void leave(Answer &answer);
  void releaseTarget(Answer &answer);
  void endPrefill(Answer &answer);
  void requeue(Answer &answer);
  void verifyTarget(const UpstreamId &id) const;
  RecoveryActions plan(Instant at, RecoveryActions actions = {});
  void queueAtRiskAnswers(Instant at);
  Candidates waitingAnswers();
  Candidates planMoves(Instant at, std::uint32_t &reservedCapacity,
                       RecoveryActions &actions);
  void planResumptions(Instant at, const Candidates &candidates,
                       std::uint32_t reservedCapacity,
                       RecoveryActions &actions);
  const UpstreamId *moveTarget() const;
  const UpstreamId *resumptionTarget(Instant at, const Answer &answer) const;
  void startMove(Instant at, Answer &answer, const UpstreamId &to,
                 RecoveryActions &actions);
  void startResumption(Answer &answer, const UpstreamId &to,
                       std::uint64_t recomputed, RecoveryActions &actions);

  RecoverySettings Settings;
  std::map<UpstreamId, Upstream> Upstreams;
  std::map<RequestId, Answer> Answers;
};

} // namespace sorrelbay
