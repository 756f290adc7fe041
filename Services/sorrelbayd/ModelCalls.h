#pragma once

#include "BundleStore.h"
#include "CallAdmission.h"
#include "DaemonSettings.h"
#include "LibCaller/CallContext.h"
#include "LibEngine/EngineClient.h"
#include "LibHttp/HttpMessage.h"
#include "LiveAnswers.h"
#include "Metrics.h"
#include "OpenCalls.h"
#include "RolloutTracker.h"
#include "StreamRecovery.h"
#include "UpstreamTable.h"
#include <functional>
#include <memory>

namespace sorrelbay {

/// Answers model calls: chooses version and engine, relays the tokens, and
/// goes on at another engine when one breaks.
class ModelCalls {
public:
  ModelCalls(const DaemonSettings &settings, BundleStore &bundles,
             UpstreamTable &upstreams, RolloutTracker &moves, OpenCalls &open,
             Metrics &metrics, LiveAnswers &answers, StreamRecovery &recovery,
             CallAdmission &admitted);

  /// The answer to `POST /v1/chat/completions`. Throws Problem.
  HttpResponse answer(const HttpRequest &request);
  /// The answer to `GET /v1/chat/completions/{id}`: the events after the one
  /// that `Last-Event-ID` names, of an answer whose caller lost its connection.
  /// Throws Problem.
  HttpResponse reconnect(const HttpRequest &request);
  /// Makes the rest of a peer's answer, on this thread; its caller is expected
  /// to reconnect here.
  void adopt(LiveAnswer &answer, const UpstreamId &lastAt);

private:
  /// Called after each token, on the thread that makes the answer.
  using OnProgress = std::function<void()>;
  enum class AttemptEnd { Whole, Lost, Redirected, CallerGone, Moved };

  AnswerRequest prepare(const HttpRequest &request) const;
  std::shared_ptr<CallAdmission::Place> admit(const AnswerRequest &what);
  HttpResponse streamed(const std::shared_ptr<LiveAnswer> &answer,
                        const std::shared_ptr<OpenCallGuard> &open,
                        const std::shared_ptr<CallAdmission::Place> &place);
  HttpResponse whole(LiveAnswer &answer, CallAdmission::Place &place);
  bool relay(LiveAnswer &answer, std::uint64_t reader, const HttpSink &sink);

  /// Runs attempts until the answer has ended or failed.
  void make(LiveAnswer &answer, const UpstreamId &first,
            const OnProgress &onProgress);
  AttemptEnd makeAttempts(LiveAnswer &answer, const UpstreamId &first,
                          const OnProgress &onProgress);
  UpstreamId firstTarget(const LiveAnswer &answer, const UpstreamId &wanted);
  PlacementRequest placementOf(const LiveAnswer &answer) const;
  std::optional<Redirect> nextTarget(LiveAnswer &answer);
  AttemptEnd attempt(LiveAnswer &answer, const Redirect &target,
                     const OnProgress &onProgress);
  bool take(LiveAnswer &answer, const EngineToken &token,
            const OnProgress &onProgress);
  void noteFirstToken(const LiveAnswer &answer);
  void noteFailure(const LiveAnswer &answer, const UpstreamId &upstream);

  const DaemonSettings &Settings;
  BundleStore &Bundles;
  UpstreamTable &Upstreams;
  RolloutTracker &Moves;
  OpenCalls &Open;
  Metrics &Counts;
  LiveAnswers &Answers;
  StreamRecovery &Recovery;
  CallAdmission &Admitted;
};

} // namespace sorrelbay
