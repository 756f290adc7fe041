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

/// Answers desk calls. Those that may be repeated are tried at several
/// replicas; all others run at most once, by way of AtMostOnceCalls.
class DeskCalls {
public:
  DeskCalls(const DaemonSettings &settings, BundleStore &bundles,
            UpstreamTable &upstreams, RolloutTracker &moves, OpenCalls &open,
            Metrics &metrics, ObjectApi objects);

  /// The answer to `POST /v1/desk/{operation}`. Throws Problem.
  HttpResponse answer(const HttpRequest &request);
  /// The answer to `GET /v1/calls/{key}`: what became of the call. Throws
  /// Problem.
  HttpResponse query(const HttpRequest &request);
  /// A key that runs without the object API, but only through this daemon.
  IdempotencyKey issueTicket(const std::string &ownAddress);

private:
  struct Work;
  std::shared_ptr<Work> prepare(const HttpRequest &request);
  HttpResponse answerRepeatable(Work &work);
  HttpResponse answerOnce(const std::shared_ptr<Work> &work);
  DeskAnswer sendNext(Work &work);
  DeskCallAnswer forward(const CallContext &context, HttpCall call,
                         const CallTicket &ticket, bool isQuery);
  /// A line for a call that was not done, or for one try that came to nothing.
  void logFailure(const char *event, const IdempotencyKey &key,
                  const char *outcome, const std::string &why);
  void refuseIfMisdirected(const HttpRequest &request,
                           const IdempotencyKey &key) const;

  const DaemonSettings &Settings;
  BundleStore &Bundles;
  UpstreamTable &Upstreams;
  RolloutTracker &Moves;
  OpenCalls &Open;
  Metrics &Counts;
  AtMostOnceCalls Once;
  /// A leaf lock; belongs to the budget.
  std::mutex LogMutex;
  LogRateLimiter FailureLines;
};

} // namespace sorrelbay
