#include "LibDecision/AnswerStream.h"
#include "LibBase/Invariant.h"
#include <utility>

namespace sorrelbay {

AnswerStream::AnswerStream(RequestId request) : Request(std::move(request)) {}

AnswerStream::AnswerStream(RequestId request, std::vector<std::string> tokens,
                           AnswerAttempt lastAttempt)
    : Request(std::move(request)), Tokens(std::move(tokens)),
      Last(lastAttempt) {}

AnswerAttempt AnswerStream::beginAttempt() {
  verifyInvariant(!Ended, "answer-ends-once",
                  "an attempt was started after the end");
  Current = ++Last;
  return Current;
}

bool AnswerStream::abandonAttempt(AnswerAttempt attempt) {
  if (attempt == 0 || attempt != Current)
    return false;
  Current = 0;
  return true;
}

/// Returns why a token or an end doesn't belong to the current attempt and
/// counts it; nothing if it does.
std::optional<TokenVerdict>
AnswerStream::rejectUnlessCurrent(const RequestId &request,
                                  AnswerAttempt attempt) {
  if (request != Request || attempt == 0 || attempt > Last) {
    ++Dropped.Misrouted;
    return TokenVerdict::Misrouted;
  }
  if (Ended || attempt != Current) {
    ++Dropped.Late;
    return TokenVerdict::Late;
  }
  return std::nullopt;
}

TokenVerdict AnswerStream::take(const ReceivedToken &token) {
  if (auto rejection = rejectUnlessCurrent(token.Request, token.Attempt))
    return *rejection;
  if (token.Offset < nextOffset()) {
    ++Dropped.Duplicated;
    return TokenVerdict::Duplicated;
  }
  if (token.Offset > nextOffset()) {
    ++Dropped.Gaps;
    Current = 0;
    return TokenVerdict::Gap;
  }
  verifyInvariant(token.Request == Request, "answer-is-of-its-request",
                  "a token of another request was accepted");
  verifyInvariant(!Ended, "answer-ends-once",
                  "a token was accepted after the end");
  Tokens.push_back(token.Text);
  verifyInvariant(Tokens.size() == token.Offset + 1,
                  "answer-offsets-are-contiguous",
                  "a token was stored at an offset other than its own");
  return TokenVerdict::Taken;
}

EndVerdict AnswerStream::finish(const ReceivedEnd &end) {
  if (auto rejection = rejectUnlessCurrent(end.Request, end.Attempt))
    return *rejection == TokenVerdict::Late ? EndVerdict::Late
                                            : EndVerdict::Misrouted;
  Current = 0;
  if (end.Length != nextOffset()) {
    ++Dropped.TruncatedEnds;
    return EndVerdict::Truncated;
  }
  verifyInvariant(!Ended, "answer-ends-once", "the answer ended twice");
  Ended = true;
  return EndVerdict::Whole;
}

std::optional<AnswerEvent> AnswerStream::nextEvent() {
  AnswerEvent event;
  event.Id = NextToSend;
  if (NextToSend < Tokens.size())
    event.Text = Tokens[NextToSend];
  else if (Ended && NextToSend == Tokens.size())
    event.IsEnd = true;
  else
    return std::nullopt;
  ++NextToSend;
  return event;
}

void AnswerStream::reconnect(std::optional<std::uint64_t> lastEventId) {
  const std::uint64_t events = Tokens.size() + (Ended ? 1 : 0);
  if (lastEventId && *lastEventId >= events)
    throw UnknownEventId("the answer has not sent an event with id " +
                         std::to_string(*lastEventId));
  NextToSend = lastEventId ? *lastEventId + 1 : 0;
}

} // namespace sorrelbay
