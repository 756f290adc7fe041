#include "ModelCalls.h"
#include "CallChecks.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include "LibCaller/Problem.h"
#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

namespace sorrelbay {

/// The maximum number of failed attempts in succession without a new token, and
/// of failed attempts in total. Attempts that end by a redirect don't count.
/// StreamRecovery sets the delay between attempts.
static constexpr int MaxAttemptsWithoutToken = 10;
static constexpr int MaxLostAttempts = 24;
/// The maximum number of engines whose connections are lost before an answer's
/// first token. A prompt under which engines crash must not end more.
static constexpr std::size_t MaxEnginesLost = 3;
static constexpr Duration ShortRetryAfter = milliseconds(500);
/// How long an answer continues without a reader after its caller's connection
/// broke.
static constexpr Duration ReconnectGrace = seconds(10);

ModelCalls::ModelCalls(const DaemonSettings &settings, BundleStore &bundles,
                       UpstreamTable &upstreams, RolloutTracker &tracker,
                       OpenCalls &open, Metrics &metrics, LiveAnswers &answers,
                       StreamRecovery &recovery, CallAdmission &admissions)
    : Settings(settings), Bundles(bundles), Upstreams(upstreams),
      Tracker(tracker), Open(open), Counts(metrics), Answers(answers),
      Recovery(recovery), Admissions(admissions) {}

static const Route *firstRouteOf(const Bundle &bundle,
                                 const ServiceId &service) {
  for (const Route &it : bundle.Routes)
    if (it.Service == service)
      return &it;
  return nullptr;
}

AnswerRequest ModelCalls::prepare(const HttpRequest &request) const {
  AnswerRequest prepared;
  prepared.Arrival = now();
  prepared.Context = parseCallContext(request, prepared.Arrival);
  prepared.Call = parseModelCall(request.Body);
  const auto bundle = requireBundle(Bundles, Outcome::NotRun);
  requireTeam(*bundle, prepared.Context.FromTeam, Outcome::NotRun);
  const Service *service = findService(*bundle, prepared.Call.Model);
  if (service == nullptr || service->Kind != UpstreamKind::Engine)
    throw Problem(404, "unknown-model",
                  "no model " + prepared.Call.Model.text(), Outcome::NotRun);
  const Route *route = prepared.Context.OnRoute.empty()
                           ? firstRouteOf(*bundle, service->Id)
                           : findRoute(*bundle, prepared.Context.OnRoute);
  if (route == nullptr || route->Service != service->Id)
    throw Problem(404, "unknown-route",
                  "X-Route names no route of this model: " +
                      prepared.Context.OnRoute.text(),
                  Outcome::NotRun);
  prepared.OnRoute = *route;
  prepared.Id = RequestId("req-" + randomHex(24));
  const std::string key = prepared.Context.Key.empty()
                              ? prepared.Id.text()
                              : prepared.Context.Key.text();
  prepared.Version =
      Tracker.choose(*bundle, service->Id, stableHash(key), route->Repeatable);
  return prepared;
}

/// Waits until the call is admitted.
std::shared_ptr<CallAdmission::CallSlot>
ModelCalls::admit(const AnswerRequest &callRequest) {
  constexpr double TokensOfCostOne = 1000;
  QueuedCall call;
  call.OfTeam = callRequest.Context.FromTeam;
  call.Priority = callRequest.OnRoute.Priority;
  call.Cost =
      1 + static_cast<double>(callRequest.Call.PromptTokens) / TokensOfCostOne;
  call.Deadline = callRequest.Context.Deadline;
  try {
    return Admissions.acquireSlot(callRequest.Call.Model, call);
  } catch (const AdmissionRefused &error) {
    Counts.countCall(callRequest.OnRoute.Id.text(), "refused");
    throw Problem(503, "overloaded", error.what(), Outcome::NotRun,
                  error.retryAfter());
  }
}

HttpResponse ModelCalls::answer(const HttpRequest &request) {
  const AnswerRequest callRequest = prepare(request);
  if (!Recovery.mayAdmit(callRequest.Version))
    throw Problem(503, "overloaded", "accepted answers wait for room",
                  Outcome::NotRun, ShortRetryAfter);
  if (!Open.tryBegin())
    throw Problem(503, "overloaded", "every place for calls is taken",
                  Outcome::NotRun, ShortRetryAfter);
  auto open = std::make_shared<OpenCallGuard>(Open);
  const auto callSlot = admit(callRequest);
  const auto answer =
      std::make_shared<LiveAnswer>(callRequest, AnswerStream(callRequest.Id));
  Answers.add(answer);
  if (callRequest.Call.WantsStream)
    return streamAnswer(answer, open, callSlot);
  return collectAnswer(*answer, *callSlot);
}

HttpResponse ModelCalls::collectAnswer(LiveAnswer &answer,
                                       CallAdmission::CallSlot &callSlot) {
  generateAnswer(answer, UpstreamId(), [&callSlot] { callSlot.begin(); });
  if (const auto failure = answer.failure())
    throw Problem(*failure);
  std::string text;
  for (const std::string &it : answer.tokens())
    text += it;
  HttpResponse out;
  out.Body =
      renderCompletion(answer.CallRequest.Id.text(), answer.CallRequest.Call,
                       answer.tokenCount(), text, answer.finishReason());
  return out;
}

static HttpResponse eventStream(const LiveAnswer &answer) {
  HttpResponse out;
  out.ContentType = "text/event-stream";
  out.Headers.push_back({"X-Request-Id", answer.CallRequest.Id.text()});
  return out;
}

static LiveAnswer::Sink eventSink(const LiveAnswer &answer,
                                  const HttpSink &sink) {
  return [&answer, &sink](const AnswerEvent &event) {
    const AnswerRequest &callRequest = answer.CallRequest;
    if (event.IsEnd)
      return sink(renderEndEvent(callRequest.Id.text(), callRequest.Call,
                                 event.Id, answer.finishReason()));
    return sink(renderTokenEvent(callRequest.Id.text(), callRequest.Call,
                                 event.Id, event.Text));
  };
}

HttpResponse ModelCalls::streamAnswer(
    const std::shared_ptr<LiveAnswer> &answer,
    const std::shared_ptr<OpenCallGuard> &open,
    const std::shared_ptr<CallAdmission::CallSlot> &callSlot) {
  HttpResponse out = eventStream(*answer);
  const std::uint64_t reader = answer->beginReading(std::nullopt);
  // The stream owns the call slot and the open call, so that both are released
  // even if the stream is never started.
  out.Stream = [this, answer, reader, open, callSlot](const HttpSink &sink) {
    const LiveAnswer::Sink events = eventSink(*answer, sink);
    generateAnswer(*answer, UpstreamId(), [&] {
      callSlot->begin();
      answer->drain(reader, events);
    });
    return relay(*answer, reader, sink);
  };
  return out;
}

HttpResponse ModelCalls::reconnect(const HttpRequest &request) {
  const CallContext context = parseCallContext(request, now());
  const auto lastEventId = parseLastEventId(request);
  const auto answer =
      Answers.find(RequestId(request.Parts.at(0)), context.FromTeam);
  if (!answer || !answer->CallRequest.Call.WantsStream)
    throw Problem(404, "unknown-request",
                  "no such answer is open here, or it ended too long ago",
                  Outcome::Unknown);
  std::uint64_t reader = 0;
  try {
    reader = answer->beginReading(lastEventId);
  } catch (const UnknownEventId &error) {
    throw Problem(400, "bad-request", error.what(), Outcome::Unknown);
  }
  Open.beginReconnect();
  HttpResponse out = eventStream(*answer);
  out.Stream = [this, answer, reader](const HttpSink &sink) {
    const OpenCallGuard openCall(Open);
    return relay(*answer, reader, sink);
  };
  return out;
}

/// Sends the rest of the answer to the reader. Returns false if the caller has
/// not received the whole answer.
bool ModelCalls::relay(LiveAnswer &answer, std::uint64_t reader,
                       const HttpSink &sink) {
  switch (answer.read(reader, eventSink(answer, sink))) {
  case ReaderEnd::Whole:
    return true;
  case ReaderEnd::Failed:
    return sink("event: error\ndata: " + renderProblem(*answer.failure()).Body +
                "\n");
  case ReaderEnd::Moved:
    return sink("event: moved\ndata: " + answer.handoverNotice() + "\n\n");
  case ReaderEnd::Disconnected:
    break;
  }
  return false;
}

void ModelCalls::adopt(LiveAnswer &answer, const UpstreamId &lastUpstream) {
  const OpenCallGuard openCall(Open);
  generateAnswer(answer, lastUpstream, [] {});
}

void ModelCalls::generateAnswer(LiveAnswer &answer, const UpstreamId &first,
                                const OnProgress &onProgress) {
  const AnswerRequest &callRequest = answer.CallRequest;
  const Span span("model call", callRequest.Context.Trace);
  const AttemptEnd end = runAttempts(answer, first, onProgress);
  Recovery.end(answer);
  const DroppedCount dropped = answer.dropped();
  Counts.countDropped("late", dropped.Late);
  Counts.countDropped("crossed", dropped.Misrouted);
  Counts.countDropped("duplicated", dropped.Duplicated);
  Counts.countDropped("gap", dropped.Gaps);
  Counts.countDropped("truncated", dropped.TruncatedEnds);
  const char *result = end == AttemptEnd::Whole                ? "ok"
                       : end == AttemptEnd::CallerDisconnected ? "caller_gone"
                       : end == AttemptEnd::Moved              ? "moved"
                                                               : "failed";
  Counts.countCall(callRequest.OnRoute.Id.text(), result);
  if (end == AttemptEnd::EnginesLost)
    answer.fail(std::make_shared<const Problem>(
        502, "engines-lost", "each engine was lost that began the answer",
        Outcome::Unknown));
  else if (end != AttemptEnd::Whole && end != AttemptEnd::Moved)
    answer.fail(std::make_shared<const Problem>(
        503, "no-upstream", "no engine could complete the answer",
        Outcome::Unknown, ShortRetryAfter));
}

PlacementRequest ModelCalls::placementOf(const LiveAnswer &answer) const {
  PlacementRequest placement;
  placement.ForService = answer.CallRequest.Call.Model;
  placement.AllowedVersion = answer.CallRequest.Version;
  placement.Tried = Tracker.excludedReplicas(answer.CallRequest.Version);
  placement.PromptTokens = static_cast<std::int64_t>(
      answer.CallRequest.Call.PromptTokens + answer.tokenCount());
  placement.Conversation =
      ConversationKey(answer.CallRequest.Context.FromTeam.text() + "/" +
                      std::to_string(answer.CallRequest.Call.ConversationHash));
  placement.Seed = stableHash(answer.CallRequest.Id.text());
  return placement;
}

ModelCalls::AttemptEnd ModelCalls::runAttempts(LiveAnswer &answer,
                                               const UpstreamId &first,
                                               const OnProgress &onProgress) {
  const PlacementRequest placement = placementOf(answer);
  const UpstreamId begin = firstTarget(answer, first);
  if (begin.empty())
    return AttemptEnd::Lost;
  Recovery.begin(answer, begin);
  std::optional<Redirect> target = Redirect{begin, ""};
  int attemptsWithoutToken = 0;
  std::set<UpstreamId> lostEngines;
  for (int lostAttempts = 0; target && lostAttempts < MaxLostAttempts;) {
    const std::uint64_t before = answer.tokenCount();
    const AttemptEnd end = attempt(answer, *target, onProgress);
    Upstreams.finish(target->To, placement.Conversation,
                     placementOf(answer).PromptTokens, now());
    if (!answer.handoverNotice().empty())
      return AttemptEnd::Moved;
    if (end == AttemptEnd::Whole || end == AttemptEnd::CallerDisconnected)
      return end;
    if (end == AttemptEnd::ConnectionLost && answer.tokenCount() == 0)
      lostEngines.insert(target->To);
    if (lostEngines.size() >= MaxEnginesLost)
      return AttemptEnd::EnginesLost;
    if (end == AttemptEnd::Lost || end == AttemptEnd::ConnectionLost) {
      ++lostAttempts;
      attemptsWithoutToken =
          answer.tokenCount() > before ? 0 : attemptsWithoutToken + 1;
    }
    if (attemptsWithoutToken >= MaxAttemptsWithoutToken)
      break;
    target = nextTarget(answer);
    if (!answer.handoverNotice().empty())
      return AttemptEnd::Moved;
    if (target)
      Upstreams.beginAt(target->To, placementOf(answer), now());
  }
  return AttemptEnd::Lost;
}

/// Returns the wanted engine unless it is leaving, otherwise the engine that
/// the placement chooses. Empty if there is none.
UpstreamId ModelCalls::firstTarget(const LiveAnswer &answer,
                                   const UpstreamId &wanted) {
  const PlacementRequest placement = placementOf(answer);
  if (!wanted.empty() && !Upstreams.isLeaving(wanted)) {
    Upstreams.beginAt(wanted, placement, now());
    return wanted;
  }
  return Upstreams.begin(placement, now()).Upstream.value_or(UpstreamId());
}

/// Waits for a redirect: after the first token until the caller's deadline,
/// before it only while the first token can still meet the latency target.
std::optional<Redirect> ModelCalls::nextTarget(LiveAnswer &answer) {
  const AnswerRequest &callRequest = answer.CallRequest;
  const bool hasBegun = answer.tokenCount() > 0;
  return answer.takeRedirect(
      hasBegun
          ? callRequest.Context.Deadline
          : std::min(callRequest.Context.Deadline,
                     callRequest.Arrival + callRequest.OnRoute.LatencyTarget));
}

/// The attempt's id contains the request's id, so that tokens that arrive on
/// the wrong stream are detected.
static std::string attemptId(const RequestId &request, AnswerAttempt n) {
  return request.text() + "." + std::to_string(n);
}

/// The inverse of attemptId(). A malformed id yields an attempt number that was
/// never used.
static ReceivedToken arrivedToken(const EngineToken &token) {
  const std::size_t dot = token.AttemptId.rfind('.');
  ReceivedToken arrived;
  arrived.Request = RequestId(token.AttemptId.substr(0, dot));
  if (dot != std::string::npos)
    arrived.Attempt =
        std::strtoull(token.AttemptId.c_str() + dot + 1, nullptr, 10);
  arrived.Offset = token.Offset;
  arrived.Text = token.Text;
  return arrived;
}

static EngineRequest engineRequest(const LiveAnswer &answer,
                                   const Redirect &target, AnswerAttempt n) {
  const AnswerRequest &callRequest = answer.CallRequest;
  EngineRequest request;
  request.RequestId = callRequest.Id.text();
  request.AttemptId = attemptId(callRequest.Id, n);
  request.Model = callRequest.Call.Model;
  request.OnRoute = callRequest.OnRoute.Id;
  request.MessagesJson = callRequest.Call.MessagesJson;
  request.MaxTokens = callRequest.Call.MaxTokens;
  request.Priority = callRequest.OnRoute.Priority;
  request.Prefix = answer.tokens();
  request.CacheHandle = target.CacheHandle;
  return request;
}

ModelCalls::AttemptEnd ModelCalls::attempt(LiveAnswer &answer,
                                           const Redirect &target,
                                           const OnProgress &onProgress) {
  const AnswerRequest &callRequest = answer.CallRequest;
  Span span("engine attempt", callRequest.Context.Trace);
  span.setAttribute("upstream", target.To.text());
  EngineRequest request =
      engineRequest(answer, target, answer.beginAttempt(target.To));
  request.Trace = span.context();
  request.Silence = Settings.EngineSilenceTimeout;
  EngineStream stream(target.To, request);
  AttemptEnd result = AttemptEnd::Lost;
  AttemptLoss loss = AttemptLoss::Upstream;
  const char *label = "failed";
  try {
    std::unique_ptr<EngineEnd> end;
    if (answer.setCancelHook([&stream] { stream.cancel(); })) {
      end = stream.run([&](const EngineToken &token) {
        return takeToken(answer, token, onProgress);
      });
      result = end ? AttemptEnd::Whole : AttemptEnd::CallerDisconnected;
    }
    const bool isRedirected = answer.isRedirected();
    if (end) {
      const ReceivedToken from = arrivedToken({end->AttemptId, 0, ""});
      const EndVerdict verdict = answer.finish(
          {from.Request, from.Attempt, end->Length}, end->FinishReason);
      if (verdict != EndVerdict::Whole)
        throw EngineFailed("the answer isn't as long as its end says");
      label = "ok";
      Counts.countTokens(answer.tokenCount());
      Tracker.record({callRequest.Version, callRequest.OnRoute.Id},
                     answer.wasLate() ? UpstreamOutcome::Late
                                      : UpstreamOutcome::Good);
    } else if (isRedirected) {
      result = AttemptEnd::Redirected;
      label = "resumed";
    }
  } catch (const EngineRefused &error) {
    span.setFailed(error.what());
    label = "refused";
    result = AttemptEnd::Lost;
  } catch (const EngineConnectionLost &error) {
    span.setFailed(error.what());
    loss = AttemptLoss::Connection;
    result = AttemptEnd::ConnectionLost;
    noteFailure(answer, target.To);
  } catch (const EngineFailed &error) {
    span.setFailed(error.what());
    result = AttemptEnd::Lost;
    noteFailure(answer, target.To);
  }
  answer.endAttempt();
  Counts.countAttempt(callRequest.Call.Model.text(), label);
  if (result == AttemptEnd::Lost || result == AttemptEnd::ConnectionLost)
    Recovery.lost(answer, target.To, loss);
  return result;
}

/// Handles the next token. Returns false to end the attempt.
bool ModelCalls::takeToken(LiveAnswer &answer, const EngineToken &token,
                           const OnProgress &onProgress) {
  switch (answer.take(arrivedToken(token))) {
  case TokenVerdict::Taken:
    break;
  case TokenVerdict::Gap:
    throw EngineFailed("tokens were lost");
  default:
    return !answer.isRedirected();
  }
  if (answer.isFirstOfAttempt()) {
    Recovery.firstTokenArrived(answer);
    if (token.Offset == 0)
      noteFirstToken(answer);
  }
  onProgress();
  const bool hasCaller = !answer.CallRequest.Call.WantsStream ||
                         answer.unreadFor(now()) < ReconnectGrace;
  return hasCaller && !answer.isRedirected();
}

void ModelCalls::noteFirstToken(const LiveAnswer &answer) {
  Counts.observeFirstToken(answer.CallRequest.OnRoute.Id.text(),
                           now() - answer.CallRequest.Arrival);
}

/// Records a failure of the version, unless the engine is leaving.
void ModelCalls::noteFailure(const LiveAnswer &answer,
                             const UpstreamId &upstream) {
  if (!Upstreams.isLeaving(upstream))
    Tracker.record({answer.CallRequest.Version, answer.CallRequest.OnRoute.Id},
                   UpstreamOutcome::Failed);
}

} // namespace sorrelbay
