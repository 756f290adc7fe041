#include "GatewayCall.h"
#include "LibBase/BootClock.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include "LibHttp/TimerExpiry.h"
#include "LibPeer/PeerFailures.h"
#include "LibServing/Allotment.h"
#include "LibServing/StopPolicy.h"
#include "ResponseStatements.h"
#include <algorithm>

namespace sorrelbay {

namespace {

constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
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
/// A call to which that many connections failed is relayed if possible.
constexpr int ConnectsBeforeRelay = 2;
/// Most hosts that a call is relayed to, one after the other.
constexpr std::size_t MaxRelays = 3;
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
  const int attempts = std::max(1, Route->MaxAttempts);
  if (Relayed)
    RetryState.emplace(Route->Kind, std::min(attempts, Relayed->Attempts),
                       ReceivedAt + std::min(waitLimit, Relayed->WaitLimit));
  else
    RetryState.emplace(Route->Kind, attempts, ReceivedAt + waitLimit);
  if (!chooseRouteService())
    return;
  Upstreams.emplace(State, PlacedCall{Call, *Plan, *Route, Team, Service,
                                      Relayed && Relayed->IsDemandCounted});
  ExpectedCost.Tokens = Call.PromptTokens.value_or(0) + Call.MaxOutputTokens;
  const auto retryBudget = State.RetryBudgets.find(Service);
  if (!Relayed && retryBudget != State.RetryBudgets.end())
    retryBudget->second.noteCall();
  if (!Relayed && (!chargeUnits() || !admit()))
    return;
  Exchange->onClientDisconnected(
      [self = shared_from_this()] { self->onCallerDisconnected(); });
  armTimer();
  trySend();
}

void GatewayCall::serveRelayed(GatewayState &state,
                               std::shared_ptr<HttpExchange> exchange) {
  std::make_shared<GatewayCall>(state, std::move(exchange))->startRelayed();
}

/// Only a host that knows the fleet's secret may have its calls served without
/// being charged for them here.
void GatewayCall::startRelayed() {
  RelayEnvelope envelope;
  try {
    envelope = envelopeOf(Exchange->request(), State.RelaySecret);
  } catch (const PeerMessageRefused &error) {
    if (State.FailureLogBudget.take(ReceivedAt))
      LogLine(Severity::Warning, "relayed call refused")
          .field("id", Call.Id)
          .field("why", error.what());
    return Exchange->respond(
        Forbidden,
        {relayResultHeader({RelayOutcome::Declined, "unproven", {}})}, "");
  }
  Relayed = envelope;
  if (const char *cause = declineCause(State, Call, envelope, ReceivedAt))
    return decline(cause);
  UpstreamRequest = withoutEnvelope(Exchange->request());
  Events.resumeAfter(envelope.ResumeAfter);
  start();
}

/// Leaves the call to the host that relayed it. Nothing was sent to an
/// upstream.
void GatewayCall::decline(const char *cause) {
  IsDone = true;
  Timer.cancel();
  State.Counts.countRelayedCall("received", cause);
  if (State.FailureLogBudget.take(bootNow()))
    LogLine(Severity::Info, "relayed call declined")
        .field("id", Call.Id)
        .field("from", Relayed->From.text())
        .field("why", cause);
  Exchange->respond(Unavailable,
                    {relayResultHeader({RelayOutcome::Declined, cause, {}})},
                    "");
}

bool GatewayCall::chooseRouteService() {
  if (Relayed) {
    Service = Relayed->Service;
    return true;
  }
  const WeightedService *service =
      chooseService(*Route, State.randomFraction());
  if (!service) {
    refuse(Unavailable, "route_without_service", std::nullopt);
    return false;
  }
  Service = service->Name;
  return true;
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
  const bool canSwitchUpstream = IsOpen && !isRelaying() &&
                                 !CurrentSend.HasFirstByte &&
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
    if (IsOpen && !isRelaying() && !CurrentSend.HasFirstByte &&
        takeRetryFromBudget()) {
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
  if (prefersRelay() && tryRelay(now))
    return;
  const auto chosen = Upstreams->choose(now);
  if (!chosen) {
    if (Relayed && FailedConnects > 0 && RetryState->sends() == 0)
      return decline("no_connection");
    if (FailedConnects == 0 || !tryRelay(now))
      finishWithoutUpstream(now);
    return;
  }
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
      replica->Address,
      State.Hooks.UpstreamCall(
          UpstreamRequest ? *UpstreamRequest : Exchange->request(), attempt),
      upstreamHooks(), mayRunOnlyOnce ? OnceOnlyFreshness : DefaultFreshness);
  armTimer();
}

/// Whether this host can't send the call to an upstream itself, as far as it
/// knows. A relayed call is never relayed again.
bool GatewayCall::prefersRelay() const {
  return State.Paths.isUnreachable(Service) ||
         FailedConnects >= ConnectsBeforeRelay;
}

/// Relays the call to a host that reaches the service. Returns false if there
/// is none.
bool GatewayCall::tryRelay(Instant now) {
  if (Relayed || State.RelaySecret.empty() || TriedPeers.size() >= MaxRelays)
    return false;
  const auto peer = State.Relays.choose(Service, State.Fleet, TriedPeers,
                                        State.Random(), now);
  if (!peer)
    return false;
  TriedPeers.push_back(peer->Host);
  State.Relays.noteSent(peer->Host);
  CurrentSend = {};
  CurrentSend.Peer = peer->Host;
  CurrentSend.At = now;
  IsOpen = true;
  const bool mayRunOnlyOnce = Route->Kind == Repeatability::NonIdempotent;
  Handle = State.Client.send(
      peer->Address,
      makeRelayCall(Exchange->request(), relayEnvelope(peer->Host, now),
                    State.RelaySecret),
      upstreamHooks(), mayRunOnlyOnce ? OnceOnlyFreshness : DefaultFreshness);
  armTimer();
  return true;
}

RelayEnvelope GatewayCall::relayEnvelope(const HostId &peer,
                                         Instant now) const {
  RelayEnvelope out;
  out.From = State.Settings.Host;
  out.To = peer;
  out.CallId = Call.Id;
  out.RequestDigest = digestOfRequest(Call.Method, Call.Path);
  out.Service = Service;
  out.WaitLimit = RetryState->deadline() - now;
  out.Attempts = RetryState->attemptsLeft();
  out.PlanVersion = Plan->plan().Version;
  out.ResumeAfter = Events.lastId();
  out.IsDemandCounted = Upstreams->isDemandCounted();
  return out;
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
  if (isRelaying())
    return;
  State.NoteConnect(Service, CurrentSend.Replica, result);
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
  if (!isRelaying() && !State.Replicas.maySend(CurrentSend.Replica, now))
    return false;
  CurrentSend.WasSending = true;
  CurrentSend.SentAt = now;
  RetryState->recordSend();
  if (isRelaying())
    return true;
  CurrentSend.IsWaiting = true;
  State.Paths.noteSent(Service, now);
  State.WatchForSilence();
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
  noteReceived();
  if (!replyInfo.Id.empty() && replyInfo.Id != Call.Id) {
    if (!isRelaying())
      noteStatements(replyInfo, false, false);
    return false;
  }
  CurrentSend.ReplyInfo = std::move(replyInfo);
  return true;
}

void GatewayCall::onHead(const HttpReplyHead &head) {
  CurrentSend.Head = head;
  if (isRelaying())
    return onRelayHead();
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

/// An upstream that responded through another host asked that host for a pause,
/// not this one.
void GatewayCall::onRelayHead() {
  CurrentSend.Relay = parseRelayResult(CurrentSend.Head.Headers);
  CurrentSend.Head.Headers = withoutRelayResult(CurrentSend.Head.Headers);
  CurrentSend.ReplyInfo.DidNotRun = false;
  switch (CurrentSend.Relay.Outcome) {
  case RelayOutcome::Unknown:
    Handle->cancel();
    return onFailure(HttpFailure::Broken);
  case RelayOutcome::Declined:
  case RelayOutcome::Refused:
    CurrentSend.IsDiscarded =
        HasBegun || CurrentSend.Relay.Outcome == RelayOutcome::Declined;
    return;
  case RelayOutcome::Answered:
    break;
  }
  CurrentSend.Replica = CurrentSend.Relay.Upstream;
  CurrentSend.IsDiscarded = HasBegun && !isSuccess();
  UpstreamReplyInfo statements = CurrentSend.ReplyInfo;
  statements.Pause.reset();
  statements.Ignored.clear();
  noteStatements(statements, isSuccess(), true);
}

/// Records what the upstream states about itself in the response.
void GatewayCall::noteStatements(const UpstreamReplyInfo &replyInfo,
                                 bool isSuccessful, bool isForThisCall) {
  ResponseStatements(State, {CurrentSend.Replica, Call.Id, CurrentSend.At,
                             CurrentSend.SentAt, isSuccessful, isForThisCall})
      .apply(replyInfo);
}

void GatewayCall::noteCallStarted() {
  if (IsCounted || !Team || isRelaying())
    return;
  IsCounted = true;
  State.Usage.noteCallStarted(
      Team->Name, State.Time.at(Route->IsStream ? bootNow() : CurrentSend.At));
}

/// The upstream has sent something.
void GatewayCall::noteReceived() {
  if (isRelaying())
    return;
  State.Paths.noteReceived(Service, bootNow());
  if (CurrentSend.IsWaiting)
    State.Paths.noteWaitEnded(Service, CurrentSend.SentAt);
  CurrentSend.IsWaiting = false;
}

void GatewayCall::noteFirstByte() {
  const Instant now = bootNow();
  CurrentSend.HasFirstByte = true;
  CurrentSend.FirstByteAt = now;
  if (FirstByteAt == Instant{})
    FirstByteAt = now;
  if (isRelaying())
    return armTimer();
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
  if (!CurrentSend.ReplyInfo.DidNotRun)
    noteCallStarted();
  armTimer();
}

void GatewayCall::onBody(std::string_view bytes) {
  noteReceived();
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
  Exchange->begin(CurrentSend.Head.Status, responseHeaders(),
                  CurrentSend.Head.Length);
}

/// The header of the upstream's response as it is forwarded.
HttpHeaders GatewayCall::responseHeaders() const {
  HttpHeaders out = State.Hooks.ResponseHeaders(CurrentSend.Head.Headers);
  if (Relayed)
    out.push_back(
        relayResultHeader({RelayOutcome::Answered, "", CurrentSend.Replica}));
  return out;
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
  if (isRelaying()) {
    const bool isReached =
        CurrentSend.WasSending || result != SendResult::Broken;
    return State.Relays.noteEnded(CurrentSend.Peer, isReached, bootNow());
  }
  if (CurrentSend.IsWaiting)
    State.Paths.noteWaitEnded(Service, CurrentSend.SentAt);
  CurrentSend.IsWaiting = false;
  if (result == SendResult::Broken && CurrentSend.WasSending)
    State.Paths.noteBroken(Service, bootNow());
  // Without a path to its upstreams, this host can't tell their faults.
  if (result == SendResult::Broken &&
      State.Paths.wasUnreachable(Service, CurrentSend.At))
    result = SendResult::Inconclusive;
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
  if (result == SendResult::Broken)
    return State.Failures.add({Service, CurrentSend.OfVersion, Route->Name},
                              bootNow());
  UpstreamOutcome outcome = UpstreamOutcome::Failed;
  if (result == SendResult::Answered) {
    const bool isLate =
        Route->LatencyTarget > Duration::zero() &&
        CurrentSend.FirstByteAt - CurrentSend.At > Route->LatencyTarget;
    outcome = isLate ? UpstreamOutcome::Late : UpstreamOutcome::Good;
  }
  State.RecordOutcome(Service, CurrentSend.OfVersion, Route->Name, outcome);
}

/// The host that the call was relayed to has responded.
void GatewayCall::onRelayEnd() {
  const RelayResult &relay = CurrentSend.Relay;
  State.Counts.countRelayedCall("sent", relay.Outcome == RelayOutcome::Answered
                                            ? "answered"
                                            : relay.Cause);
  if (relay.Outcome == RelayOutcome::Declined) {
    RetryState->recordDeclined();
    endSend(SendResult::Rejected);
    return trySend();
  }
  const bool isSuccessful = isSuccess();
  endSend(isSuccessful ? SendResult::Answered : SendResult::Failed);
  if (HasBegun && CurrentSend.IsDiscarded)
    return abortResponse("resume_failed");
  if (relay.Outcome == RelayOutcome::Refused)
    return passOnRefusal();
  finishResponse();
}

/// Gives the caller the response that the other host generated.
void GatewayCall::passOnRefusal() {
  const int status = CurrentSend.Head.Status;
  IsDone = true;
  Timer.cancel();
  if (HasChargedUnits && (status == Unavailable || status == TooManyRequests))
    State.RateLimiters[Team->Name].giveBack(Units);
  log("refused", status, CurrentSend.Relay.Cause.c_str());
  Exchange->respond(status,
                    State.Hooks.ResponseHeaders(CurrentSend.Head.Headers),
                    std::move(Body));
}

void GatewayCall::onRelayFailure(HttpFailure why) {
  endSend(SendResult::Broken);
  State.Counts.countRelayedCall("sent", "broken");
  if (why == HttpFailure::NotSent && !CurrentSend.WasSending)
    return trySend();
  RetryState->recordLostRelay();
  Body.clear();
  if (HasBegun)
    return abortResponse("relay_broke_off");
  finishLocally("relay_broke_off");
}

void GatewayCall::onEnd() {
  if (IsDone)
    return;
  if (isRelaying())
    return onRelayEnd();
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
    Exchange->respond(CurrentSend.Head.Status, responseHeaders(),
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
  if (isRelaying())
    return onRelayFailure(why);
  if (why == HttpFailure::NotSent && !CurrentSend.WasSending)
    return onNotSent();
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

/// No connection to the upstream could be opened.
void GatewayCall::onNotSent() {
  endSend(SendResult::Broken);
  ++FailedConnects;
  if (Relayed && RetryState->sends() == 0 && prefersRelay())
    return decline("no_connection");
  if (FailedConnects <= MaxFailedConnects)
    return trySend();
  if (!tryRelay(bootNow()))
    finishLocally("no_connection");
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
  HttpHeaders headers = State.Hooks.LocalResponseHeaders(Call, retryAfter);
  if (Relayed)
    headers.push_back(relayResultHeader({RelayOutcome::Refused, cause, {}}));
  Exchange->respond(status, headers, "");
}

/// Counts the call in the metrics. A relayed call counts at the host that the
/// caller sent it to.
void GatewayCall::count(const char *result) {
  if (Relayed)
    return State.Counts.countRelayedCall("received", result);
  const std::string route = Route ? Route->Name.text() : "";
  State.Counts.countCall(route, result);
  if (FirstByteAt != Instant{})
    State.Counts.observeFirstToken(route, FirstByteAt - ReceivedAt);
  if (FirstByteAt != Instant{} &&
      CurrentSend.Expected.FirstToken > Duration::zero())
    State.Counts.observeExpectedFirstToken(route,
                                           CurrentSend.Expected.FirstToken);
}

void GatewayCall::log(const char *outcome, int status, const char *cause) {
  const Instant now = bootNow();
  count(*cause == 0 ? outcome : cause);
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
  if (isRelaying())
    line.field("relayed_to", CurrentSend.Peer.text());
  if (Relayed)
    line.field("relayed_from", Relayed->From.text());
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
