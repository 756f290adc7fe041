#include "GatewayCall.h"
#include "LibBase/BootClock.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include "LibHttp/TimerExpiry.h"
#include "LibServing/Allotment.h"
#include "LibServing/StopPolicy.h"
#include "ResponseStatements.h"
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
constexpr Duration DefaultWaitLimit = seconds(30);
/// Most failed connection attempts, with nothing sent, that are followed by an
/// attempt at another upstream.
constexpr int MaxFailedConnects = 3;
/// A call that may run only once uses a pooled connection only if it was in use
/// this recently: a connection that the upstream has just closed would lose the
/// call.
constexpr Duration OnceOnlyFreshness = seconds(1);
constexpr Duration DefaultFreshness = seconds(3);
/// Responses up to this size are relayed once they are complete.
constexpr std::size_t MaxBufferedResponse = 256UL * 1024;
/// Reading from the upstream pauses while more than this many bytes wait for a
/// slow caller.
constexpr std::size_t MaxQueuedBytes = 256UL * 1024;
/// Shortest Retry-After of a call that did not run, before jitter.
constexpr Duration MinRetryAfter = milliseconds(100);
/// Callers that wait for an upstream whose time of return is known return
/// within this time after it.
constexpr Duration MaxWaitSpread = seconds(1);
/// Share of the caller's remaining time that Retry-After may take.
constexpr double MaxRetryAfterShare = 0.3;
/// An idempotent call is sent to another upstream if no response has arrived
/// after this multiple of the route's latency target.
constexpr int SilenceTimeoutFactor = 3;
/// Prompts whose prefill takes at least this long are reported to peers at
/// once, so that they do not send other calls to the same engine.
constexpr Duration LargePrompt = milliseconds(100);
/// Margin before the end of the key removal bound.
constexpr Duration KeyRemovalMargin = milliseconds(100);

const char *causeOf(UnavailabilityCause cause) {
  switch (cause) {
  case UnavailabilityCause::Cold:
    return "upstreams_cold";
  case UnavailabilityCause::Limited:
    return "upstreams_limited";
  case UnavailabilityCause::Paused:
    return "upstreams_paused";
  case UnavailabilityCause::NoUpstream:
    break;
  }
  return "no_upstream";
}

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
      Call.WaitLimit.value_or(DefaultWaitLimit),
      Route->Timeout > Duration::zero() ? Route->Timeout : DefaultWaitLimit);
  RetryState.emplace(Route->Kind, std::max(1, Route->MaxAttempts),
                     ReceivedAt + waitLimit);
  const WeightedService *service =
      chooseService(*Route, State.randomFraction());
  if (!service)
    return refuse(Unavailable, "route_without_service", std::nullopt);
  Service = service->Name;
  Upstreams.emplace(State, PlacedCall{Call, *Plan, *Route, Team, Service});
  ExpectedCost.Tokens = Call.PromptTokens.value_or(0) + Call.MaxOutputTokens;
  const auto retryBudget = State.RetryBudgets.find(Service);
  if (retryBudget != State.RetryBudgets.end())
    retryBudget->second.noteCall();
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
  if (bounds.KeysFailClosed && age > bounds.KeyRemoval - KeyRemovalMargin) {
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
  TeamRateLimiter &rateLimiter = State.RateLimiters[Team->Name];
  const GatewayBounds &bounds = State.Settings.Bounds;
  const Allotment allotment =
      allotmentFor(*Team, State.Fleet.isAggregatedByZone(),
                   {bounds.AllotmentSlack, bounds.AllotmentWindow});
  HasChargedUnits =
      rateLimiter.take(Units, allotment.Rate, allotment.Burst, ReceivedAt);
  if (HasChargedUnits)
    return true;
  refuse(TooManyRequests, "beyond_allotment",
         jitteredRetryAfter(std::max<Duration>(milliseconds(100),
                                               rateLimiter.wait(Team->Rate))));
  return false;
}

bool GatewayCall::admit() {
  if (!State.StoppingSince)
    return true;
  const Duration waitLimit = RetryState->deadline() - ReceivedAt;
  if (acceptsCallWhileStopping(ReceivedAt - *State.StoppingSince,
                               State.Settings.Bounds.Grace, waitLimit))
    return true;
  // Another host accepts the call at once; address lookups no longer return
  // this host.
  refuse(Unavailable, "stopping", milliseconds(1));
  return false;
}

void GatewayCall::armTimer() {
  Instant at = RetryState->deadline();
  const bool canSwitchUpstream = IsOpen && !CurrentSend.HasFirstByte &&
                                 Route->Kind == Repeatability::Idempotent &&
                                 RetryState->sends() < Route->MaxAttempts &&
                                 Route->LatencyTarget > Duration::zero();
  if (canSwitchUpstream)
    at = std::min(at,
                  CurrentSend.At + Route->LatencyTarget * SilenceTimeoutFactor);
  Timer.expires_after(std::max<Duration>(at - bootNow(), Duration::zero()));
  Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && !self->IsDone && hasExpired(self->Timer))
      self->onTimer();
  });
}

void GatewayCall::onTimer() {
  const Instant now = bootNow();
  if (now < RetryState->deadline()) {
    // The upstream has not responded; another one may still respond in time.
    if (IsOpen && !CurrentSend.HasFirstByte && takeRetryFromBudget()) {
      Handle->cancel();
      RetryState->recordFailure();
      endSend(SendResult::Broken);
      return trySend();
    }
    Timer.expires_after(RetryState->deadline() - now);
    Timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
      if (!ec && !self->IsDone && hasExpired(self->Timer))
        self->onTimer();
    });
    return;
  }
  if (IsOpen) {
    Handle->cancel();
    if (!HasBegun)
      RetryState->recordFailure();
    endSend(CurrentSend.HasFirstByte ? SendResult::Inconclusive
                                     : SendResult::Broken);
  }
  if (!HasBegun)
    return finishLocally("deadline");
  abortResponse("deadline");
}

/// Deducts one retry of this call from the retry budget. Returns false if none
/// is left, the route's attempts are used up, or no upstream takes the call.
bool GatewayCall::takeRetryFromBudget() {
  if (RetryState->sends() >= Route->MaxAttempts ||
      Upstreams->unavailability(bootNow()).Wait > Duration::zero())
    return false;
  auto it = State.RetryBudgets.find(Service);
  return it != State.RetryBudgets.end() &&
         it->second.takeRetry(RetryLayer::EntryHost);
}

void GatewayCall::trySend() {
  const Instant now = bootNow();
  if (HasBegun ? !RetryState->canResume(now) : !RetryState->canSend(now))
    return finishLocally("no_attempt_left");
  const auto chosen = Upstreams->choose(now);
  if (!chosen)
    return finishWithoutUpstream(now);
  CurrentSend = {};
  CurrentSend.Expected = *chosen;
  if (RetryState->sends() == 0 && Upstreams->exceedsFirstTokenLimit(*chosen))
    return refuse(Unavailable, "first_token_too_late",
                  jitteredRetryAfter(chosen->Wait));
  const ReplicaRecord *replica = State.Replicas.find(chosen->Id);
  UpstreamAttempt attempt;
  attempt.Replica = chosen->Id;
  attempt.Address = replica->Address;
  attempt.WaitLimit = RetryState->deadline() - now;
  if (Team)
    attempt.Team = Team->Name;
  attempt.Priority = Upstreams->priority();
  attempt.ResumeAfter = Events.lastId();
  CurrentSend.Replica = chosen->Id;
  CurrentSend.OfVersion = replica->OfVersion;
  CurrentSend.At = now;
  IsOpen = true;
  ExpectedCost.PromptTokens = chosen->TokensToPrefill;
  State.Replicas.noteSent(chosen->Id, ExpectedCost, now);
  State.Replicas.notePrompt(chosen->Id, Call.Prompt, now);
  if (Upstreams->prefillTime(chosen->TokensToPrefill) >= LargePrompt)
    State.NotifyPeers();
  const bool mayRunOnlyOnce = Route->Kind == Repeatability::NonIdempotent;
  Handle = State.Client.send(
      replica->Address, State.Hooks.UpstreamCall(Exchange->request(), attempt),
      upstreamHooks(), mayRunOnlyOnce ? OnceOnlyFreshness : DefaultFreshness);
  armTimer();
}

HttpCallHooks GatewayCall::upstreamHooks() {
  HttpCallHooks hooks;
  const auto self = shared_from_this();
  hooks.IsForThisCall = [self](const HttpReplyHead &head) {
    return self->isForThisCall(head);
  };
  hooks.OnConnect = [self](ConnectResult result) { self->onConnect(result); };
  hooks.OnSending = [self] { return self->onSending(); };
  hooks.OnHead = [self](const HttpReplyHead &head) { self->onHead(head); };
  hooks.OnBody = [self](std::string_view bytes) { self->onBody(bytes); };
  hooks.OnEnd = [self] { self->onEnd(); };
  hooks.OnFailure = [self](HttpFailure why) { self->onFailure(why); };
  return hooks;
}

void GatewayCall::onConnect(ConnectResult result) {
  const Instant now = bootNow();
  State.Counts.countUpstreamConnect(Service.text(), toText(result));
  if (result == ConnectResult::Connected || !State.ConnectLogBudget.take(now))
    return;
  LogLine(Severity::Warning, "upstream connection failed")
      .field("id", Call.Id)
      .field("upstream", CurrentSend.Replica.text())
      .field("why", toText(result))
      .field("ms", toMilliseconds(now - CurrentSend.At));
}

/// Whether the call may still be sent to the upstream that was chosen for it,
/// now that there is a connection.
bool GatewayCall::onSending() {
  const Instant now = bootNow();
  if (!State.Replicas.maySend(CurrentSend.Replica, now))
    return false;
  CurrentSend.WasSending = true;
  CurrentSend.SentAt = now;
  RetryState->recordSend();
  return true;
}

/// The upstream left or asked for a pause after it was chosen.
void GatewayCall::onWithdrawn() {
  endSend(SendResult::Inconclusive);
  const Instant now = bootNow();
  if (State.StatementLogBudget.take(now))
    LogLine(Severity::Info, "call withdrawn before it was sent")
        .field("id", Call.Id)
        .field("upstream", CurrentSend.Replica.text())
        .field("ms", toMilliseconds(now - CurrentSend.At));
  trySend();
}

/// Whether the response belongs to this call, not to an earlier one on the
/// connection. Keeps what its head states for onHead.
bool GatewayCall::isForThisCall(const HttpReplyHead &head) {
  UpstreamReplyInfo replyInfo = State.Hooks.ReadReplyInfo(head);
  if (!replyInfo.Id.empty() && replyInfo.Id != Call.Id) {
    noteStatements(replyInfo, false, false);
    return false;
  }
  CurrentSend.ReplyInfo = std::move(replyInfo);
  return true;
}

void GatewayCall::onHead(const HttpReplyHead &head) {
  CurrentSend.Head = head;
  const UpstreamReplyInfo &replyInfo = CurrentSend.ReplyInfo;
  const bool hasCallId = !replyInfo.Id.empty() || Call.Id.empty();
  noteStatements(replyInfo, isSuccess(), hasCallId);
  // A successful response without an id may belong to any call.
  if (isSuccess() && !hasCallId) {
    Handle->cancel();
    return onFailure(HttpFailure::Broken);
  }
  // An error response must not continue a response of which another attempt has
  // sent a part.
  CurrentSend.IsDiscarded =
      CurrentSend.ReplyInfo.DidNotRun || (HasBegun && !isSuccess());
}

/// Records what the upstream states about itself in the response.
void GatewayCall::noteStatements(const UpstreamReplyInfo &replyInfo,
                                 bool isSuccessful, bool isForThisCall) {
  ResponseStatements(State, {CurrentSend.Replica, Call.Id, CurrentSend.At,
                             CurrentSend.SentAt, isSuccessful, isForThisCall})
      .apply(replyInfo);
}

void GatewayCall::noteCallStarted() {
  if (IsCounted || !Team)
    return;
  IsCounted = true;
  State.Usage.noteCallStarted(
      Team->Name, State.Time.at(Route->IsStream ? bootNow() : CurrentSend.At));
}

void GatewayCall::noteFirstByte() {
  const Instant now = bootNow();
  CurrentSend.HasFirstByte = true;
  CurrentSend.FirstByteAt = now;
  State.Replicas.noteFirstByte(CurrentSend.Replica, ExpectedCost);
  const bool isPrefillDone =
      Route->IsStream && isSuccess() && !CurrentSend.ReplyInfo.DidNotRun;
  if (isPrefillDone && Call.PromptTokens && !State.wasStalled(now)) {
    const ReplicaChoice &expected = CurrentSend.Expected;
    State.Replicas.noteFirstToken(
        CurrentSend.Replica,
        {expected.TokensToPrefill + expected.TokensAhead, now - CurrentSend.At},
        now);
  }
  if (FirstByteAt == Instant{})
    FirstByteAt = now;
  if (!CurrentSend.ReplyInfo.DidNotRun)
    noteCallStarted();
  armTimer();
}

void GatewayCall::onBody(std::string_view bytes) {
  if (!CurrentSend.HasFirstByte) {
    noteFirstByte();
  }
  if (CurrentSend.IsDiscarded)
    return;
  if (Route->IsStream && isSuccess())
    return relayStream(bytes);
  Body.append(bytes);
  if (Body.size() <= MaxBufferedResponse)
    return;
  if (!HasBegun)
    beginResponse();
  Exchange->write(Body);
  Body.clear();
}

void GatewayCall::beginResponse() {
  HasBegun = true;
  RetryState->recordResponseStarted();
  Exchange->onDrained([self = shared_from_this()] {
    if (self->IsOpen && self->Handle)
      self->Handle->resume();
  });
  Exchange->begin(CurrentSend.Head.Status,
                  State.Hooks.ResponseHeaders(CurrentSend.Head.Headers),
                  CurrentSend.Head.Length);
}

void GatewayCall::relayStream(std::string_view bytes) {
  if (!HasBegun)
    beginResponse();
  if (Route->IsResumable)
    Exchange->write(Events.feed(bytes));
  else
    Exchange->write(bytes);
  if (Exchange->queuedBytes() > MaxQueuedBytes)
    Handle->pause();
}

void GatewayCall::endSend(SendResult result) {
  if (!IsOpen)
    return;
  IsOpen = false;
  recordOutcome(result);
  State.Replicas.noteEnded(CurrentSend.Replica, ExpectedCost,
                           CurrentSend.HasFirstByte, result, bootNow());
}

/// Records the attempt's outcome for its version while the service is being
/// rolled out.
void GatewayCall::recordOutcome(SendResult result) {
  if (result == SendResult::Rejected || result == SendResult::Inconclusive ||
      !CurrentSend.WasSending)
    return;
  UpstreamOutcome outcome = UpstreamOutcome::Failed;
  if (result == SendResult::Answered) {
    const bool isLate =
        Route->LatencyTarget > Duration::zero() &&
        CurrentSend.FirstByteAt - CurrentSend.At > Route->LatencyTarget;
    outcome = isLate ? UpstreamOutcome::Late : UpstreamOutcome::Good;
  }
  State.RecordOutcome(Service, CurrentSend.OfVersion, Route->Name, outcome);
}

void GatewayCall::onEnd() {
  if (IsDone)
    return;
  if (CurrentSend.ReplyInfo.DidNotRun) {
    RetryState->recordNotRun();
    endSend(SendResult::Rejected);
    return retryOrFinish("upstream_turned_away");
  }
  if (!isSuccess()) {
    endSend(SendResult::Failed);
    const bool canRetry = CurrentSend.Head.Status >= 500 && !HasBegun &&
                          Route->Kind == Repeatability::Idempotent;
    if (canRetry) {
      const std::string body = std::move(Body);
      Body.clear();
      RetryState->recordFailure();
      if (RetryState->canSend(bootNow()) && takeRetryFromBudget())
        return trySend();
      Body = body;
    }
    if (HasBegun && CurrentSend.IsDiscarded)
      return abortResponse("resume_failed");
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
    log("answered", CurrentSend.Head.Status, "");
    Exchange->respond(CurrentSend.Head.Status,
                      State.Hooks.ResponseHeaders(CurrentSend.Head.Headers),
                      std::move(Body));
    return;
  }
  if (Route->IsResumable)
    Exchange->write(Events.takePartialEvent());
  Exchange->write(Body);
  Exchange->end();
  log("answered", CurrentSend.Head.Status, "");
}

void GatewayCall::onFailure(HttpFailure why) {
  if (IsDone)
    return;
  if (why == HttpFailure::Withdrawn)
    return onWithdrawn();
  if (why == HttpFailure::NotSent && !CurrentSend.WasSending) {
    endSend(SendResult::Broken);
    if (++FailedConnects <= MaxFailedConnects)
      return trySend();
    return finishLocally("no_connection");
  }
  if (HasBegun) {
    endSend(SendResult::Broken);
    RetryState->recordFailure();
    return resume() ? trySend() : abortResponse("upstream_broke_off");
  }
  if (CurrentSend.ReplyInfo.DidNotRun)
    RetryState->recordNotRun();
  else
    RetryState->recordFailure();
  endSend(SendResult::Broken);
  Body.clear();
  retryOrFinish(why == HttpFailure::Truncated ? "upstream_truncated"
                                              : "upstream_broke_off");
}

/// Prepares a stream whose upstream broke off to continue at another one, after
/// the last complete event and within the same response, so that its caller
/// sees a pause instead of a cut. Returns false if it must not be continued.
bool GatewayCall::resume() {
  if (!Route->IsResumable || !RetryState->canResume(bootNow()) ||
      !takeRetryFromBudget())
    return false;
  Events.takePartialEvent();
  LogLine(Severity::Info, "stream goes on elsewhere")
      .field("id", Call.Id)
      .field("from", CurrentSend.Replica.text())
      .field("after_event", Events.lastId());
  return true;
}

/// Aborts a response that has begun and cannot be completed, so that its caller
/// does not mistake it for a complete one.
void GatewayCall::abortResponse(const char *cause) {
  log("cut", CurrentSend.Head.Status, cause);
  IsDone = true;
  Timer.cancel();
  Exchange->abort();
}

void GatewayCall::retryOrFinish(const char *cause) {
  Body.clear();
  const Instant now = bootNow();
  const bool canRetry =
      HasBegun ? RetryState->canResume(now) : RetryState->canSend(now);
  if (canRetry && takeRetryFromBudget())
    return trySend();
  finishLocally(cause, Upstreams->unavailability(now).Wait);
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

/// Ends the call because no upstream may take it.
void GatewayCall::finishWithoutUpstream(Instant now) {
  const Unavailability why = Upstreams->noteUnavailable(now);
  finishLocally(causeOf(why.Cause), why.Wait);
}

void GatewayCall::finishLocally(const char *cause, Duration retryDelay) {
  if (HasBegun)
    return abortResponse(cause);
  switch (RetryState->failureKind(bootNow())) {
  case CallFailureKind::NotRun:
    return refuse(
        Unavailable, cause,
        jitteredRetryAfter(std::max(retryDelay, MinRetryAfter), MaxWaitSpread));
  case CallFailureKind::Unknown:
    return refuse(BadGateway, cause, std::nullopt);
  case CallFailureKind::TimedOut:
    return refuse(GatewayTimeout, cause, std::nullopt);
  }
}

/// A random time after which the caller may retry, up to twice the shortest
/// delay but no more than `longestSpread` above it: callers must not all return
/// at the same time, and must have time left for the call itself.
Duration GatewayCall::jitteredRetryAfter(Duration shortestDelay,
                                         Duration longestSpread) {
  const Duration waitLimit = Call.WaitLimit.value_or(DefaultWaitLimit);
  const Duration left = ReceivedAt + waitLimit - bootNow();
  const Duration longestDelay = std::max<Duration>(
      Duration::zero(), fromSeconds(toSeconds(left) * MaxRetryAfterShare));
  const double spread = toSeconds(std::min(shortestDelay, longestSpread));
  return std::min(longestDelay,
                  shortestDelay + fromSeconds(spread * State.randomFraction()));
}

void GatewayCall::refuse(int status, const char *cause,
                         std::optional<Duration> retryAfter) {
  IsDone = true;
  Timer.cancel();
  if (HasChargedUnits && (status == Unavailable || status == TooManyRequests))
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
  if (FirstByteAt != Instant{} &&
      CurrentSend.Expected.FirstToken > Duration::zero())
    State.Counts.observeExpectedFirstToken(route,
                                           CurrentSend.Expected.FirstToken);
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
  if (RetryState)
    line.field("sends", static_cast<std::int64_t>(RetryState->sends()))
        .field("failed_connects", static_cast<std::int64_t>(FailedConnects));
  if (!CurrentSend.Replica.empty())
    line.field("upstream", CurrentSend.Replica.text());
  if (CurrentSend.Expected.FirstToken > Duration::zero())
    line.field("expected_wait_ms", toMilliseconds(CurrentSend.Expected.Wait))
        .field("expected_first_byte_ms",
               toMilliseconds(CurrentSend.Expected.FirstToken))
        .field("tokens_to_read", CurrentSend.Expected.TokensToPrefill)
        .field("tokens_ahead", CurrentSend.Expected.TokensAhead);
  if (FirstByteAt != Instant{})
    line.field("first_byte_ms", toMilliseconds(FirstByteAt - ReceivedAt));
  if (Plan)
    line.field("plan", static_cast<std::int64_t>(Plan->plan().Version))
        .field("plan_age_ms", toMilliseconds(State.planAge(now)));
}

} // namespace sorrelbay
