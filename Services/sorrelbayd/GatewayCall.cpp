#include "GatewayCall.h"
#include "LibBase/BootClock.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include "LibServing/Allotment.h"
#include "LibServing/StopPolicy.h"
#include <algorithm>

namespace sorrelbay {

namespace {

constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int TooManyRequests = 429;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// Default wait limit of callers that state none, and of routes without a
/// timeout.
constexpr Duration UsualPatience = seconds(30);
/// Most failed connection attempts, with nothing sent, that are followed by an
/// attempt at another upstream.
constexpr int MostNotSent = 3;
/// A call that may run only once uses a pooled connection only if it was in use
/// this recently: a connection that the upstream has just closed would lose the
/// call.
constexpr Duration OnceOnlyFreshness = seconds(1);
constexpr Duration UsualFreshness = seconds(3);
/// Responses up to this size are relayed once they are complete.
constexpr std::size_t WholeAnswerBytes = 256UL * 1024;
/// Reading from the upstream pauses while more than this many bytes wait for a
/// slow caller.
constexpr std::size_t MostWaitingBytes = 256UL * 1024;
/// Share of the caller's remaining time that Retry-After may take.
constexpr double RetryPart = 0.3;
/// An idempotent call is taken away from an upstream that has not responded
/// within its latency target times this factor.
constexpr int SilenceTargets = 3;
/// Prompts whose prefill takes at least this long are reported to peers at
/// once, so that they do not send other calls to the same engine.
constexpr Duration LargePrompt = milliseconds(100);
/// Margin before the end of the key removal bound.
constexpr Duration KeyMargin = milliseconds(100);

} // namespace

void GatewayCall::serve(GatewayState &state,
                        std::shared_ptr<HttpExchange> exchange) {
  std::make_shared<GatewayCall>(state, std::move(exchange))->start();
}

GatewayCall::GatewayCall(GatewayState &state,
                         std::shared_ptr<HttpExchange> exchange)
    : State(state), Exchange(std::move(exchange)),
      Call(state.Hooks.ReadCall(Exchange->request())), ReceivedAt(bootNow()),
      Plan(state.Plan), Timer(state.Loop) {}

void GatewayCall::start() {
  if (!Plan)
    return refuse(Unavailable, "no_plan_yet",
                  jitteredRetryAfter(milliseconds(300)));
  if (!State.knowsUpstreams())
    return refuse(Unavailable, "upstreams_unknown",
                  jitteredRetryAfter(milliseconds(300)));
  if (!findRoute() || !findTeam())
    return;
  const Duration waitLimit = std::min(
      Call.WaitLimit.value_or(UsualPatience),
      Route->Timeout > Duration::zero() ? Route->Timeout : UsualPatience);
  Life.emplace(Route->Kind, std::max(1, Route->MaxAttempts),
               ReceivedAt + waitLimit);
  const WeightedService *service = chooseService(*Route, State.draw());
  if (!service)
    return refuse(Unavailable, "route_without_service", std::nullopt);
  Service = service->Name;
  Work.Tokens = Call.PromptTokens.value_or(0) + Call.MaxOutputTokens;
  const auto repeats = State.Repeats.find(Service);
  if (repeats != State.Repeats.end())
    repeats->second.noteCall();
  if (!chargeUnits() || !admit())
    return;
  Exchange->onClientDisconnected(
      [self = shared_from_this()] { self->onCallerDisconnected(); });
  armTimer();
  trySend();
}

bool GatewayCall::findRoute() {
  Route = Plan->routeOf(Call.HostName, Call.Path);
  if (Route)
    return true;
  if (State.planAge(ReceivedAt) > State.LongestPlanAge)
    refuse(Unavailable, "no_route_and_plan_stale",
           jitteredRetryAfter(milliseconds(300)));
  else
    refuse(NotFound, "no_route", std::nullopt);
  return false;
}

bool GatewayCall::findTeam() {
  if (!Plan->needsKeys() || Route->IsPublic)
    return true;
  const Duration age = State.planAge(ReceivedAt);
  const GatewayBounds &bounds = State.Settings.Bounds;
  // The key may have been removed since the plan was confirmed; a host that is
  // cut off from the store would go on accepting it indefinitely.
  if (bounds.KeysFailClosed && age > bounds.KeyRemoval - KeyMargin) {
    refuse(Unavailable, "keys_stale", jitteredRetryAfter(milliseconds(300)));
    return false;
  }
  Team = Plan->teamOf(Call.Key);
  if (Team)
    return true;
  if (age > State.LongestPlanAge)
    refuse(Unavailable, "no_key_and_plan_stale",
           jitteredRetryAfter(milliseconds(300)));
  else
    refuse(Unauthorized, "no_such_key", std::nullopt);
  return false;
}

bool GatewayCall::chargeUnits() {
  if (!Team)
    return true;
  Units = 1;
  if (Team->CountsTokens)
    Units = Call.PromptTokens ? *Call.PromptTokens + Call.MaxOutputTokens
                              : Team->FallbackTokens;
  TeamRateLimiter &meter = State.RateLimiters[Team->Name];
  const GatewayBounds &bounds = State.Settings.Bounds;
  const Allotment allotment =
      allotmentFor(*Team, State.Fleet.isAggregatedByZone(),
                   {bounds.AllotmentSlack, bounds.AllotmentWindow});
  HasUnits = meter.take(Units, allotment.Rate, allotment.Burst, ReceivedAt);
  if (HasUnits)
    return true;
  refuse(TooManyRequests, "beyond_allotment",
         jitteredRetryAfter(
             std::max<Duration>(milliseconds(100), meter.wait(Team->Rate))));
  return false;
}

bool GatewayCall::admit() {
  if (!State.StoppingSince)
    return true;
  const Duration waitLimit = Life->deadline() - ReceivedAt;
  if (acceptsCallWhileStopping(ReceivedAt - *State.StoppingSince,
                               State.Settings.Bounds.Grace, waitLimit))
    return true;
  // Another host accepts the call at once; address lookups no longer return
  // this host.
  refuse(Unavailable, "stopping", milliseconds(1));
  return false;
}

void GatewayCall::armTimer() {
  Instant at = Life->deadline();
  const bool mayMove = IsOpen && !Now.HasFirstByte &&
                       Route->Kind == Repeatability::Idempotent &&
                       Life->sends() < Route->MaxAttempts &&
                       Route->LatencyTarget > Duration::zero();
  if (mayMove)
    at = std::min(at, Now.At + Route->LatencyTarget * SilenceTargets);
  Timer.expires_after(std::max<Duration>(at - bootNow(), Duration::zero()));
  Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->IsDone)
      self->onTimer();
  });
}

void GatewayCall::onTimer() {
  const Instant now = bootNow();
  if (now < Life->deadline()) {
    // The upstream has not responded; another one may still respond in time.
    if (IsOpen && !Now.HasFirstByte && mayRepeat()) {
      Handle->cancel();
      Life->recordFailure();
      endSend(SendResult::Broken);
      return trySend();
    }
    Timer.expires_after(Life->deadline() - now);
    Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
      if (!ec && !self->IsDone)
        self->onTimer();
    });
    return;
  }
  if (IsOpen) {
    Handle->cancel();
    if (!HasBegun)
      Life->recordFailure();
    endSend(Now.HasFirstByte ? SendResult::Inconclusive : SendResult::Broken);
  }
  if (!HasBegun)
    return finishLocally("deadline");
  cut("deadline");
}

/// Takes one retry of this call out of the retry budget; false if none is left
/// or the route's attempts are used up.
bool GatewayCall::mayRepeat() {
  if (Life->sends() >= Route->MaxAttempts)
    return false;
  auto it = State.Repeats.find(Service);
  return it != State.Repeats.end() &&
         it->second.takeRetry(RetryLayer::EntryHost);
}

/// Whether the upstream may get this call by a new or pooled connection. An
/// upstream accepts a limited number of connections from all hosts together and
/// resets those beyond it along with their calls, so each host uses at most its
/// share.
bool GatewayCall::hasConnectionCapacity(const std::string &address) const {
  const ServingService *service = Plan->service(Service);
  if (!service || service->MaxConnections <= 0 || State.Client.hasIdle(address))
    return true;
  const int most =
      std::max(1, service->MaxConnections / State.Fleet.hostCount());
  return State.Client.connections(address) < static_cast<std::size_t>(most);
}

/// Chooses the upstream for the next attempt. Upstreams without a connection to
/// spare count as tried.
std::optional<ReplicaChoice> GatewayCall::chooseUpstream(Instant now) {
  const ServingService *service = Plan->service(Service);
  ReplicaRequest request;
  request.ForService = Service;
  request.OwnZone = State.Settings.Zone;
  if (service && service->Engine)
    request.Prompt = Call.Prompt;
  request.PromptTokens = Call.PromptTokens.value_or(0);
  request.Seed = State.Random();
  request.Version = State.VersionFor(Service, Call.Id);
  request.RouteRegions = Route->PermittedRegions;
  if (Team)
    request.TeamRegions = Team->PermittedRegions;
  request.Hosts = State.Fleet.hostCount();
  for (;;) {
    request.Tried = Tried;
    auto chosen = State.Replicas.choose(request, now);
    if (!chosen)
      return chosen;
    Tried.push_back(chosen->Id);
    if (hasConnectionCapacity(State.Replicas.find(chosen->Id)->Address))
      return chosen;
  }
}

int GatewayCall::priority() const {
  return Team && Team->Priority ? *Team->Priority : Route->Priority;
}

/// Whether the prompts queued ahead delay the call so much that rejecting it at
/// once is better for its caller.
bool GatewayCall::exceedsFirstTokenLimit(const ReplicaChoice &choice) const {
  if (!Route->IsStream || !State.Replicas.modelOf(Service).hasEnoughSamples())
    return false;
  const Duration longest = State.FirstTokens.maxQueueWait(
      {Service, priority(), Route->LatencyTarget});
  return longest > Duration::zero() && choice.Wait > longest;
}

void GatewayCall::trySend() {
  const Instant now = bootNow();
  if (HasBegun ? !Life->canResume(now) : !Life->canSend(now))
    return finishLocally("no_attempt_left");
  const auto chosen = chooseUpstream(now);
  if (!chosen)
    return finishLocally(State.Replicas.cold(Service, now) > 0
                             ? "upstreams_cold"
                             : "no_upstream");
  const EngineModel &model = State.Replicas.modelOf(Service);
  const double reading =
      model.prefillTime(static_cast<double>(chosen->TokensToPrefill));
  if (!IsDemandCounted)
    State.Demand.note(Service, reading, now);
  IsDemandCounted = true;
  Now = {};
  Now.Expected = *chosen;
  if (Life->sends() == 0 && exceedsFirstTokenLimit(*chosen))
    return refuse(Unavailable, "first_token_too_late",
                  jitteredRetryAfter(chosen->Wait));
  const ReplicaRecord *replica = State.Replicas.find(chosen->Id);
  UpstreamAttempt attempt;
  attempt.Replica = chosen->Id;
  attempt.Address = replica->Address;
  attempt.WaitLimit = Life->deadline() - now;
  if (Team)
    attempt.Team = Team->Name;
  attempt.Priority = priority();
  attempt.ResumeAfter = Events.lastId();
  Now.Replica = chosen->Id;
  Now.OfVersion = replica->OfVersion;
  Now.At = now;
  IsOpen = true;
  Work.PromptTokens = chosen->TokensToPrefill;
  State.Replicas.noteSent(chosen->Id, Work, now);
  State.Replicas.notePrompt(chosen->Id, Call.Prompt, now);
  if (fromSeconds(reading / 1000) >= LargePrompt)
    State.NotifyPeers();
  const bool isOnceOnly = Route->Kind == Repeatability::NonIdempotent;
  Handle = State.Client.send(
      replica->Address, State.Hooks.UpstreamCall(Exchange->request(), attempt),
      hooksFor(), isOnceOnly ? OnceOnlyFreshness : UsualFreshness);
  armTimer();
}

HttpCallHooks GatewayCall::hooksFor() {
  HttpCallHooks hooks;
  const auto self = shared_from_this();
  hooks.IsForThisCall = [self](const HttpReplyHead &head) {
    const std::string id = self->State.Hooks.ReadReplyInfo(head).Id;
    return id.empty() || id == self->Call.Id;
  };
  hooks.OnSending = [self] {
    self->Now.WasSending = true;
    self->Life->recordSend();
  };
  hooks.OnHead = [self](const HttpReplyHead &head) { self->onHead(head); };
  hooks.OnBody = [self](std::string_view bytes) { self->onBody(bytes); };
  hooks.OnEnd = [self] { self->onEnd(); };
  hooks.OnFailure = [self](HttpFailure why) { self->onFailure(why); };
  return hooks;
}

void GatewayCall::onHead(const HttpReplyHead &head) {
  Now.Head = head;
  const UpstreamReplyInfo verdict = State.Hooks.ReadReplyInfo(head);
  Now.IsNotRun = verdict.IsNotRun;
  const bool isNamed = !verdict.Id.empty() || Call.Id.empty();
  // A successful response without an id may belong to any call.
  if (isSuccess() && !isNamed) {
    Handle->cancel();
    return onFailure(HttpFailure::Broken);
  }
  // An error response must not continue a response of which another attempt has
  // sent a part.
  Now.IsDiscarded = Now.IsNotRun || (HasBegun && !isSuccess());
}

void GatewayCall::noteCallStarted() {
  if (IsCounted || !Team)
    return;
  IsCounted = true;
  State.Usage.noteCallStarted(
      Team->Name, State.Time.at(Route->IsStream ? bootNow() : Now.At));
}

void GatewayCall::noteFirstByte() {
  const Instant now = bootNow();
  Now.HasFirstByte = true;
  Now.FirstByteAt = now;
  State.Replicas.noteFirstByte(Now.Replica, Work);
  const bool isRead = Route->IsStream && isSuccess() && !Now.IsNotRun;
  if (isRead && Call.PromptTokens && !State.wasStalled(now)) {
    const ReplicaChoice &expected = Now.Expected;
    State.Replicas.noteFirstToken(
        Now.Replica, {expected.TokensToPrefill + expected.Ahead, now - Now.At},
        now);
  }
  if (FirstByteAt == Instant{})
    FirstByteAt = now;
  if (!Now.IsNotRun)
    noteCallStarted();
  armTimer();
}

void GatewayCall::onBody(std::string_view bytes) {
  if (!Now.HasFirstByte) {
    noteFirstByte();
  }
  if (Now.IsDiscarded)
    return;
  if (Route->IsStream && isSuccess())
    return passOn(bytes);
  Body.append(bytes);
  if (Body.size() <= WholeAnswerBytes)
    return;
  if (!HasBegun)
    beginResponse();
  Exchange->write(Body);
  Body.clear();
}

void GatewayCall::beginResponse() {
  HasBegun = true;
  Life->recordResponseStarted();
  Exchange->onDrained([self = shared_from_this()] {
    if (self->IsOpen && self->Handle)
      self->Handle->resume();
  });
  Exchange->begin(Now.Head.Status,
                  State.Hooks.ResponseHeaders(Now.Head.Headers),
                  Now.Head.Length);
}

void GatewayCall::passOn(std::string_view bytes) {
  if (!HasBegun)
    beginResponse();
  if (Route->IsResumable)
    Exchange->write(Events.feed(bytes));
  else
    Exchange->write(bytes);
  if (Exchange->queuedBytes() > MostWaitingBytes)
    Handle->pause();
}

void GatewayCall::endSend(SendResult result) {
  if (!IsOpen)
    return;
  IsOpen = false;
  recordOutcome(result);
  State.Replicas.noteEnded(Now.Replica, Work, Now.HasFirstByte, result,
                           bootNow());
}

/// Records the attempt's outcome for its version while the service is being
/// rolled out.
void GatewayCall::recordOutcome(SendResult result) {
  if (result == SendResult::TurnedAway || result == SendResult::Inconclusive ||
      !Now.WasSending)
    return;
  UpstreamOutcome outcome = UpstreamOutcome::Failed;
  if (result == SendResult::Answered) {
    const bool isLate = Route->LatencyTarget > Duration::zero() &&
                        Now.FirstByteAt - Now.At > Route->LatencyTarget;
    outcome = isLate ? UpstreamOutcome::Late : UpstreamOutcome::Good;
  }
  State.RecordOutcome(Service, Now.OfVersion, Route->Name, outcome);
}

void GatewayCall::onEnd() {
  if (IsDone)
    return;
  if (Now.IsNotRun) {
    Life->recordNotRun();
    endSend(SendResult::TurnedAway);
    return retryOrFinish("upstream_turned_away");
  }
  if (!isSuccess()) {
    endSend(SendResult::Failed);
    const bool mayGoOn = Now.Head.Status >= 500 && !HasBegun &&
                         Route->Kind == Repeatability::Idempotent;
    if (mayGoOn) {
      const std::string body = std::move(Body);
      Body.clear();
      Life->recordFailure();
      if (Life->canSend(bootNow()) && mayRepeat())
        return trySend();
      Body = body;
    }
    if (HasBegun && Now.IsDiscarded)
      return cut("resume_failed");
    noteCallStarted();
    return finishResponse();
  }
  noteCallStarted();
  endSend(SendResult::Answered);
  finishResponse();
}

void GatewayCall::finishResponse() {
  IsDone = true;
  Timer.cancel();
  if (!HasBegun) {
    log("answered", Now.Head.Status, "");
    Exchange->respond(Now.Head.Status,
                      State.Hooks.ResponseHeaders(Now.Head.Headers),
                      std::move(Body));
    return;
  }
  if (Route->IsResumable)
    Exchange->write(Events.takePartialEvent());
  Exchange->write(Body);
  Exchange->end();
  log("answered", Now.Head.Status, "");
}

void GatewayCall::onFailure(HttpFailure why) {
  if (IsDone)
    return;
  if (why == HttpFailure::NotSent && !Now.WasSending) {
    endSend(SendResult::Broken);
    if (++NotSent <= MostNotSent)
      return trySend();
    return finishLocally("no_connection");
  }
  if (HasBegun) {
    endSend(SendResult::Broken);
    Life->recordFailure();
    return resume() ? trySend() : cut("upstream_broke_off");
  }
  if (Now.IsNotRun)
    Life->recordNotRun();
  else
    Life->recordFailure();
  endSend(SendResult::Broken);
  Body.clear();
  retryOrFinish(why == HttpFailure::Truncated ? "upstream_truncated"
                                              : "upstream_broke_off");
}

/// Whether a stream whose upstream broke off may continue at another one, after
/// the last complete event and within the same response, so that its caller
/// sees a pause instead of a cut.
bool GatewayCall::resume() {
  if (!Route->IsResumable || !Life->canResume(bootNow()) || !mayRepeat())
    return false;
  Events.takePartialEvent();
  LogLine(Severity::Info, "stream goes on elsewhere")
      .field("id", Call.Id)
      .field("from", Now.Replica.text())
      .field("after_event", Events.lastId());
  return true;
}

/// Aborts a response that has begun and cannot be completed, so that its caller
/// can tell.
void GatewayCall::cut(const char *cause) {
  log("cut", Now.Head.Status, cause);
  IsDone = true;
  Timer.cancel();
  Exchange->abort();
}

void GatewayCall::retryOrFinish(const char *cause) {
  Body.clear();
  const Instant now = bootNow();
  const bool mayGoOn = HasBegun ? Life->canResume(now) : Life->canSend(now);
  if (mayGoOn && mayRepeat())
    return trySend();
  finishLocally(cause);
}

void GatewayCall::onCallerDisconnected() {
  if (IsDone)
    return;
  IsDone = true;
  Timer.cancel();
  if (IsOpen)
    Handle->cancel();
  endSend(SendResult::Inconclusive);
  log("caller_left", 0, "");
}

void GatewayCall::finishLocally(const char *cause) {
  if (HasBegun)
    return cut(cause);
  switch (Life->failureKind(bootNow())) {
  case CallFailureKind::NotRun:
    return refuse(Unavailable, cause, jitteredRetryAfter(milliseconds(100)));
  case CallFailureKind::Unknown:
    return refuse(BadGateway, cause, std::nullopt);
  case CallFailureKind::TimedOut:
    return refuse(GatewayTimeout, cause, std::nullopt);
  }
}

/// A random time after which the caller may retry: callers must not all return
/// at the same time, and must have time left for the call itself.
Duration GatewayCall::jitteredRetryAfter(Duration least) {
  const Duration waitLimit = Call.WaitLimit.value_or(UsualPatience);
  const Duration left = ReceivedAt + waitLimit - bootNow();
  const Duration most = std::max<Duration>(
      Duration::zero(), fromSeconds(toSeconds(left) * RetryPart));
  const Duration spread = fromSeconds(toSeconds(least) * (1 + State.draw()));
  return std::min(most, spread);
}

void GatewayCall::refuse(int status, const char *cause,
                         std::optional<Duration> retryAfter) {
  IsDone = true;
  Timer.cancel();
  if (HasUnits && (status == Unavailable || status == TooManyRequests))
    State.RateLimiters[Team->Name].giveBack(Units);
  log("refused", status, cause);
  Exchange->respond(status, State.Hooks.LocalResponseHeaders(Call, retryAfter),
                    "");
}

void GatewayCall::log(const char *outcome, int status, const char *cause) {
  const Instant now = bootNow();
  const std::string route = Route ? Route->Name.text() : "";
  State.Counts.countCall(route, *cause == 0 ? outcome : cause);
  if (FirstByteAt != Instant{})
    State.Counts.observeFirstToken(route, FirstByteAt - ReceivedAt);
  if (FirstByteAt != Instant{} && Now.Expected.FirstToken > Duration::zero())
    State.Counts.observeExpectedFirstToken(route, Now.Expected.FirstToken);
  const bool isGood = status / 100 == 2 && *cause == 0;
  LogRateLimiter &budget =
      isGood ? State.SuccessLogBudget : State.FailureLogBudget;
  if (!budget.take(now))
    return;
  LogLine line(isGood ? Severity::Info : Severity::Warning, "call");
  line.field("id", Call.Id)
      .field("outcome", outcome)
      .field("status", static_cast<std::int64_t>(status))
      .field("cause", cause)
      .field("ms", toMilliseconds(now - ReceivedAt));
  if (Route)
    line.field("route", Route->Name.text());
  if (Team)
    line.field("team", Team->Name.text()).field("units", Units);
  if (Team && status == TooManyRequests)
    line.field("level", State.RateLimiters[Team->Name].level())
        .field("rate", Team->Rate)
        .field("burst", Team->Burst);
  if (Life)
    line.field("sends", static_cast<std::int64_t>(Life->sends()));
  if (!Now.Replica.empty())
    line.field("upstream", Now.Replica.text());
  if (Now.Expected.FirstToken > Duration::zero())
    line.field("expected_wait_ms", toMilliseconds(Now.Expected.Wait))
        .field("expected_first_byte_ms",
               toMilliseconds(Now.Expected.FirstToken))
        .field("tokens_to_read", Now.Expected.TokensToPrefill)
        .field("tokens_ahead", Now.Expected.Ahead);
  if (FirstByteAt != Instant{})
    line.field("first_byte_ms", toMilliseconds(FirstByteAt - ReceivedAt));
  if (Plan)
    line.field("plan", static_cast<std::int64_t>(Plan->plan().Version))
        .field("plan_age_ms", toMilliseconds(State.planAge(now)));
}

} // namespace sorrelbay
