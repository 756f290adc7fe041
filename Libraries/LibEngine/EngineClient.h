#pragma once

#include "LibBase/Error.h"
#include "LibBase/Identifier.h"
#include "LibBase/Trace.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sorrelbay {

class HttpStream;

/// The engine did not start the attempt: the connection was refused, or the
/// engine reported that it is full or leaving. Another engine may be tried at
/// once.
class EngineRefused : public Error {
public:
  using Error::Error;
};

/// The attempt failed after it started: an error response, a lost or silent
/// connection, or an end without a stated length.
class EngineFailed : public Error {
public:
  using Error::Error;
};

/// The connection of the attempt broke or became silent. The engine itself may
/// be healthy.
class EngineConnectionLost : public EngineFailed {
public:
  using EngineFailed::EngineFailed;
};

/// An attempt at a request.
struct EngineRequest {
  std::string RequestId;
  /// Unique to each attempt; every token event contains it.
  std::string AttemptId;
  ServiceId Model;
  /// The route of the call; engines count requests by route, and a fake engine
  /// can limit its faults to one route.
  RouteId OnRoute;
  /// The messages as the caller sent them, a JSON array.
  std::string MessagesJson;
  std::uint64_t MaxTokens = 0;
  int Priority = 0;
  /// The tokens that the caller already received; the engine continues after
  /// them.
  std::vector<std::string> Prefix;
  /// A handle from exportCache on another engine; empty if there is none.
  std::string CacheHandle;
  TraceContext Trace;
  /// The longest time between two tokens, and before the first one; beyond it
  /// the attempt fails with EngineConnectionLost.
  Duration Silence = seconds(5);
};

/// A token and its offset in the response, counted in tokens and including the
/// prefix.
struct EngineToken {
  std::string AttemptId;
  std::uint64_t Offset = 0;
  std::string Text;
};

/// The end of a complete attempt, with the length of the response in tokens as
/// stated by the engine.
struct EngineEnd {
  std::string AttemptId;
  std::uint64_t Length = 0;
  std::string FinishReason;
};

/// The load report of an engine. It lags behind the actual load.
struct EngineLoad {
  VersionId Version;
  std::uint64_t OpenStreams = 0;
  std::uint64_t Queued = 0;
  std::uint64_t Capacity = 0;
  bool IsLeaving = false;
  Instant ReportedAt{};
};

/// A streamed response of an engine.
class EngineStream {
public:
  EngineStream(const UpstreamId &upstream, const EngineRequest &request);
  ~EngineStream();
  EngineStream(const EngineStream &) = delete;
  EngineStream &operator=(const EngineStream &) = delete;

  /// Called with each token; returns false to stop the stream.
  using OnToken = std::function<bool(const EngineToken &)>;

  /// Reads the stream to its end. Returns the end, or null if the hook or
  /// cancel() stopped the stream. Throws EngineRefused or EngineFailed.
  std::unique_ptr<EngineEnd> run(const OnToken &onToken);
  /// Stops the stream, from any thread.
  void cancel();

private:
  std::unique_ptr<HttpStream> ResponseStream;
};

/// Fetches the load report of the engine. Throws EngineFailed.
EngineLoad fetchEngineLoad(const UpstreamId &upstream, Duration timeout);

/// Cancels a request at the engine. Waits for the response up to the timeout
/// and ignores a failure.
void cancelEngineRequest(const UpstreamId &upstream,
                         const std::string &requestId, Duration timeout);

/// Makes the engine export the KV cache of a request. Returns the handle with
/// which another engine imports it. Throws EngineFailed.
std::string exportCache(const UpstreamId &upstream,
                        const std::string &requestId, Duration timeout);

} // namespace sorrelbay
