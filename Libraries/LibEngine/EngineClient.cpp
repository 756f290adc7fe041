#include "LibEngine/EngineClient.h"
#include "LibHttp/EventSplitter.h"
#include "LibHttp/HttpClient.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

using Json = nlohmann::json;

namespace {

constexpr int StatusOk = 200;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;
constexpr Duration ConnectTimeout = milliseconds(500);

std::string renderBody(const EngineRequest &request) {
  Json out;
  out["model"] = request.Model.text();
  out["messages"] = Json::parse(request.MessagesJson);
  out["stream"] = true;
  if (request.MaxTokens != 0)
    out["max_tokens"] = request.MaxTokens;
  out["priority"] = request.Priority;
  out["request_id"] = request.RequestId;
  out["attempt_id"] = request.AttemptId;
  out["route"] = request.OnRoute.text();
  if (!request.Prefix.empty())
    out["prefix"] = request.Prefix;
  if (!request.CacheHandle.empty())
    out["cache_handle"] = request.CacheHandle;
  return out.dump();
}

HttpCall toCall(const EngineRequest &request) {
  HttpCall call;
  call.Method = "POST";
  call.Path = "/v1/chat/completions";
  call.Body = renderBody(request);
  call.ConnectTimeout = ConnectTimeout;
  call.ReadTimeout = request.Silence;
  call.Headers.push_back({"traceparent", renderTraceParent(request.Trace)});
  return call;
}

/// Parses server-sent events from data that arrives in parts of any size.
class EventReader {
public:
  using OnEvent = std::function<bool(const Json &)>;

  /// Returns false if the hook stopped the stream.
  bool appendData(std::string_view bytes, const OnEvent &onEvent) {
    const std::string events = Splitter.feed(bytes);
    if (Splitter.isEventTooLarge())
      throw EngineFailed("a stream event has no end");
    bool goesOn = true;
    forEachEventData(events, [&](const std::string &data) {
      goesOn = goesOn && processEvent(data, onEvent);
    });
    return goesOn;
  }
  bool isDone() const { return HasSeenDone; }

private:
  bool processEvent(const std::string &data, const OnEvent &onEvent) {
    if (data == "[DONE]") {
      HasSeenDone = true;
      return true;
    }
    const Json json = Json::parse(data, nullptr, false);
    if (!json.is_object())
      throw EngineFailed("a stream event is not a JSON object");
    return onEvent(json);
  }

  EventSplitter Splitter;
  bool HasSeenDone = false;
};

EngineToken toToken(const Json &event) {
  EngineToken token;
  token.AttemptId = event.value("id", "");
  token.Offset = event.value("offset", std::uint64_t{0});
  token.Text = event.at("choices").at(0).at("delta").value("content", "");
  return token;
}

bool isEnd(const Json &event) {
  const Json &choice = event.at("choices").at(0);
  return choice.contains("finish_reason") &&
         choice.at("finish_reason").is_string();
}

EngineEnd toEnd(const Json &event) {
  EngineEnd end;
  end.AttemptId = event.value("id", "");
  end.Length = event.at("usage").value("completion_tokens", std::uint64_t{0});
  event.at("choices").at(0).at("finish_reason").get_to(end.FinishReason);
  return end;
}

} // namespace

EngineStream::EngineStream(const UpstreamId &upstream,
                           const EngineRequest &request)
    : ResponseStream(
          std::make_unique<HttpStream>(upstream.text(), toCall(request))) {}

EngineStream::~EngineStream() = default;

void EngineStream::cancel() { ResponseStream->cancel(); }

std::unique_ptr<EngineEnd> EngineStream::run(const OnToken &onToken) {
  std::unique_ptr<EngineEnd> end;
  EventReader reader;
  int status = 0;
  bool wasStopped = false;
  const auto onEvent = [&](const Json &event) {
    if (isEnd(event)) {
      end = std::make_unique<EngineEnd>(toEnd(event));
      return true;
    }
    wasStopped = !onToken(toToken(event));
    return !wasStopped;
  };
  try {
    const bool isWhole = ResponseStream->run(
        [&status](const HttpReply &reply) {
          status = reply.Status;
          return reply.Status == StatusOk;
        },
        [&](std::string_view data) {
          return reader.appendData(data, onEvent);
        });
    if (status == StatusTooMany || status == StatusUnavailable)
      throw EngineRefused("the engine responded with status " +
                          std::to_string(status));
    if (status != StatusOk && status != 0)
      throw EngineFailed("the engine responded with status " +
                         std::to_string(status));
    if (!isWhole || wasStopped)
      return nullptr;
  } catch (const HttpNotSent &error) {
    throw EngineRefused(error.what());
  } catch (const HttpOutcomeUnknown &error) {
    throw EngineConnectionLost(error.what());
  } catch (const Json::exception &error) {
    throw EngineFailed(error.what());
  }
  if (!end || !reader.isDone())
    throw EngineFailed(
        "the stream ended without an event that states its length");
  return end;
}

static HttpReply callEngine(const UpstreamId &upstream, const char *method,
                            const std::string &path, Duration timeout) {
  HttpCall call;
  call.Method = method;
  call.Path = path;
  call.ConnectTimeout = timeout;
  call.ReadTimeout = timeout;
  try {
    HttpReply reply = sendOnce(upstream.text(), call);
    if (reply.Status != StatusOk)
      throw EngineFailed(path + " responded with status " +
                         std::to_string(reply.Status));
    return reply;
  } catch (const HttpNotSent &error) {
    throw EngineFailed(error.what());
  } catch (const HttpOutcomeUnknown &error) {
    throw EngineFailed(error.what());
  }
}

EngineLoad fetchEngineLoad(const UpstreamId &upstream, Duration timeout) {
  const HttpReply reply = callEngine(upstream, "GET", "/v1/load", timeout);
  const Json json = Json::parse(reply.Body, nullptr, false);
  if (!json.is_object())
    throw EngineFailed("the load report is not a JSON object");
  EngineLoad load;
  try {
    load.Version = VersionId(json.value("version", ""));
    load.OpenStreams = json.value("open", std::uint64_t{0});
    load.Queued = json.value("queued", std::uint64_t{0});
    load.Capacity = json.value("capacity", std::uint64_t{0});
    load.IsLeaving = json.value("leaving", false);
    load.ReportedAt =
        fromEpochMilliseconds(json.value("reported_at_ms", std::int64_t{0}));
  } catch (const Json::exception &error) {
    throw EngineFailed(error.what());
  }
  return load;
}

void cancelEngineRequest(const UpstreamId &upstream,
                         const std::string &requestId, Duration timeout) {
  try {
    callEngine(upstream, "POST", "/v1/requests/" + requestId + "/cancel",
               timeout);
  } catch (const EngineFailed &) {
    // The engine stops the work anyway once the connection of the request
    // closes.
  }
}

std::string exportCache(const UpstreamId &upstream,
                        const std::string &requestId, Duration timeout) {
  const HttpReply reply = callEngine(
      upstream, "POST", "/v1/requests/" + requestId + "/cache", timeout);
  const Json json = Json::parse(reply.Body, nullptr, false);
  const auto handle = json.is_object() ? json.find("cache_handle") : json.end();
  if (handle == json.end() || !handle->is_string())
    throw EngineFailed("the export of the KV cache returned no handle");
  return handle->get<std::string>();
}

} // namespace sorrelbay
