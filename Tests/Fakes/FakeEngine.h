#pragma once

#include "LibBase/Time.h"
#include "LibHttp/HttpMessage.h"
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace sorrelbay {

/// Behaviour of a fake engine. Tests change the faults while it runs.
struct FakeEngineOptions {
  std::string Service = "model";
  std::string Version = "v1";
  Duration TokenInterval = milliseconds(20);
  /// Time to compute one prompt token that is not in the cache.
  Duration PrefillPerToken = microseconds(20);
  std::uint64_t Capacity = 64;
  /// Length of a response if the caller sets no limit, in tokens.
  std::uint64_t DefaultTokens = 30;

  /// Share of requests that fail with status 500, from 0 to 1.
  double FailShare = 0;
  /// The route that faults apply to; empty for all routes.
  std::string FaultRoute;
  /// Delay added before the first token.
  Duration AddedFirstTokenDelay{};
  /// Faults apply only while at least this many streams are open.
  std::uint64_t MinStreamsForFaults = 0;
  /// Every Nth token is sent twice; 0 disables the fault.
  std::uint64_t DuplicateEvery = 0;
  /// Before every Nth token, a token with another attempt's id is sent; 0
  /// disables the fault.
  std::uint64_t CrossEvery = 0;
  /// The stream ends after this many tokens, without its final event; 0
  /// disables the fault.
  std::uint64_t TruncateAfter = 0;
  bool IsLeaving = false;
  /// The process ends when it begins to answer a request whose messages contain
  /// this text; empty for none.
  std::string FatalText;
};

/// The text of token n of the response to these messages. It is the same on
/// every engine, so that a resumed response can be compared with an
/// uninterrupted one.
std::string fakeToken(const std::string &messagesJson, std::uint64_t n);

/// A fake model engine: OpenAI's streaming API with resuming, cancelling, cache
/// export and import, load reports and commands.
class FakeEngine {
public:
  explicit FakeEngine(FakeEngineOptions options);

  HttpResponse complete(const HttpRequest &request);
  HttpResponse load();
  HttpResponse cancel(const HttpRequest &request);
  HttpResponse exportCache(const HttpRequest &request);
  /// Sets the levels, i.e. the versions to keep loaded. Rejected with status
  /// 409 if the fencing token is older than the last one accepted.
  HttpResponse acceptLevels(const HttpRequest &request);
  HttpResponse setFaults(const HttpRequest &request);
  /// Counts of requests received, tokens recomputed for resumed requests and
  /// other events, by name.
  HttpResponse counters();

private:
  struct StreamJob;
  bool shouldFail(const StreamJob &streamJob);
  bool stream(const StreamJob &streamJob, const HttpSink &sink);

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
