#include "CallResponse.h"

namespace sorrelbay {

/// Responses up to this size are relayed once they are complete.
static constexpr std::size_t MaxBufferedResponse = 256UL * 1024;
/// Reading from the upstream pauses while more than this many bytes wait for a
/// slow caller.
static constexpr std::size_t MaxQueuedBytes = 256UL * 1024;

/// The most bytes of a body that are read although it is not for the caller.
static constexpr std::size_t MaxDiscardedBytes = 256UL * 1024;

ResponseStart startOfResponse(const HttpReplyHead &head, bool isOnStreamRoute) {
  ResponseStart start;
  start.Status = head.Status;
  start.Length = head.Length;
  start.Framing = head.Framing;
  // An upstream may give a plain response to a call on a stream's route.
  const std::string type = headerValue(head.Headers, "Content-Type");
  start.IsTypeNamed = !type.empty();
  start.IsEventStream = isOnStreamRoute && head.Status / 100 == 2 &&
                        (type.empty() || isEventStreamType(type));
  return start;
}

CallResponse::CallResponse(std::shared_ptr<HttpExchange> exchange)
    : Exchange(std::move(exchange)) {}

void CallResponse::startAttempt(ResponseStart start) {
  Start = std::move(start);
  Body.clear();
  DiscardedBytes = 0;
  Events.takePartialEvent();
}

bool CallResponse::append(std::string_view bytes, bool isDiscarded) {
  if (isDiscarded) {
    DiscardedBytes += bytes.size();
    return DiscardedBytes <= MaxDiscardedBytes;
  }
  if (Start.IsEventStream) {
    appendEvents(bytes);
    return !Events.isEventTooLarge();
  }
  Body.append(bytes);
  if (Body.size() > MaxBufferedResponse) {
    send(Body);
    Body.clear();
  }
  return true;
}

void CallResponse::appendEvents(std::string_view bytes) {
  if (Start.IsResumable)
    return send(Events.feed(bytes));
  Events.pass(bytes);
  send(bytes);
}

void CallResponse::send(std::string_view bytes) {
  if (bytes.empty())
    return;
  if (!HasBegun)
    begin();
  Exchange->write(bytes);
}

ResponseEnd CallResponse::end() const {
  if (!Start.IsEventStream)
    return ResponseEnd::Complete;
  const bool isUnframed = Start.Framing == BodyFraming::ConnectionEnd;
  if (Events.isInsideEvent() && (isUnframed || Start.IsTypeNamed))
    return ResponseEnd::InsideEvent;
  const bool hasEvents =
      HasBegun || Start.ContinuesEarlierCall || !Events.lastId().empty();
  return isUnframed && !hasEvents ? ResponseEnd::WithoutEvent
                                  : ResponseEnd::Complete;
}

/// A stream's length is not announced: the stream may break off inside its last
/// event, or go on at another upstream with a different length.
void CallResponse::begin() {
  HasBegun = true;
  Exchange->begin(Start.Status, Start.Headers,
                  Start.IsEventStream ? std::nullopt : Start.Length);
}

void CallResponse::finish() {
  Body += Events.takePartialEvent();
  if (!HasBegun)
    return finish(Start.Status, Start.Headers);
  Exchange->write(Body);
  Exchange->end();
}

void CallResponse::finish(int status, const HttpHeaders &headers) {
  Exchange->respond(status, headers, std::move(Body));
}

void CallResponse::abort() { Exchange->abort(); }

bool CallResponse::isBackedUp() const {
  return Exchange->queuedBytes() > MaxQueuedBytes;
}

} // namespace sorrelbay
