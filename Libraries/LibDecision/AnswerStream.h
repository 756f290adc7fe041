#pragma once

#include "LibBase/Error.h"
#include "LibBase/Identifier.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// Identifies one accepted request, unique across all entry hosts.
using RequestId = Identifier<struct RequestTag>;

/// Number of one attempt at an answer by an upstream. Counts up from 1 within
/// the answer, also across a handover to another entry host. 0 means none.
using AnswerAttempt = std::uint64_t;

/// A token received from an upstream. The offset is the token's index in the
/// whole answer, counted from 0 across all attempts.
struct ReceivedToken {
  RequestId Request;
  AnswerAttempt Attempt = 0;
  std::uint64_t Offset = 0;
  std::string Text;
};

/// The end of a stream received from an upstream. Without a stated length it
/// cannot be distinguished from a broken connection.
struct ReceivedEnd {
  RequestId Request;
  AnswerAttempt Attempt = 0;
  /// Number of tokens of the whole answer.
  std::optional<std::uint64_t> Length;
};

/// The result of receiving a token.
enum class TokenVerdict {
  Taken,
  /// From an attempt that is over, or received after the end of the answer.
  Late,
  /// Belongs to another request, or to an attempt that was never started.
  Misrouted,
  /// The offset was received before.
  Duplicated,
  /// The offset is beyond the next one: tokens were lost, and the attempt is
  /// over.
  Gap,
};

/// The result of receiving an end.
enum class EndVerdict {
  Whole,
  Late,
  Misrouted,
  /// The length is missing or differs from the number of tokens received. The
  /// attempt is over, the answer is not complete.
  Truncated,
};

/// A server-sent event for the caller. The id is the token's offset or, for the
/// end, the length of the answer, so that Last-Event-ID alone is enough to
/// resume.
struct AnswerEvent {
  std::uint64_t Id = 0;
  bool IsEnd = false;
  std::string Text;

  friend bool operator==(const AnswerEvent &a, const AnswerEvent &b) {
    return a.Id == b.Id && a.IsEnd == b.IsEnd && a.Text == b.Text;
  }
};

/// Number of tokens and ends that were dropped, by cause.
struct DroppedCount {
  std::uint64_t Late = 0;
  std::uint64_t Misrouted = 0;
  std::uint64_t Duplicated = 0;
  std::uint64_t Gaps = 0;
  std::uint64_t TruncatedEnds = 0;
};

/// The caller named an event id that this answer has not sent.
class UnknownEventId : public Error {
public:
  using Error::Error;
};

/// Assembles one caller's answer from one or more attempts.
///
/// Upstreams and the network deliver tokens late, twice, to the wrong stream or
/// not at all, which would garble the caller's text or mix in another caller's.
/// A token is therefore accepted only from the current attempt and only at the
/// next offset, and an end only with the right length. Not thread-safe; the
/// owner must lock.
class AnswerStream {
public:
  explicit AnswerStream(RequestId request);
  /// Resumes an answer from another entry host, with its tokens so far and the
  /// last attempt started there.
  AnswerStream(RequestId request, std::vector<std::string> tokens,
               AnswerAttempt lastAttempt);

  const RequestId &request() const { return Request; }
  /// The offset at which the next attempt must start.
  std::uint64_t nextOffset() const { return Tokens.size(); }
  const std::vector<std::string> &tokens() const { return Tokens; }
  AnswerAttempt currentAttempt() const { return Current; }
  AnswerAttempt lastAttempt() const { return Last; }
  bool hasAttempt() const { return Current != 0; }
  bool hasEnded() const { return Ended; }
  const DroppedCount &dropped() const { return Dropped; }

  /// Starts an attempt at nextOffset() and ends the previous one, whose later
  /// tokens are dropped as late.
  AnswerAttempt beginAttempt();
  /// Ends an attempt whose connection closed, timed out or was refused. Returns
  /// false if the attempt was over already.
  bool abandonAttempt(AnswerAttempt attempt);
  TokenVerdict take(const ReceivedToken &token);
  EndVerdict finish(const ReceivedEnd &end);

  /// The id of the event that nextEvent() returns next.
  std::uint64_t nextEventId() const { return NextToSend; }
  /// The next event for the caller's current connection, or nothing if there is
  /// none.
  std::optional<AnswerEvent> nextEvent();
  /// Resumes after the last event that the caller received, or from the
  /// beginning if it received none. Throws UnknownEventId.
  void reconnect(std::optional<std::uint64_t> lastEventId);

private:
  std::optional<TokenVerdict> rejectUnlessCurrent(const RequestId &request,
                                                  AnswerAttempt attempt);

  RequestId Request;
  std::vector<std::string> Tokens;
  AnswerAttempt Last = 0;
  AnswerAttempt Current = 0;
  bool Ended = false;
  std::uint64_t NextToSend = 0;
  DroppedCount Dropped;
};

} // namespace sorrelbay
