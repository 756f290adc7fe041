#include "FakeEngine.h"
#include "LibBase/Hash.h"
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <thread>

namespace sorrelbay {

using Json = nlohmann::json;

static const char *const Words[] = {"oak ",  "plank ",  "finish ", "room ",
                                    "shed ", "fan ",    "crew ",   "order ",
                                    "área ", "suelo\n", "\"m2\" ", "aria "};
static constexpr std::uint64_t BytesPerToken = 4;
/// Prefix of a cache handle. A request that imports a cache skips the prefill.
static const char *const HandlePrefix = "cache-of-";

std::string fakeToken(const std::string &messagesJson, std::uint64_t n) {
  const std::uint64_t hash = stableHash(messagesJson, n);
  return Words[hash % (sizeof(Words) / sizeof(Words[0]))];
}

struct FakeEngine::StreamJob {
  std::string RequestId;
  std::string AttemptId;
  std::string Route;
  std::string Messages;
  std::uint64_t FirstOffset = 0;
  std::uint64_t Length = 0;
  bool HasCache = false;
};

FakeEngine::FakeEngine(FakeEngineOptions options)
    : Options(std::move(options)) {}

static HttpResponse jsonResponse(int status, const Json &body) {
  HttpResponse out;
  out.Status = status;
  out.Body = body.dump();
  return out;
}

bool FakeEngine::shouldFail(const StreamJob &streamJob) {
  if (!Options.FaultRoute.empty() && Options.FaultRoute != streamJob.Route)
    return false;
  if (OpenStreams < Options.MinStreamsForFaults)
    return false;
  // Failures are spread evenly, without randomness, so that each run fails the
  // same calls.
  const double before = static_cast<double>(RequestNumber) * Options.FailShare;
  const double after = before + Options.FailShare;
  return static_cast<std::uint64_t>(after) > static_cast<std::uint64_t>(before);
}

HttpResponse FakeEngine::complete(const HttpRequest &request) {
  const Json json = Json::parse(request.Body, nullptr, false);
  if (!json.is_object() || !json.contains("messages"))
    return jsonResponse(400, {{"error", "messages are missing"}});
  StreamJob streamJob;
  streamJob.RequestId = json.value("request_id", "direct");
  streamJob.AttemptId = json.value("attempt_id", "direct");
  streamJob.Route = json.value("route", "");
  streamJob.Messages = json["messages"].dump();
  streamJob.FirstOffset = json.contains("prefix") ? json["prefix"].size() : 0;
  streamJob.HasCache = !json.value("cache_handle", "").empty();
  const std::lock_guard<std::mutex> lock(Mutex);
  streamJob.Length = json.value("max_tokens", Options.DefaultTokens);
  ++Counts["requests"];
  if (Options.IsLeaving) {
    ++Counts["requests_while_leaving"];
    return jsonResponse(503, {{"error", "engine is leaving"}});
  }
  if (OpenStreams >= Options.Capacity) {
    ++Counts["refused"];
    return jsonResponse(429, {{"error", "all stream slots are in use"}});
  }
  const bool fails = shouldFail(streamJob);
  ++RequestNumber;
  if (fails) {
    ++Counts["failed"];
    return jsonResponse(500, {{"error", "injected failure"}});
  }
  if (streamJob.FirstOffset > 0)
    ++Counts[streamJob.HasCache ? "imported" : "resumed"];
  if (streamJob.FirstOffset > 0 && !streamJob.HasCache)
    Counts["recomputed_tokens"] += static_cast<std::int64_t>(
        streamJob.FirstOffset + streamJob.Messages.size() / BytesPerToken);
  ++OpenStreams;
  HttpResponse out;
  out.ContentType = "text/event-stream";
  out.Stream = [this, streamJob](const HttpSink &sink) {
    const bool isWhole = stream(streamJob, sink);
    const std::lock_guard<std::mutex> streamEndLock(Mutex);
    --OpenStreams;
    return isWhole;
  };
  return out;
}

bool FakeEngine::stream(const StreamJob &streamJob, const HttpSink &sink) {
  FakeEngineOptions activeOptions;
  std::uint64_t open = 0;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    activeOptions = Options;
    open = OpenStreams;
  }
  Duration delayToFirstToken{};
  if (!streamJob.HasCache)
    delayToFirstToken +=
        activeOptions.PrefillPerToken *
        static_cast<std::int64_t>(streamJob.FirstOffset +
                                  streamJob.Messages.size() / BytesPerToken);
  const bool areFaultsActive = open >= activeOptions.MinStreamsForFaults &&
                               (activeOptions.FaultRoute.empty() ||
                                activeOptions.FaultRoute == streamJob.Route);
  if (areFaultsActive)
    delayToFirstToken += activeOptions.AddedFirstTokenDelay;
  std::this_thread::sleep_for(delayToFirstToken);
  const std::string &fatalText = activeOptions.FatalText;
  if (!fatalText.empty() &&
      streamJob.Messages.find(fatalText) != std::string::npos)
    std::_Exit(1);
  const auto start = std::chrono::steady_clock::now();
  const auto send = [&](std::uint64_t n, const std::string &attempt) {
    const Json event = {
        {"id", attempt},
        {"offset", n},
        {"choices",
         {{{"index", 0},
           {"delta", {{"content", fakeToken(streamJob.Messages, n)}}}}}}};
    return sink("data: " + event.dump() + "\n\n");
  };
  for (std::uint64_t n = streamJob.FirstOffset; n < streamJob.Length; ++n) {
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      if (Cancelled.count(streamJob.RequestId + "/" + streamJob.AttemptId) != 0)
        return false;
      ++Counts["tokens"];
    }
    if (activeOptions.TruncateAfter != 0 &&
        n - streamJob.FirstOffset >= activeOptions.TruncateAfter)
      return true;
    if (activeOptions.CrossEvery != 0 && n % activeOptions.CrossEvery == 0)
      send(n + 1, "another-attempt");
    if (!send(n, streamJob.AttemptId))
      return false;
    if (activeOptions.DuplicateEvery != 0 &&
        n % activeOptions.DuplicateEvery == 0)
      send(n, streamJob.AttemptId);
    std::this_thread::sleep_until(
        start + activeOptions.TokenInterval *
                    static_cast<std::int64_t>(n + 1 - streamJob.FirstOffset));
  }
  const Json end = {
      {"id", streamJob.AttemptId},
      {"choices",
       {{{"index", 0}, {"delta", Json::object()}, {"finish_reason", "stop"}}}},
      {"usage", {{"completion_tokens", streamJob.Length}}}};
  return sink("data: " + end.dump() + "\n\ndata: [DONE]\n\n");
}

HttpResponse FakeEngine::load() {
  const std::lock_guard<std::mutex> lock(Mutex);
  return jsonResponse(200, {{"version", Options.Version},
                            {"open", OpenStreams},
                            {"queued", 0},
                            {"capacity", Options.Capacity},
                            {"leaving", Options.IsLeaving},
                            {"reported_at_ms", toEpochMilliseconds(now())}});
}

HttpResponse FakeEngine::cancel(const HttpRequest &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  ++Counts["cancelled"];
  Cancelled.insert(request.Parts.at(0));
  return jsonResponse(200, Json::object());
}

HttpResponse FakeEngine::exportCache(const HttpRequest &request) {
  const std::lock_guard<std::mutex> lock(Mutex);
  ++Counts["exported"];
  return jsonResponse(200,
                      {{"cache_handle", HandlePrefix + request.Parts.at(0)}});
}

HttpResponse FakeEngine::acceptLevels(const HttpRequest &request) {
  const Json json = Json::parse(request.Body, nullptr, false);
  const std::lock_guard<std::mutex> lock(Mutex);
  const std::uint64_t fencing = json.value("fencing", std::uint64_t{0});
  if (fencing < FencingToken) {
    ++Counts["orders_refused"];
    return jsonResponse(409, {{"error", "stale fencing token"}});
  }
  FencingToken = fencing;
  OrderedLevels = json.value("levels", Json::array()).dump();
  ++Counts["orders"];
  return jsonResponse(200, {{"levels", OrderedLevels}});
}

HttpResponse FakeEngine::setFaults(const HttpRequest &request) {
  const Json json = Json::parse(request.Body);
  const std::lock_guard<std::mutex> lock(Mutex);
  Options.FailShare = json.value("fail_share", Options.FailShare);
  Options.FaultRoute = json.value("fault_route", Options.FaultRoute);
  Options.MinStreamsForFaults =
      json.value("fault_from_open", Options.MinStreamsForFaults);
  Options.AddedFirstTokenDelay = milliseconds(
      json.value("slow_ms", toMilliseconds(Options.AddedFirstTokenDelay)));
  Options.TokenInterval = milliseconds(
      json.value("token_ms", toMilliseconds(Options.TokenInterval)));
  Options.DuplicateEvery =
      json.value("duplicate_every", Options.DuplicateEvery);
  Options.CrossEvery = json.value("cross_every", Options.CrossEvery);
  Options.TruncateAfter = json.value("truncate_after", Options.TruncateAfter);
  Options.IsLeaving = json.value("leaving", Options.IsLeaving);
  return jsonResponse(200, Json::object());
}

HttpResponse FakeEngine::counters() {
  const std::lock_guard<std::mutex> lock(Mutex);
  Json out(Counts);
  out["open"] = OpenStreams;
  out["levels"] = OrderedLevels;
  out["fencing"] = FencingToken;
  return jsonResponse(200, out);
}

} // namespace sorrelbay
