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

/// The request that an answer belongs to. It does not change while the answer
/// is generated.
struct AnswerRequest {
  RequestId Id;
  CallContext Context;
  ModelCall Call;
  Route OnRoute;
  VersionId Version;
  Instant Arrival;
};

/// The engine at which an answer continues.
struct Redirect {
  UpstreamId To;
  /// The handle of the moved KV cache, or empty.
  std::string CacheHandle;
};

/// Why a reader of events stopped.
enum class ReaderEnd {
  /// The caller has the whole answer.
  Whole,
  /// The answer failed; failure() has the cause.
  Failed,
  /// The answer continues at a peer; handoverNotice() has its address.
  Moved,
  /// The caller's connection broke, or the caller reconnected and another
  /// reader has replaced this one.
  Disconnected,
};

/// An answer while it is generated, and for a limited time after its end.
/// Shared by the thread that reads from the engines, the callers' connections
/// and the stream recovery. All members are thread-safe; the lock is a leaf.
///
/// The answer outlives its caller's connection, which may break while the
/// caller is alive. A caller that reconnects continues after the last event
/// that it has received.
class LiveAnswer {
public:
  /// Sends an event to the caller. Returns false if its connection is closed.
  using Sink = std::function<bool(const AnswerEvent &)>;

  LiveAnswer(AnswerRequest request, AnswerStream stream);

  const AnswerRequest CallRequest;

  AnswerAttempt beginAttempt(const UpstreamId &upstream);
  /// Sets the hook that cancels the attempt's connection. Returns false if a
  /// redirect or handover came first and has to be followed instead.
  bool setCancelHook(std::function<void()> cancelConnection);
  /// Ends the attempt. To be called before the attempt's connection is
  /// destroyed.
  void endAttempt();
  TokenVerdict take(const ReceivedToken &token);
  EndVerdict finish(const ReceivedEnd &end, const std::string &reason);
  void fail(std::shared_ptr<const Problem> why);

  /// Ends the running attempt and continues the answer at the given engine.
  void redirect(Redirect to);
  bool isRedirected() const;

  /// Returns the state that a peer needs to continue the answer, or nothing if
  /// the answer has ended. From here on readers receive no event that is not in
  /// this state, while the answer continues here in case the peer fails.
  std::optional<Handover> freeze();
  void unfreeze();
  /// Ends the attempt and all reading here, since a peer continues the answer.
  /// The notice is sent to the caller.
  void setMoved(std::string notice);
  /// The notice that setMoved() was given, or empty.
  std::string handoverNotice() const;

  /// Waits for a redirect until the given time. Returns nothing if there was
  /// none.
  std::optional<Redirect> takeRedirect(Instant until);

  /// Makes a caller's connection the reader in place of the previous one and
  /// returns the reader's number. Throws UnknownEventId.
  std::uint64_t beginReading(std::optional<std::uint64_t> lastEventId);
  /// Sends the reader all available events without waiting. Returns false if
  /// its connection is closed or was replaced by another.
  bool drain(std::uint64_t reader, const Sink &sink);
  /// Sends the reader events until the end of the answer.
  ReaderEnd read(std::uint64_t reader, const Sink &sink);
  /// Records that the reader's connection broke.
  void endReading(std::uint64_t reader);
  /// The time for which the answer has had no reader; zero while it has one.
  Duration unreadFor(Instant at) const;

  std::uint64_t tokenCount() const;
  std::vector<std::string> tokens() const;
  DroppedCount dropped() const;
  /// Whether the last accepted token was the first of its attempt.
  bool isFirstOfAttempt() const;
  /// Whether the first token arrived later than the route's latency target.
  bool wasLate() const;
  std::string finishReason() const;
  std::shared_ptr<const Problem> failure() const;
  /// The time at which the answer ended, failed or was handed over.
  std::optional<Instant> endedAt() const;

private:
  std::optional<AnswerEvent> nextFor(std::uint64_t reader, bool waits,
                                     bool &isOver);

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  AnswerStream Stream;
  std::string EndReason;
  std::shared_ptr<const Problem> Failure;
  std::optional<Instant> Ended;
  std::function<void()> CancelConnection;
  std::optional<Redirect> PendingRedirect;
  UpstreamId CurrentUpstream;
  std::optional<std::uint64_t> FrozenAt;
  std::string HandoverNotice;
  std::uint64_t CurrentReader = 0;
  bool HasReader = false;
  std::uint64_t TokensOfAttempt = 0;
  bool WasLate = false;
  Instant UnreadSince;
};

} // namespace sorrelbay
