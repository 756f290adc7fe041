#pragma once

#include "LibBase/Error.h"
#include "LibBase/Identifier.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// One accepted request, unique across all entry hosts.
using RequestId = Identifier<struct RequestTag>;

/// One try of an upstream at one answer; counts up from 1 within the answer,
/// also across a handover to another entry host. 0 means none.
using AnswerAttempt = std::uint64_t;

/// A token as it came from an upstream. The offset counts the answer's tokens
/// from 0, whichever attempt they came from.
struct ArrivedToken {
  RequestId Request;
  AnswerAttempt Attempt = 0;
  std::uint64_t Offset = 0;
  std::string Text;
};

/// The end of a stream as it came from an upstream. Without a stated length
/// the end can't be told from a connection that broke.
struct ArrivedEnd {
  RequestId Request;
  AnswerAttempt Attempt = 0;
  /// The tokens of the whole answer.
  std::optional<std::uint64_t> Length;
};

/// What became of a token.
enum class TokenVerdict {
  Taken,
  /// From an attempt that is over, or after the end of the answer.
  Late,
  /// Of another request, or from an attempt that was never begun.
  Misrouted,
  /// At an offset that was taken before.
  Duplicated,
  /// Beyond the next offset: tokens were lost, and the attempt is over.
  Gap,
};

/// What became of an end.
enum class EndVerdict {
  Whole,
  Late,
  Misrouted,
  /// The length is absent or isn't that of the tokens taken; the attempt is
  /// over and the answer is not.
  Truncated,
};

/// An event for the caller. The id is the token's offset, or for the end the
/// length of the answer, so that a Last-Event-ID says all that is needed.
struct AnswerEvent {
  std::uint64_t Id = 0;
  bool IsEnd = false;
  std::string Text;

  friend bool operator==(const AnswerEvent &a, const AnswerEvent &b) {
    return a.Id == b.Id && a.IsEnd == b.IsEnd && a.Text == b.Text;
  }
};

/// How many arrivals were not taken, by cause.
struct DroppedCount {
  std::uint64_t Late = 0;
  std::uint64_t Misrouted = 0;
  std::uint64_t Duplicated = 0;
  std::uint64_t Gaps = 0;
  std::uint64_t TruncatedEnds = 0;
};

/// A caller names an event that this answer has not had.
class UnknownEventId : public Error {
public:
  using Error::Error;
};

/// One caller's answer while it is put together from one or more attempts.
///
/// Upstreams, and whatever lies between them and us, deliver late, twice, to
/// the wrong stream or not at all; a caller would see a garbled text or another
/// caller's. So a token is taken only from the current attempt and only at the
/// next offset, and an end only with the right length. Not safe for use from
/// several threads; the owner locks.
class AnswerStream {
public:
  explicit AnswerStream(RequestId request);
  /// An answer taken over from another entry host: its tokens so far, and the
  /// last attempt that was begun there.
  AnswerStream(RequestId request, std::vector<std::string> tokens,
               AnswerAttempt lastAttempt);

  const RequestId &request() const { return Request; }
  /// Where the next attempt has to go on.
  std::uint64_t nextOffset() const { return Tokens.size(); }
  const std::vector<std::string> &tokens() const { return Tokens; }
  AnswerAttempt currentAttempt() const { return Current; }
  AnswerAttempt lastAttempt() const { return Last; }
  bool hasAttempt() const { return Current != 0; }
  bool hasEnded() const { return Ended; }
  const DroppedCount &dropped() const { return Dropped; }

  /// Begins an attempt at nextOffset(). The attempt before is over; what still
  /// comes from it is late.
  AnswerAttempt beginAttempt();
  /// The attempt's connection closed, fell silent or was refused. False if the
  /// attempt was over already.
  bool abandonAttempt(AnswerAttempt attempt);
  TokenVerdict take(const ArrivedToken &token);
  EndVerdict finish(const ArrivedEnd &end);

  /// The id of the event that nextEvent() gives next.
  std::uint64_t nextEventId() const { return NextToSend; }
  /// The next event for the caller's present connection, if there is one.
  std::optional<AnswerEvent> nextEvent();
  /// The caller came back, having seen that event last; without one, nothing.
  /// Throws UnknownEventId.
  void reconnect(std::optional<std::uint64_t> lastEventId);

private:
  std::optional<TokenVerdict> whyNotCurrent(const RequestId &request,
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
