#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibBase/Trace.h"
#include "LibHttp/HttpMessage.h"
#include <cstdint>
#include <optional>
#include <string>

namespace sorrelbay {

/// The longest header value that a call may bring; a key's too.
constexpr std::size_t MaxHeaderValueBytes = 200;

/// What every call of a caller brings along in its headers.
struct CallContext {
  /// `X-Team`.
  TeamId FromTeam;
  /// `X-Route`, for model calls; the operation of desk calls.
  RouteId OnRoute;
  /// `Idempotency-Key`; empty if there is none.
  IdempotencyKey Key;
  /// `X-Attempt`: 1 for the first try of a key, one more for each repeat; 0
  /// where the caller doesn't say.
  std::uint64_t Attempt = 0;
  /// When the caller no longer wants the answer, from `X-Deadline-Ms`, which
  /// counts from arrival.
  Instant Deadline{};
  /// `traceparent`.
  TraceContext Trace;
};

/// Reads and checks the headers. Throws Problem with status 400 and names the
/// header when one is malformed or over its length.
CallContext parseCallContext(const HttpRequest &request, Instant arrival);

/// `Last-Event-ID`: the last event that a caller has seen, nothing if it has
/// seen none. Throws Problem with status 400 when it is no number.
std::optional<std::uint64_t> parseLastEventId(const HttpRequest &request);

/// A model call's body.
struct ModelCall {
  ServiceId Model;
  /// The messages, a JSON array, passed on as they came.
  std::string MessagesJson;
  bool WantsStream = false;
  /// 0 where the caller sets no limit.
  std::uint64_t MaxTokens = 0;
  /// A rough count of the prompt's tokens, for estimates.
  std::uint64_t PromptTokens = 0;
  /// The same for calls of one conversation: a hash of the first messages.
  std::uint64_t ConversationHash = 0;
};

/// Parses the body of `POST /v1/chat/completions`. Throws Problem with status
/// 400.
ModelCall parseModelCall(const std::string &body);

/// The inverse of parseModelCall.
std::string renderModelCall(const ModelCall &call);

/// One streamed token as a server-sent event in the form of OpenAI's API; the
/// event's id is the offset, so that `Last-Event-ID` names what the caller
/// has.
std::string renderTokenEvent(const std::string &requestId,
                             const ModelCall &call, std::uint64_t offset,
                             const std::string &text);
/// The end of the stream: the finish reason and the stated length, then
/// `[DONE]`.
std::string renderEndEvent(const std::string &requestId, const ModelCall &call,
                           std::uint64_t length, const std::string &reason);
/// The whole answer as one JSON document.
std::string renderCompletion(const std::string &requestId,
                             const ModelCall &call, std::uint64_t length,
                             const std::string &text,
                             const std::string &reason);

} // namespace sorrelbay
