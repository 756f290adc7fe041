#include "CallResponse.h"

namespace sorrelbay {

/// Responses up to this size are relayed once they are complete.
static constexpr std::size_t MaxBufferedResponse = 256UL * 1024;
/// Reading from the upstream pauses while more than this many bytes wait for a
/// slow caller.
static constexpr std::size_t MaxQueuedBytes = 256UL * 1024;

CallResponse::CallResponse(std::shared_ptr<HttpExchange> exchange)
    : Exchange(std::move(exchange)) {}

void CallResponse::startAttempt(ResponseStart start) {
  Start = std::move(start);
  Body.clear();
  Events.takePartialEvent();
}

void CallResponse::append(std::string_view bytes) {
  if (Start.IsEventStream) {
    if (!HasBegun)
      begin();
    const std::string completeEvents = Events.feed(bytes);
    Exchange->write(Start.IsResumable ? completeEvents : bytes);
    return;
  }
  Body.append(bytes);
  if (Body.size() <= MaxBufferedResponse)
    return;
  if (!HasBegun)
    begin();
  Exchange->write(Body);
  Body.clear();
}

void CallResponse::begin() {
  HasBegun = true;
  Exchange->begin(Start.Status, Start.Headers, Start.Length);
}

void CallResponse::finish() {
  if (!HasBegun)
    return finish(Start.Status, Start.Headers);
  if (Start.IsResumable)
    Exchange->write(Events.takePartialEvent());
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
