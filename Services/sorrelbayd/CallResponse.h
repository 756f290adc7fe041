#pragma once

#include "LibHttp/AsyncHttpClient.h"
#include "LibHttp/EventSplitter.h"
#include "LibHttp/HttpExchange.h"
#include <memory>
#include <string>
#include <string_view>

namespace sorrelbay {

/// What is known about an attempt's response before its body.
struct ResponseStart {
  int Status = 0;
  /// The header fields as they are forwarded.
  HttpHeaders Headers;
  std::optional<std::uint64_t> Length;
  BodyFraming Framing = BodyFraming::None;
  /// The response is a stream, or may be one as it names no type.
  bool IsEventStream = false;
  bool IsTypeNamed = false;
  /// The caller received the first events of the stream by an earlier call.
  bool ContinuesEarlierCall = false;
  /// The stream may go on at another upstream, after its last complete event.
  bool IsResumable = false;
};

/// The start of the response with that head, as far as the head states it, to a
/// call on a route whose responses are streams or are not.
ResponseStart startOfResponse(const HttpReplyHead &head, bool isOnStreamRoute);

/// What the end of an attempt's response proves, once its framing has ended.
enum class ResponseEnd {
  Complete,
  /// A stream ended inside an event: it broke off, whatever its framing says. A
  /// response that names no type is judged so only if nothing but its
  /// connection marks its end.
  InsideEvent,
  /// A stream that ends with its connection brought no event: its upstream may
  /// have failed before the first.
  WithoutEvent,
};

/// The response to a call, put together from the responses of the call's
/// attempts: an attempt's response follows that of the one before, after its
/// last complete event.
class CallResponse {
public:
  explicit CallResponse(std::shared_ptr<HttpExchange> exchange);

  /// Sets the id of the event that the response follows.
  void resumeAfter(std::string id) { Events.resumeAfter(std::move(id)); }
  /// The response of another attempt begins. Drops what is left of the response
  /// before: its buffered body, or an incomplete event.
  void startAttempt(ResponseStart start);
  /// Adds bytes of the attempt's body, or drops them if the body is not for the
  /// caller. A resumable stream is sent to the caller by whole events. Returns
  /// false if the body seems to have no end: an event is too large, or too much
  /// was dropped.
  bool append(std::string_view bytes, bool isDiscarded);
  /// Whether the attempt's response, whose framing has ended, is complete.
  ResponseEnd end() const;
  /// Ends the response, so that it is complete.
  void finish();
  /// Ends the response with another head.
  void finish(int status, const HttpHeaders &headers);
  /// Closes the caller's connection, so that the response does not look
  /// complete.
  void abort();

  /// Whether a part of the response was sent to the caller.
  bool hasBegun() const { return HasBegun; }
  /// Whether another upstream can go on with the response where it has stopped.
  bool isResumable() const {
    return Start.IsResumable && Events.isLastEventNamed();
  }
  /// The id of the last event that was sent; empty before the first.
  const std::string &lastEventId() const { return Events.lastId(); }
  /// Whether the stream so far ends inside an event.
  bool isInsideEvent() const { return Events.isInsideEvent(); }
  /// The complete events of the attempt's stream so far.
  std::size_t completeEvents() const { return Events.completeEvents(); }
  /// Whether so much waits for a slow caller that no more should be read.
  bool isBackedUp() const;

private:
  void appendEvents(std::string_view bytes);
  void send(std::string_view bytes);
  void begin();

  std::shared_ptr<HttpExchange> Exchange;
  ResponseStart Start;
  EventSplitter Events;
  std::string Body;
  std::size_t DiscardedBytes = 0;
  bool HasBegun = false;
};

} // namespace sorrelbay
