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

/// Answers model calls: chooses a version and an engine, relays the tokens, and
/// continues at another engine if one fails.
class ModelCalls {
public:
  ModelCalls(const DaemonSettings &settings, BundleStore &bundles,
             UpstreamTable &upstreams, RolloutTracker &tracker, OpenCalls &open,
             Metrics &metrics, LiveAnswers &answers, StreamRecovery &recovery,
             CallAdmission &admissions);

  /// Handles `POST /v1/chat/completions`. Throws Problem.
  HttpResponse answer(const HttpRequest &request);
  /// Handles `GET /v1/chat/completions/{id}`, by which a caller that lost its
  /// connection gets the events after the one that `Last-Event-ID` names.
  /// Throws Problem.
  HttpResponse reconnect(const HttpRequest &request);
  /// Generates the rest of a peer's answer on this thread. The caller is
  /// expected to reconnect here.
  void adopt(LiveAnswer &answer, const UpstreamId &lastUpstream);

private:
  /// Called after each token, on the thread that generates the answer.
  using OnProgress = std::function<void()>;
  enum class AttemptEnd {
    Whole,
    Lost,
    /// The connection to the engine was lost: it may have crashed.
    ConnectionLost,
    Redirected,
    CallerDisconnected,
    Moved,
    /// Several engines were lost before the answer's first token, which may be
    /// the prompt's fault.
    EnginesLost,
  };

  AnswerRequest prepare(const HttpRequest &request) const;
  std::shared_ptr<CallAdmission::CallSlot>
  admit(const AnswerRequest &callRequest);
  HttpResponse
  streamAnswer(const std::shared_ptr<LiveAnswer> &answer,
               const std::shared_ptr<OpenCallGuard> &open,
               const std::shared_ptr<CallAdmission::CallSlot> &callSlot);
  HttpResponse collectAnswer(LiveAnswer &answer,
                             CallAdmission::CallSlot &callSlot);
  bool relay(LiveAnswer &answer, std::uint64_t reader, const HttpSink &sink);

  /// Runs attempts until the answer has ended or failed.
  void generateAnswer(LiveAnswer &answer, const UpstreamId &first,
                      const OnProgress &onProgress);
  AttemptEnd runAttempts(LiveAnswer &answer, const UpstreamId &first,
                         const OnProgress &onProgress);
  UpstreamId firstTarget(const LiveAnswer &answer, const UpstreamId &wanted);
  PlacementRequest placementOf(const LiveAnswer &answer) const;
  std::optional<Redirect> nextTarget(LiveAnswer &answer);
  AttemptEnd attempt(LiveAnswer &answer, const Redirect &target,
                     const OnProgress &onProgress);
  bool takeToken(LiveAnswer &answer, const EngineToken &token,
                 const OnProgress &onProgress);
  void noteFirstToken(const LiveAnswer &answer);
  void noteFailure(const LiveAnswer &answer, const UpstreamId &upstream);

  const DaemonSettings &Settings;
  BundleStore &Bundles;
  UpstreamTable &Upstreams;
  RolloutTracker &Tracker;
  OpenCalls &Open;
  Metrics &Counts;
  LiveAnswers &Answers;
  StreamRecovery &Recovery;
  CallAdmission &Admissions;
};

} // namespace sorrelbay
