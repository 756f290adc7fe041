#pragma once

#include "LibCaller/CallContext.h"
#include "LibDecision/AnswerStream.h"
#include "LibDecision/Bundle.h"
#include "LibDecision/Handover.h"
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

class Problem;

/// What an answer is to; it doesn't change while the answer is made.
struct AnswerRequest {
  RequestId Id;
  CallContext Context;
  ModelCall Call;
  Route OnRoute;
  VersionId Version;
  Instant Arrival;
};

/// Where an answer goes on.
struct Redirect {
  UpstreamId To;
  /// The moved KV cache, or empty.
  std::string CacheHandle;
};

/// How a reader of events left off.
enum class ReaderEnd {
  /// The caller has the whole answer.
  Whole,
  /// The answer failed; failure() says why.
  Failed,
  /// The answer goes on at a peer; movedTo() says where.
  Moved,
  /// The caller's connection broke, or the caller came back on another one.
  Gone,
};

/// One answer while it is made, and for a while after it: shared by the thread
/// that reads the engines, the callers' connections and the recovery. All
/// members are thread-safe; the lock is a leaf.
///
/// The answer outlives its caller's connection, since that may break while the
/// caller lives; a caller that comes back goes on after what it has seen.
class LiveAnswer {
public:
  /// Takes an event; false if the caller's connection is gone.
  using Sink = std::function<bool(const AnswerEvent &)>;

  LiveAnswer(AnswerRequest request, AnswerStream stream);

  const AnswerRequest What;

  AnswerAttempt beginAttempt(const UpstreamId &upstream);
  /// The hook cancels the attempt's connection. False if a redirect came first,
  /// which then has to be followed instead.
  bool attach(std::function<void()> cancelConnection);
  /// The attempt's connection is about to be destroyed.
  void endAttempt();
  TokenVerdict take(const ArrivedToken &token);
  EndVerdict finish(const ArrivedEnd &end, const std::string &reason);
  void fail(std::shared_ptr<const Problem> why);

  /// Ends the running attempt; the answer goes on there.
  void redirect(Redirect to);
  bool isRedirected() const;

  /// What a peer needs to go on. From here on readers get nothing that the
  /// peer hasn't got, while the answer is made on in case the peer fails.
  /// Nothing if the answer has ended.
  std::optional<Handover> freeze();
  void unfreeze();
  /// A peer goes on: ends the attempt here and all reading. The notice is for
  /// the caller.
  void setMoved(std::string notice);
  /// The notice of setMoved(), or empty.
  std::string movedTo() const;

  /// Waits for a redirect until then; nothing if none came.
  std::optional<Redirect> takeRedirect(Instant until);

  /// A caller's connection begins to read; the one before is superseded. Throws
  /// UnknownEventId. Returns the reader's number.
  std::uint64_t beginReading(std::optional<std::uint64_t> lastEventId);
  /// Gives the reader what there is, without waiting; false if its connection
  /// is gone or superseded.
  bool drain(std::uint64_t reader, const Sink &sink);
  /// Gives the reader events until the end.
  ReaderEnd read(std::uint64_t reader, const Sink &sink);
  /// The reader's connection broke.
  void endReading(std::uint64_t reader);
  /// How long no caller has read; zero while one does.
  Duration unreadFor(Instant at) const;

  std::uint64_t tokenCount() const;
  std::vector<std::string> tokens() const;
  DroppedCount dropped() const;
  /// Whether the token taken last was the first of its attempt.
  bool isFirstOfAttempt() const;
  /// Whether the first token came after the route's latency target.
  bool wasLate() const;
  std::string finishReason() const;
  std::shared_ptr<const Problem> failure() const;
  /// When the answer ended or failed.
  std::optional<Instant> endedAt() const;

private:
  std::optional<AnswerEvent> nextFor(std::uint64_t reader, bool waits,
                                     bool &isOver);

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  AnswerStream Stream;
  std::string Reason;
  std::shared_ptr<const Problem> Failure;
  std::optional<Instant> Ended;
  std::function<void()> CancelConnection;
  std::optional<Redirect> Next;
  UpstreamId At;
  std::optional<std::uint64_t> FrozenAt;
  std::string MovedTo;
  std::uint64_t Reader = 0;
  bool IsRead = false;
  std::uint64_t TokensOfAttempt = 0;
  bool WasLate = false;
  Instant UnreadSince;
};

} // namespace sorrelbay
