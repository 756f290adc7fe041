#include "ModelCalls.h"
#include "CallChecks.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include "LibCaller/Problem.h"
#include <algorithm>
#include <cstdlib>
#include <utility>

namespace sorrelbay {

/// Attempts that may fail one after the other without a token between them, and
/// in all; what a recovery redirects is not counted. The recovery makes pauses.
static constexpr int MaxFruitlessAttempts = 10;
static constexpr int MaxLostAttempts = 24;
static constexpr Duration ComeBackSoon = milliseconds(500);
/// How long an answer is made on for a caller whose connection broke.
static constexpr Duration ReconnectGrace = seconds(10);

ModelCalls::ModelCalls(const DaemonSettings &settings, BundleStore &bundles,
                       UpstreamTable &upstreams, RolloutTracker &moves,
                       OpenCalls &open, Metrics &metrics, LiveAnswers &answers,
                       StreamRecovery &recovery, CallAdmission &admitted)
    : Settings(settings), Bundles(bundles), Upstreams(upstreams), Moves(moves),
      Open(open), Counts(metrics), Answers(answers), Recovery(recovery),
      Admitted(admitted) {}

static const Route *firstRouteOf(const Bundle &bundle,
                                 const ServiceId &service) {
  for (const Route &it : bundle.Routes)
    if (it.Service == service)
      return &it;
  return nullptr;
}

AnswerRequest ModelCalls::prepare(const HttpRequest &request) const {
  AnswerRequest work;
  work.Arrival = now();
  work.Context = parseCallContext(request, work.Arrival);
  work.Call = parseModelCall(request.Body);
  const auto bundle = requireBundle(Bundles, Outcome::NotRun);
  requireTeam(*bundle, work.Context.FromTeam, Outcome::NotRun);
  const Service *service = findService(*bundle, work.Call.Model);
  if (service == nullptr || service->Kind != UpstreamKind::Engine)
    throw Problem(404, "unknown-model", "no model " + work.Call.Model.text(),
                  Outcome::NotRun);
  const Route *route = work.Context.OnRoute.empty()
                           ? firstRouteOf(*bundle, service->Id)
                           : findRoute(*bundle, work.Context.OnRoute);
  if (route == nullptr || route->Service != service->Id)
    throw Problem(404, "unknown-route",
                  "X-Route names no route of this model: " +
                      work.Context.OnRoute.text(),
                  Outcome::NotRun);
  work.OnRoute = *route;
  work.Id = RequestId("req-" + randomHex(24));
  const std::string key =
      work.Context.Key.empty() ? work.Id.text() : work.Context.Key.text();
  work.Version =
      Moves.choose(*bundle, service->Id, stableHash(key), route->Repeatable);
  return work;
}

/// Waits for the call's turn.
std::shared_ptr<CallAdmission::Place>
ModelCalls::admit(const AnswerRequest &what) {
  constexpr double TokensOfCostOne = 1000;
  QueuedCall call;
  call.OfTeam = what.Context.FromTeam;
  call.Priority = what.OnRoute.Priority;
  call.Cost = 1 + static_cast<double>(what.Call.PromptTokens) / TokensOfCostOne;
  call.Deadline = what.Context.Deadline;
  try {
    return Admitted.enter(what.Call.Model, call);
  } catch (const AdmissionRefused &error) {
    Counts.countCall(what.OnRoute.Id.text(), "refused");
    throw Problem(503, "overloaded", error.what(), Outcome::NotRun,
                  error.retryAfter());
  }
}

HttpResponse ModelCalls::answer(const HttpRequest &request) {
  const AnswerRequest what = prepare(request);
  if (!Recovery.mayAdmit(what.Version))
    throw Problem(503, "overloaded", "accepted answers wait for room",
                  Outcome::NotRun, ComeBackSoon);
  if (!Open.tryBegin())
    throw Problem(503, "overloaded", "every place for calls is taken",
                  Outcome::NotRun, ComeBackSoon);
  auto open = std::make_shared<OpenCallGuard>(Open);
  const auto place = admit(what);
  const auto answer = std::make_shared<LiveAnswer>(what, AnswerStream(what.Id));
  Answers.add(answer);
  if (what.Call.WantsStream)
    return streamed(answer, open, place);
  return whole(*answer, *place);
}

HttpResponse ModelCalls::whole(LiveAnswer &answer,
                               CallAdmission::Place &place) {
  make(answer, UpstreamId(), [&place] { place.begin(); });
  if (const auto failure = answer.failure())
    throw Problem(*failure);
  std::string text;
  for (const std::string &it : answer.tokens())
    text += it;
  HttpResponse out;
  out.Body = renderCompletion(answer.What.Id.text(), answer.What.Call,
                              answer.tokenCount(), text, answer.finishReason());
  return out;
}

static HttpResponse eventStream(const LiveAnswer &answer) {
  HttpResponse out;
  out.ContentType = "text/event-stream";
  out.Headers.push_back({"X-Request-Id", answer.What.Id.text()});
  return out;
}

static LiveAnswer::Sink eventSink(const LiveAnswer &answer,
                                  const HttpSink &sink) {
  return [&answer, &sink](const AnswerEvent &event) {
    const AnswerRequest &what = answer.What;
    if (event.IsEnd)
      return sink(renderEndEvent(what.Id.text(), what.Call, event.Id,
                                 answer.finishReason()));
    return sink(
        renderTokenEvent(what.Id.text(), what.Call, event.Id, event.Text));
  };
}

HttpResponse
ModelCalls::streamed(const std::shared_ptr<LiveAnswer> &answer,
                     const std::shared_ptr<OpenCallGuard> &open,
                     const std::shared_ptr<CallAdmission::Place> &place) {
  HttpResponse out = eventStream(*answer);
  const std::uint64_t reader = answer->beginReading(std::nullopt);
  // Both places are given back with the stream, also if it is never begun.
  out.Stream = [this, answer, reader, open, place](const HttpSink &sink) {
    const LiveAnswer::Sink events = eventSink(*answer, sink);
    make(*answer, UpstreamId(), [&] {
      place->begin();
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
  if (!answer || !answer->What.Call.WantsStream)
    throw Problem(404, "unknown-request",
                  "no such answer is open here, or it ended too long ago",
                  Outcome::Unknown);
  std::uint64_t reader = 0;
  try {
    reader = answer->beginReading(lastEventId);
  } catch (const UnknownEventId &error) {
    throw Problem(400, "bad-request", error.what(), Outcome::Unknown);
  }
  Open.beginAgain();
  HttpResponse out = eventStream(*answer);
  out.Stream = [this, answer, reader](const HttpSink &sink) {
    const OpenCallGuard place(Open);
    return relay(*answer, reader, sink);
  };
  return out;
}

/// Gives the reader the rest. False if the caller hasn't got the whole.
bool ModelCalls::relay(LiveAnswer &answer, std::uint64_t reader,
                       const HttpSink &sink) {
  switch (answer.read(reader, eventSink(answer, sink))) {
  case ReaderEnd::Whole:
    return true;
  case ReaderEnd::Failed:
    return sink("event: error\ndata: " + renderProblem(*answer.failure()).Body +
                "\n");
  case ReaderEnd::Moved:
    return sink("event: moved\ndata: " + answer.movedTo() + "\n\n");
  case ReaderEnd::Gone:
    break;
  }
  return false;
}

void ModelCalls::adopt(LiveAnswer &answer, const UpstreamId &lastAt) {
  const OpenCallGuard place(Open);
  make(answer, lastAt, [] {});
}

void ModelCalls::make(LiveAnswer &answer, const UpstreamId &first,
                      const OnProgress &onProgress) {
  const AnswerRequest &what = answer.What;
  const Span span("model call", what.Context.Trace);
  const AttemptEnd end = makeAttempts(answer, first, onProgress);
  Recovery.end(answer);
  const DroppedCount dropped = answer.dropped();
  Counts.countDropped("late", dropped.Late);
  Counts.countDropped("crossed", dropped.Misrouted);
  Counts.countDropped("duplicated", dropped.Duplicated);
  Counts.countDropped("gap", dropped.Gaps);
  Counts.countDropped("truncated", dropped.TruncatedEnds);
  const char *result = end == AttemptEnd::Whole        ? "ok"
                       : end == AttemptEnd::CallerGone ? "caller_gone"
                       : end == AttemptEnd::Moved      ? "moved"
                                                       : "failed";
  Counts.countCall(what.OnRoute.Id.text(), result);
  if (end != AttemptEnd::Whole && end != AttemptEnd::Moved)
    answer.fail(std::make_shared<const Problem>(
        503, "no-upstream", "no engine could complete the answer",
        Outcome::Unknown, ComeBackSoon));
}

PlacementRequest ModelCalls::placementOf(const LiveAnswer &answer) const {
  PlacementRequest placement;
  placement.ForService = answer.What.Call.Model;
  placement.AllowedVersion = answer.What.Version;
  placement.Tried = Moves.unpackedReplicas(answer.What.Version);
  placement.PromptTokens = static_cast<std::int64_t>(
      answer.What.Call.PromptTokens + answer.tokenCount());
  placement.Conversation =
      ConversationKey(answer.What.Context.FromTeam.text() + "/" +
                      std::to_string(answer.What.Call.ConversationHash));
  placement.Seed = stableHash(answer.What.Id.text());
  return placement;
}

ModelCalls::AttemptEnd ModelCalls::makeAttempts(LiveAnswer &answer,
                                                const UpstreamId &first,
                                                const OnProgress &onProgress) {
  const PlacementRequest placement = placementOf(answer);
  const UpstreamId begin = firstTarget(answer, first);
  if (begin.empty())
    return AttemptEnd::Lost;
  Recovery.begin(answer, begin);
  std::optional<Redirect> target = Redirect{begin, ""};
  int fruitless = 0;
  for (int lost = 0; target && lost < MaxLostAttempts;) {
    const std::uint64_t before = answer.tokenCount();
    const AttemptEnd end = attempt(answer, *target, onProgress);
    Upstreams.finish(target->To, placement.Conversation,
                     placementOf(answer).PromptTokens, now());
    if (!answer.movedTo().empty())
      return AttemptEnd::Moved;
    if (end == AttemptEnd::Whole || end == AttemptEnd::CallerGone)
      return end;
    if (end == AttemptEnd::Lost) {
      ++lost;
      fruitless = answer.tokenCount() > before ? 0 : fruitless + 1;
    }
    if (fruitless >= MaxFruitlessAttempts)
      break;
    target = nextTarget(answer);
    if (!answer.movedTo().empty())
      return AttemptEnd::Moved;
    if (target)
      Upstreams.beginAt(target->To, placementOf(answer), now());
  }
  return AttemptEnd::Lost;
}

/// The engine that is wanted, if it stays; else the one that is placed. Empty
/// if there is none.
UpstreamId ModelCalls::firstTarget(const LiveAnswer &answer,
                                   const UpstreamId &wanted) {
  const PlacementRequest placement = placementOf(answer);
  if (!wanted.empty() && !Upstreams.isLeaving(wanted)) {
    Upstreams.beginAt(wanted, placement, now());
    return wanted;
  }
  return Upstreams.begin(placement, now()).Upstream.value_or(UpstreamId());
}

/// An answer that has begun is worth waiting for as long as its caller does;
/// before the first token, only while that can still come in time.
std::optional<Redirect> ModelCalls::nextTarget(LiveAnswer &answer) {
  const AnswerRequest &what = answer.What;
  const bool hasBegun = answer.tokenCount() > 0;
  return answer.takeRedirect(
      hasBegun ? what.Context.Deadline
               : std::min(what.Context.Deadline,
                          what.Arrival + what.OnRoute.LatencyTarget));
}

/// An attempt's id names its request, so that tokens that come to the wrong
/// stream are known by it.
static std::string attemptId(const RequestId &request, AnswerAttempt n) {
  return request.text() + "." + std::to_string(n);
}

/// The inverse of attemptId; what isn't one is an attempt that never was.
static ArrivedToken arrivedToken(const EngineToken &token) {
  const std::size_t dot = token.AttemptId.rfind('.');
  ArrivedToken arrived;
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
  const AnswerRequest &what = answer.What;
  EngineRequest request;
  request.RequestId = what.Id.text();
  request.AttemptId = attemptId(what.Id, n);
  request.Model = what.Call.Model;
  request.OnRoute = what.OnRoute.Id;
  request.MessagesJson = what.Call.MessagesJson;
  request.MaxTokens = what.Call.MaxTokens;
  request.Priority = what.OnRoute.Priority;
  request.Prefix = answer.tokens();
  request.CacheHandle = target.CacheHandle;
  return request;
}

ModelCalls::AttemptEnd ModelCalls::attempt(LiveAnswer &answer,
                                           const Redirect &target,
                                           const OnProgress &onProgress) {
  const AnswerRequest &what = answer.What;
  Span span("engine attempt", what.Context.Trace);
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
    if (answer.attach([&stream] { stream.cancel(); })) {
      end = stream.run([&](const EngineToken &token) {
        return take(answer, token, onProgress);
      });
      result = end ? AttemptEnd::Whole : AttemptEnd::CallerGone;
    }
    const bool isRedirected = answer.isRedirected();
    if (end) {
      const ArrivedToken from = arrivedToken({end->AttemptId, 0, ""});
      const EndVerdict verdict = answer.finish(
          {from.Request, from.Attempt, end->Length}, end->FinishReason);
      if (verdict != EndVerdict::Whole)
        throw EngineFailed("the answer isn't as long as its end says");
      label = "ok";
      Counts.countTokens(answer.tokenCount());
      Moves.record({what.Version, what.OnRoute.Id},
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
    result = AttemptEnd::Lost;
    noteFailure(answer, target.To);
  } catch (const EngineFailed &error) {
    span.setFailed(error.what());
    result = AttemptEnd::Lost;
    noteFailure(answer, target.To);
  }
  answer.endAttempt();
  Counts.countAttempt(what.Call.Model.text(), label);
  if (result == AttemptEnd::Lost)
    Recovery.lost(answer, target.To, loss);
  return result;
}

/// Takes a token as it comes; false ends the attempt.
bool ModelCalls::take(LiveAnswer &answer, const EngineToken &token,
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
  const bool hasCaller =
      !answer.What.Call.WantsStream || answer.unreadFor(now()) < ReconnectGrace;
  return hasCaller && !answer.isRedirected();
}

void ModelCalls::noteFirstToken(const LiveAnswer &answer) {
  Counts.observeFirstToken(answer.What.OnRoute.Id.text(),
                           now() - answer.What.Arrival);
}

/// A failure speaks against the version, unless the engine is on its way out.
void ModelCalls::noteFailure(const LiveAnswer &answer,
                             const UpstreamId &upstream) {
  if (!Upstreams.isLeaving(upstream))
    Moves.record({answer.What.Version, answer.What.OnRoute.Id},
                 UpstreamOutcome::Failed);
}

} // namespace sorrelbay
