#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibBase/Trace.h"
#include "LibHttp/HttpMessage.h"
#include <cstdint>
#include <optional>
#include <string>

namespace sorrelbay {

/// The longest header value of a call in bytes, including the idempotency key;
/// a call with a longer one is refused with status 400.
constexpr std::size_t MaxHeaderValueBytes = 200;

/// The parameters that a call carries in its headers.
struct CallContext {
  /// `X-Team`.
  TeamId FromTeam;
  /// `X-Route` of a model call; the operation of a desk call.
  RouteId OnRoute;
  /// `Idempotency-Key`; empty if the call has none.
  IdempotencyKey Key;
  /// `X-Attempt`: 1 for the first attempt with a key, incremented with each
  /// retry; 0 if the call does not state it.
  std::uint64_t Attempt = 0;
  /// The time after which the caller no longer wants a response: the arrival
  /// time plus `X-Deadline-Ms`.
  Instant Deadline{};
  /// `traceparent`.
  TraceContext Trace;
};

/// Parses and checks the headers. Throws Problem with status 400 and the name
/// of the header if one is malformed or too long.
CallContext parseCallContext(const HttpRequest &request, Instant arrival);

/// `Last-Event-ID`: the id of the last event that the caller received; nothing
/// if the header is missing. Throws Problem with status 400 if it is not a
/// number.
std::optional<std::uint64_t> parseLastEventId(const HttpRequest &request);

/// The body of a model call.
struct ModelCall {
  ServiceId Model;
  /// The messages, a JSON array, as the caller sent them.
  std::string MessagesJson;
  bool WantsStream = false;
  /// 0 if the caller sets no limit.
  std::uint64_t MaxTokens = 0;
  /// An estimate of the number of tokens in the prompt.
  std::uint64_t PromptTokens = 0;
  /// A hash of the first messages, the same for all calls of a conversation.
  std::uint64_t ConversationHash = 0;
};

/// Parses the body of `POST /v1/chat/completions`. Throws Problem with status
/// 400.
ModelCall parseModelCall(const std::string &body);

/// Renders the body that parseModelCall reads.
std::string renderModelCall(const ModelCall &call);

/// A streamed token as a server-sent event in the format of the OpenAI API. The
/// id of the event is the offset of the token, so that `Last-Event-ID` states
/// what the caller received.
std::string renderTokenEvent(const std::string &requestId,
                             const ModelCall &call, std::uint64_t offset,
                             const std::string &text);
/// The end of the stream: an event with the finish reason and the length in
/// tokens, then `[DONE]`.
std::string renderEndEvent(const std::string &requestId, const ModelCall &call,
                           std::uint64_t length, const std::string &reason);
/// The whole answer as a JSON document.
std::string renderCompletion(const std::string &requestId,
                             const ModelCall &call, std::uint64_t length,
                             const std::string &text,
                             const std::string &reason);

} // namespace sorrelbay
