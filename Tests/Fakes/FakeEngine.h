#pragma once

#include "LibBase/Time.h"
#include "LibHttp/HttpMessage.h"
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace sorrelbay {

/// How a stand-in engine behaves; tests change the faults while it runs.
struct FakeEngineOptions {
  std::string Service = "model";
  std::string Version = "v1";
  Duration TokenInterval = milliseconds(20);
  /// Time to compute one token of the prompt that isn't cached.
  Duration PrefillPerToken = microseconds(20);
  std::uint64_t Capacity = 64;
  /// Tokens of an answer where the caller sets no limit.
  std::uint64_t DefaultTokens = 30;

  /// The share of requests that fail with status 500, by route if one is set.
  double FailShare = 0;
  std::string FaultRoute;
  /// Added before the first token.
  Duration Slowness{};
  /// The faults apply only while at least so many streams are open.
  std::uint64_t FaultFromOpen = 0;
  /// Every so-manyth token is sent twice, or carries another attempt's id; 0
  /// for never.
  std::uint64_t DuplicateEvery = 0;
  std::uint64_t CrossEvery = 0;
  /// The stream ends without its length after so many tokens; 0 for never.
  std::uint64_t TruncateAfter = 0;
  bool IsLeaving = false;
};

/// The text of token n of the answer to these messages: the same on every
/// engine, so that a resumed answer can be compared with an undisturbed one.
std::string fakeToken(const std::string &messagesJson, std::uint64_t n);

/// A model engine's stand-in: OpenAI's streaming API with resuming, cancelling,
/// cache export and import, load reports and orders.
class FakeEngine {
public:
  explicit FakeEngine(FakeEngineOptions options);

  HttpResponse complete(const HttpRequest &request);
  HttpResponse load();
  HttpResponse cancel(const HttpRequest &request);
  HttpResponse exportCache(const HttpRequest &request);
  /// Levels: the versions to hold, with a fencing number. Refused if older.
  HttpResponse order(const HttpRequest &request);
  HttpResponse setFaults(const HttpRequest &request);
  /// Requests seen, tokens computed anew for resumed requests, and the like.
  HttpResponse counters();

private:
  struct Work;
  bool shouldFail(const Work &work);
  bool stream(const Work &work, const HttpSink &sink);

  std::mutex Mutex;
  FakeEngineOptions Options;
  std::map<std::string, std::int64_t> Counts;
  std::set<std::string> Cancelled;
  std::uint64_t OpenStreams = 0;
  std::uint64_t RequestNumber = 0;
  std::uint64_t FencingToken = 0;
  std::string OrderedLevels;
};

} // namespace sorrelbay
