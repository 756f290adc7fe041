#pragma once

#include "LibBase/Time.h"
#include "LibDecision/AnswerStream.h"
#include <map>
#include <optional>
#include <vector>

namespace sorrelbay {

/// How much of a prompt an engine is believed to hold in its cache.
struct CachedPrefix {
  UpstreamId At;
  std::uint64_t Tokens = 0;
};

/// An answer that is open on an engine.
struct OpenAnswer {
  RequestId Request;
  std::uint64_t PromptTokens = 0;
  std::uint64_t TokensSoFar = 0;
  /// Estimated length of the whole answer.
  std::uint64_t ExpectedLength = 0;
  /// Engines that are believed to hold a part of the prompt in their caches.
  std::vector<CachedPrefix> Cached;
};

/// The rates and bounds that plans are made with.
struct RecoverySettings {
  /// A stream's own pace on an engine.
  double TokensPerSecond = 30;
  /// How fast an engine computes a prefix.
  double PrefillTokensPerSecond = 4000;
  /// Size of the KV cache of one token.
  double CacheBytesPerToken = 131072;
  /// The rate of one move of a cache, export and import together.
  double MoveBytesPerSecond = 5e8;
  /// Moves out of one engine, and all moves, at the same time; 0 for none.
  std::uint32_t MovesPerSource = 2;
  std::uint32_t MovesTogether = 6;
  /// Answers whose prefix one engine computes at the same time; more of them
  /// would hold up the answers that it serves already.
  std::uint32_t PrefillsTogether = 2;
  /// Kept free before an engine's end.
  Duration Margin = milliseconds(300);
  /// An answer is left to finish in place only if this many times its estimated
  /// remainder fits.
  double FinishTimeFactor = 1.25;
};

/// What is known of an attempt that was lost.
enum class AttemptLoss {
  /// Its connection fell silent or broke. The engine may be well and still hold
  /// the answer in its cache, so it is asked once more.
  Connection,
  /// The engine refused, failed or sent what can't be right. It is not asked
  /// again for a while, which doubles each time.
  Upstream,
};

/// Begin an export from one engine and its import into the other. The answer
/// goes on at its old engine meanwhile.
struct MoveCache {
  RequestId Request;
  UpstreamId From;
  UpstreamId To;
};

/// Begin a new attempt there at the next offset, then cancel the old one.
struct AnswerResumption {
  RequestId Request;
  UpstreamId To;
  /// Tokens that the engine is expected to compute again.
  std::uint64_t Recomputed = 0;
};

/// What the owner has to do now. What isn't named stays as it is.
struct RecoveryActions {
  std::vector<MoveCache> Moves;
  std::vector<AnswerResumption> Resumes;
};

/// Plans how the open answers of one entry host survive the reclaim of engines.
///
/// Left to itself, a zone's reclaim breaks all its answers at once; resumed at
/// once they swamp the engines that are left, and each prefix is computed
/// again. So answers that can finish in place are left, the caches of as many
/// others as the path carries are moved before the end, and the rest is resumed
/// by prefix, spread over the notice and over engines with room.
///
/// Events go in with a time, actions come out. Not safe for use from several
/// threads.
class RecoveryPlan {
public:
  explicit RecoveryPlan(RecoverySettings settings);

  /// A stream's pace as measured.
  void setTokensPerSecond(double n) { Settings.TokensPerSecond = n; }
  /// An engine and how many answers this host may have open on it; again when
  /// that changes.
  void setUpstream(const UpstreamId &id, const ZoneId &zone,
                   std::uint32_t capacity);
  /// An answer began on an engine.
  void open(const OpenAnswer &answer, const UpstreamId &at);
  void setProgress(const RequestId &request, std::uint64_t tokensSoFar);
  /// The answer ended or its caller gave it up.
  void close(const RequestId &request);

  /// The engines will be gone at that time. Repeated or earlier notices are
  /// fine; a later time for the same engine is ignored.
  RecoveryActions notice(Instant at, const std::vector<UpstreamId> &upstreams,
                         Instant leavesAt);
  /// The engine is gone, announced or not.
  RecoveryActions gone(Instant at, const UpstreamId &upstream);
  /// An import is finished; the cache covers that many tokens, prompt included.
  RecoveryActions moved(Instant at, const RequestId &request,
                        std::uint64_t cachedTokens);
  RecoveryActions moveFailed(Instant at, const RequestId &request);
  /// The first token of the attempt that a AnswerResumption asked for has come.
  RecoveryActions resumed(Instant at, const RequestId &request);
  /// The answer's attempt at that engine failed. Ignored if the answer has been
  /// sent elsewhere meanwhile.
  RecoveryActions attemptLost(Instant at, const RequestId &request,
                              const UpstreamId &upstream, AttemptLoss loss);
  /// Called a few times a second while isBusy().
  RecoveryActions tick(Instant at);

  /// Whether an answer waits, moves or sits on an engine that leaves.
  bool isBusy() const;
  /// Answers that wait for room.
  std::size_t waiting() const;
  /// Whether a new call may go there. Answers that wait have been accepted
  /// before it, and a place that it took would keep them waiting.
  bool mayAdmit(const UpstreamId &upstream) const;
  /// The same, where the engine isn't chosen yet.
  bool mayAdmitAnywhere() const;
  /// Answers open or promised on the engine.
  std::uint32_t load(const UpstreamId &upstream) const;
  bool isLeaving(const UpstreamId &upstream) const;

private:
  enum class Phase { Steady, Waiting, Moving, Resuming };
  struct RetryBackoff {
    Instant Until{};
    Duration Pause{};
  };
  struct Answer {
    OpenAnswer Open;
    /// Where it is being answered; empty if nowhere.
    UpstreamId At;
    /// Where its cache is being moved; holds a place there.
    UpstreamId To;
    Phase In = Phase::Steady;
    /// A move failed and is not tried a second time.
    bool HasMoveFailed = false;
    /// Where an attempt's connection was lost before its first token.
    UpstreamId LostAt;
    /// Engines that failed this answer, until they are tried again.
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
  /// When the slots for moves become free.
  struct MoveSlots {
    std::vector<Instant> Together;
    std::map<UpstreamId, std::vector<Instant>> BySource;
  };
  using Candidates = std::vector<Answer *>;

  static std::uint64_t context(const Answer &answer);
  static std::uint64_t recomputedAt(const Answer &answer, const UpstreamId &id);
  std::uint64_t leastRecomputed(const Answer &answer) const;
  static bool hasRoom(const Upstream &upstream);
  static bool avoids(Instant at, const Answer &answer, const UpstreamId &id);
  static void avoid(Instant at, Answer &answer, const UpstreamId &id);
  std::uint32_t totalRoom() const;
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
  void reconsider(Instant at);
  Candidates waitingAnswers();
  Candidates planMoves(Instant at, std::uint32_t &promisedRoom,
                       RecoveryActions &actions);
  void planResumes(Instant at, const Candidates &candidates,
                   std::uint32_t promisedRoom, RecoveryActions &actions);
  const UpstreamId *targetOfMove() const;
  const UpstreamId *targetOfResume(Instant at, const Answer &answer) const;
  void startMove(Instant at, Answer &answer, const UpstreamId &to,
                 RecoveryActions &actions);
  void startResume(Answer &answer, const UpstreamId &to,
                   std::uint64_t recomputed, RecoveryActions &actions);

  RecoverySettings Settings;
  std::map<UpstreamId, Upstream> Upstreams;
  std::map<RequestId, Answer> Answers;
};

} // namespace sorrelbay
