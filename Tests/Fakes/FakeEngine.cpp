#include "FakeEngine.h"
#include "LibBase/Hash.h"
#include <nlohmann/json.hpp>
#include <thread>

namespace sorrelbay {

using Json = nlohmann::json;

static const char *const Words[] = {"oak ",  "plank ",  "finish ", "room ",
                                    "shed ", "fan ",    "crew ",   "order ",
                                    "área ", "suelo\n", "\"m2\" ", "aria "};
static constexpr std::uint64_t BytesPerToken = 4;
/// A cache handle names the engine-independent state of a request; importing
/// it costs nothing to compute.
static const char *const HandlePrefix = "cache-of-";

std::string fakeToken(const std::string &messagesJson, std::uint64_t n) {
  const std::uint64_t hash = stableHash(messagesJson, n);
  return Words[hash % (sizeof(Words) / sizeof(Words[0]))];
}

struct FakeEngine::Work {
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

bool FakeEngine::shouldFail(const Work &work) {
  if (!Options.FaultRoute.empty() && Options.FaultRoute != work.Route)
    return false;
  if (OpenStreams < Options.FaultFromOpen)
    return false;
  // Spread evenly and without randomness: the same run fails the same calls.
  const double before = static_cast<double>(RequestNumber) * Options.FailShare;
  const double after = before + Options.FailShare;
  return static_cast<std::uint64_t>(after) > static_cast<std::uint64_t>(before);
}

HttpResponse FakeEngine::complete(const HttpRequest &request) {
  const Json json = Json::parse(request.Body, nullptr, false);
  if (!json.is_object() || !json.contains("messages"))
    return jsonResponse(400, {{"error", "no messages"}});
  Work work;
  work.RequestId = json.value("request_id", "direct");
  work.AttemptId = json.value("attempt_id", "direct");
  work.Route = json.value("route", "");
  work.Messages = json["messages"].dump();
  work.FirstOffset = json.contains("prefix") ? json["prefix"].size() : 0;
  work.HasCache = !json.value("cache_handle", "").empty();
  const std::lock_guard<std::mutex> lock(Mutex);
  work.Length = json.value("max_tokens", Options.DefaultTokens);
  ++Counts["requests"];
  if (Options.IsLeaving) {
    ++Counts["requests_while_leaving"];
    return jsonResponse(503, {{"error", "leaving"}});
  }
  if (OpenStreams >= Options.Capacity) {
    ++Counts["refused"];
    return jsonResponse(429, {{"error", "full"}});
  }
  const bool fails = shouldFail(work);
  ++RequestNumber;
  if (fails) {
    ++Counts["failed"];
    return jsonResponse(500, {{"error", "this version is bad"}});
  }
  if (work.FirstOffset > 0)
    ++Counts[work.HasCache ? "imported" : "resumed"];
  if (work.FirstOffset > 0 && !work.HasCache)
    Counts["recomputed_tokens"] += static_cast<std::int64_t>(
        work.FirstOffset + work.Messages.size() / BytesPerToken);
  ++OpenStreams;
  HttpResponse out;
  out.ContentType = "text/event-stream";
  out.Stream = [this, work](const HttpSink &sink) {
    const bool isWhole = stream(work, sink);
    const std::lock_guard<std::mutex> inner(Mutex);
    --OpenStreams;
    return isWhole;
  };
  return out;
}

bool FakeEngine::stream(const Work &work, const HttpSink &sink) {
  FakeEngineOptions now;
  std::uint64_t open = 0;
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    now = Options;
    open = OpenStreams;
  }
  Duration first{};
  if (!work.HasCache)
    first += now.PrefillPerToken *
             static_cast<std::int64_t>(work.FirstOffset +
                                       work.Messages.size() / BytesPerToken);
  const bool isFaulty =
      open >= now.FaultFromOpen &&
      (now.FaultRoute.empty() || now.FaultRoute == work.Route);
  if (isFaulty)
    first += now.Slowness;
  std::this_thread::sleep_for(first);
  const auto start = std::chrono::steady_clock::now();
  const auto send = [&](std::uint64_t n, const std::string &attempt) {
    const Json event = {
        {"id", attempt},
        {"offset", n},
        {"choices",
         {{{"index", 0},
           {"delta", {{"content", fakeToken(work.Messages, n)}}}}}}};
    return sink("data: " + event.dump() + "\n\n");
  };
  for (std::uint64_t n = work.FirstOffset; n < work.Length; ++n) {
    {
      const std::lock_guard<std::mutex> lock(Mutex);
      if (Cancelled.count(work.RequestId + "/" + work.AttemptId) != 0)
        return false;
      ++Counts["tokens"];
    }
    if (now.TruncateAfter != 0 && n - work.FirstOffset >= now.TruncateAfter)
      return true;
    if (now.CrossEvery != 0 && n % now.CrossEvery == 0)
      send(n + 1, "somebody-elses");
    if (!send(n, work.AttemptId))
      return false;
    if (now.DuplicateEvery != 0 && n % now.DuplicateEvery == 0)
      send(n, work.AttemptId);
    std::this_thread::sleep_until(
        start + now.TokenInterval *
                    static_cast<std::int64_t>(n + 1 - work.FirstOffset));
  }
  const Json end = {
      {"id", work.AttemptId},
      {"choices",
       {{{"index", 0}, {"delta", Json::object()}, {"finish_reason", "stop"}}}},
      {"usage", {{"completion_tokens", work.Length}}}};
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

HttpResponse FakeEngine::order(const HttpRequest &request) {
  const Json json = Json::parse(request.Body, nullptr, false);
  const std::lock_guard<std::mutex> lock(Mutex);
  const std::uint64_t fencing = json.value("fencing", std::uint64_t{0});
  if (fencing < FencingToken) {
    ++Counts["orders_refused"];
    return jsonResponse(409, {{"error", "old fencing number"}});
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
  Options.FaultFromOpen = json.value("fault_from_open", Options.FaultFromOpen);
  Options.Slowness =
      milliseconds(json.value("slow_ms", toMilliseconds(Options.Slowness)));
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
