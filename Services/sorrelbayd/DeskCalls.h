#pragma once

#include "AtMostOnceCalls.h"
#include "BundleStore.h"
#include "DaemonSettings.h"
#include "LibBase/LogRateLimiter.h"
#include "LibCaller/CallContext.h"
#include "LibDesk/DeskClient.h"
#include "LibHttp/HttpMessage.h"
#include "LibObjectApi/ObjectApi.h"
#include "Metrics.h"
#include "OpenCalls.h"
#include "RolloutTracker.h"
#include "UpstreamTable.h"
#include <mutex>

namespace sorrelbay {

/// Answers desk calls. Repeatable operations are tried at several replicas; all
/// others run at most once, through AtMostOnceCalls.
class DeskCalls {
public:
  DeskCalls(const DaemonSettings &settings, BundleStore &bundles,
            UpstreamTable &upstreams, RolloutTracker &tracker, OpenCalls &open,
            Metrics &metrics, ObjectApi objects);

  /// Handles `POST /v1/desk/{operation}`. Throws Problem.
  HttpResponse answer(const HttpRequest &request);
  /// Handles `GET /v1/calls/{key}`, which returns the call's outcome. Throws
  /// Problem.
  HttpResponse query(const HttpRequest &request);
  /// Issues a key for a call that does not need the object API, but can only
  /// run through this daemon.
  IdempotencyKey issueTicket(const std::string &ownAddress);

private:
  struct Work;
  std::shared_ptr<Work> prepare(const HttpRequest &request);
  HttpResponse answerRepeatable(Work &work);
  HttpResponse answerAtMostOnce(const std::shared_ptr<Work> &work);
  DeskAnswer sendNext(Work &work);
  DeskCallAnswer forward(const CallContext &context, HttpCall call,
                         const CallTicket &ticket, bool isQuery);
  /// Logs a call that was not done or an attempt that failed, within the rate
  /// limit for such lines.
  void logFailure(const char *event, const IdempotencyKey &key,
                  const char *outcome, const std::string &why);
  void refuseIfMisdirected(const HttpRequest &request,
                           const IdempotencyKey &key) const;

  const DaemonSettings &Settings;
  BundleStore &Bundles;
  UpstreamTable &Upstreams;
  RolloutTracker &Tracker;
  OpenCalls &Open;
  Metrics &Counts;
  AtMostOnceCalls NonRepeatableCalls;
  /// Guards FailureLines; a leaf lock.
  std::mutex LogMutex;
  LogRateLimiter FailureLines;
};

} // namespace sorrelbay
