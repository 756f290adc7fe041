#include "LibCaller/CallContext.h"
#include "LibBase/Hash.h"
#include "LibCaller/Problem.h"
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace sorrelbay {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

namespace {

constexpr std::uint64_t DefaultDeadlineMs = 60'000;
constexpr std::uint64_t MaxDeadlineMs = 3'600'000;
constexpr std::uint64_t MaxAttempt = 1'000'000;
constexpr std::uint64_t MaxEventId = 1'000'000'000;
constexpr int StatusBadRequest = 400;
// Common tokenizers produce about one token per four bytes of text.
constexpr std::uint64_t BytesPerToken = 4;

[[noreturn]] void refuse(const std::string &detail) {
  throw Problem(StatusBadRequest, "bad-request", detail, Outcome::NotRun);
}

std::string boundedHeader(const HttpRequest &request, const char *name) {
  std::string value = headerValue(request.Headers, name);
  if (value.size() > MaxHeaderValueBytes)
    refuse(std::string(name) + " is longer than " +
           std::to_string(MaxHeaderValueBytes) + " bytes");
  const bool isPrintable =
      std::all_of(value.begin(), value.end(),
                  [](unsigned char c) { return c >= 0x20 && c < 0x7f; });
  if (!isPrintable)
    refuse(std::string(name) + " holds characters that are not printable");
  return value;
}

std::uint64_t numberHeader(const HttpRequest &request, const char *name,
                           std::uint64_t defaultValue, std::uint64_t high) {
  const std::string text = boundedHeader(request, name);
  if (text.empty())
    return defaultValue;
  std::uint64_t n = 0;
  const auto end = std::from_chars(text.data(), text.data() + text.size(), n);
  if (end.ec != std::errc() || end.ptr != text.data() + text.size() || n > high)
    refuse(std::string(name) + " must be a whole number up to " +
           std::to_string(high));
  return n;
}

OrderedJson envelope(const char *object, const std::string &requestId,
                     const ModelCall &call) {
  OrderedJson out;
  out["id"] = requestId;
  out["object"] = object;
  out["model"] = call.Model.text();
  return out;
}

} // namespace

CallContext parseCallContext(const HttpRequest &request, Instant arrival) {
  CallContext context;
  context.FromTeam = TeamId(boundedHeader(request, "X-Team"));
  context.OnRoute = RouteId(boundedHeader(request, "X-Route"));
  context.Key = IdempotencyKey(boundedHeader(request, "Idempotency-Key"));
  context.Attempt = numberHeader(request, "X-Attempt", 0, MaxAttempt);
  const std::uint64_t deadlineMs =
      numberHeader(request, "X-Deadline-Ms", DefaultDeadlineMs, MaxDeadlineMs);
  context.Deadline = arrival + milliseconds(deadlineMs);
  context.Trace = parseTraceParent(headerValue(request.Headers, "traceparent"));
  return context;
}

std::optional<std::uint64_t> parseLastEventId(const HttpRequest &request) {
  if (headerValue(request.Headers, "Last-Event-ID").empty())
    return std::nullopt;
  return numberHeader(request, "Last-Event-ID", 0, MaxEventId);
}

ModelCall parseModelCall(const std::string &body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object())
    refuse("the body is not a JSON object");
  ModelCall call;
  try {
    call.Model = ServiceId(json.at("model").get<std::string>());
    const Json &messages = json.at("messages");
    if (!messages.is_array() || messages.empty())
      refuse("messages must be an array that is not empty");
    call.MessagesJson = messages.dump();
    call.WantsStream = json.value("stream", false);
    call.MaxTokens = json.value("max_tokens", std::uint64_t{0});
    call.PromptTokens = call.MessagesJson.size() / BytesPerToken;
    // All conversations of a team may begin with the same system prompt, so the
    // message after it is hashed too.
    const bool hasSystemPrompt =
        messages.size() > 1 && messages[0].value("role", "") == "system";
    call.ConversationHash =
        stableHash(messages[0].dump() +
                   (hasSystemPrompt ? messages[1].dump() : std::string()));
  } catch (const Json::exception &error) {
    refuse(error.what());
  }
  return call;
}

std::string renderModelCall(const ModelCall &call) {
  Json out;
  out["model"] = call.Model.text();
  out["messages"] = Json::parse(call.MessagesJson);
  out["stream"] = call.WantsStream;
  if (call.MaxTokens != 0)
    out["max_tokens"] = call.MaxTokens;
  return out.dump();
}

std::string renderTokenEvent(const std::string &requestId,
                             const ModelCall &call, std::uint64_t offset,
                             const std::string &text) {
  // Rendered without the JSON library, because this runs for every token; only
  // the text needs the escaping of the library.
  std::string out = "id: " + std::to_string(offset) + "\ndata: {\"id\":\"";
  out += requestId;
  out += "\",\"object\":\"chat.completion.chunk\",\"model\":";
  out += Json(call.Model.text()).dump();
  out += ",\"choices\":[{\"index\":0,\"delta\":{\"content\":";
  out += Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
  out += "}}]}\n\n";
  return out;
}

std::string renderEndEvent(const std::string &requestId, const ModelCall &call,
                           std::uint64_t length, const std::string &reason) {
  OrderedJson out = envelope("chat.completion.chunk", requestId, call);
  out["choices"] = {{{"index", 0},
                     {"delta", OrderedJson::object()},
                     {"finish_reason", reason}}};
  out["usage"] = {{"completion_tokens", length}};
  return "id: " + std::to_string(length) + "\ndata: " + out.dump() +
         "\n\ndata: [DONE]\n\n";
}

std::string renderCompletion(const std::string &requestId,
                             const ModelCall &call, std::uint64_t length,
                             const std::string &text,
                             const std::string &reason) {
  OrderedJson out = envelope("chat.completion", requestId, call);
  out["choices"] = {{{"index", 0},
                     {"message", {{"role", "assistant"}, {"content", text}}},
                     {"finish_reason", reason}}};
  out["usage"] = {{"completion_tokens", length}};
  return out.dump(-1, ' ', false, OrderedJson::error_handler_t::replace) + "\n";
}

} // namespace sorrelbay
