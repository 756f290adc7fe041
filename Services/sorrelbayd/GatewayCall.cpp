#include "GatewayCall.h"
#include "CallLog.h"
#include "LibBase/BootClock.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include "LibHttp/TimerExpiry.h"
#include "LibPeer/PeerFailures.h"
#include "LibServing/CallFingerprint.h"
#include "LibServing/RetryDelay.h"
#include "QuarantineLog.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

namespace {

constexpr int BadRequest = 400;
constexpr int Forbidden = 403;
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
/// Shortest Retry-After of a call that did not run, before jitter.
constexpr Duration MinRetryAfter = milliseconds(100);
/// Callers that wait for an upstream whose time of return is known return
/// within this time after it.
constexpr Duration MaxWaitSpread = seconds(1);
/// Prompts whose prefill takes at least this long are reported to peers at
/// once, so that they do not send other calls to the same engine.
constexpr Duration LargePrompt = milliseconds(100);
/// An upstream's status promised that the call did not run, without a proof.
constexpr const char *UnprovenRejection = "unproven_rejection";

} // namespace

void GatewayCall::serve(GatewayState &state,
                        std::shared_ptr<HttpExchange> exchange) {
  std::make_shared<GatewayCall>(state, std::move(exchange))->start();
}

GatewayCall::GatewayCall(GatewayState &state,
                         std::shared_ptr<HttpExchange> exchange)
    : State(state), Exchange(std::move(exchange)),
      Call(state.Hooks.ReadCall(Exchange->request())), ReceivedAt(bootNow()),
      Plan(state.Plan), Relay(state), Response(Exchange), Timer(state.Loop) {}

void GatewayCall::start() {
  if (const auto refusal =
          identifyCall(State, {Call, Plan.get(), ReceivedAt}, Identity))
    return refuse(*refusal);
  Call.Fingerprint =
      callFingerprint(Call, Identity.teamName(), Exchange->request().Body);
  const ServingRoute &route = *Identity.Route;
  const Duration waitLimit = std::min(
      Call.WaitLimit.value_or(DefaultWaitLimit),
      route.Timeout > Duration::zero() ? route.Timeout : DefaultWaitLimit);
  const int attempts = std::max(1, route.MaxAttempts);
  if (Relayed)
    RetryState.emplace(route.Kind, std::min(attempts, Relayed->Attempts),
                       ReceivedAt + std::min(waitLimit, Relayed->WaitLimit));
  else
    RetryState.emplace(route.Kind, attempts, ReceivedAt + waitLimit);
  if (!chooseRouteService())
    return;
  Upstreams.emplace(State,
                    PlacedCall{Call, *Plan, route, Identity.Team, Service,
                               Relayed && Relayed->IsDemandCounted});
  Sends.emplace(State, SentCall{Call, route, Identity.Team, Service,
                                Upstreams->priority()});
  if (!Relayed && !admit())
    return;
  Exchange->onClientDisconnected(
      [self = shared_from_this()] { self->onCallerDisconnected(); });
  Exchange->onDrained([self = shared_from_this()] {
    if (self->IsOpen && self->Handle)
      self->Handle->resume();
  });
  armTimer();
  trySend();
}

/// Counts and charges a call of a caller. Returns false if it is refused.
bool GatewayCall::admit() {
  const auto retryBudget = State.RetryBudgets.find(Service);
  if (retryBudget != State.RetryBudgets.end())
    retryBudget->second.noteCall();
  std::optional<CallRefusal> refusal;
  if (Identity.Team)
    refusal = Charge.charge(State, Identity, {Call, Plan.get(), ReceivedAt});
  if (!refusal)
    refusal = refusalWhileStopping(State, ReceivedAt,
                                   RetryState->deadline() - ReceivedAt);
  if (refusal)
    refuse(*refusal);
  return !refusal;
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
  Response.resumeAfter(envelope.ResumeAfter);
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
      chooseService(*Identity.Route, State.randomFraction());
  if (!service) {
    refuse(Unavailable, "route_without_service", std::nullopt);
    return false;
  }
  Service = service->Name;
  return true;
}

void GatewayCall::armTimer() {
  Instant at = RetryState->deadline();
  const bool canSwitchUpstream =
      IsOpen && !isRelaying() && !CurrentSend.HasFirstByte &&
      Identity.Route->Kind == Repeatability::Idempotent &&
      RetryState->sends() < Identity.Route->MaxAttempts;
  if (canSwitchUpstream) {
    const Duration timeout = Upstreams->silenceTimeout(CurrentSend.Expected);
    // Another attempt needs its time too.
    if (timeout > Duration::zero() && CurrentSend.At + 2 * timeout <= at)
      at = CurrentSend.At + timeout;
  }
  waitUntil(at);
}

void GatewayCall::waitUntil(Instant at) {
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
    return waitUntil(RetryState->deadline());
  }
  if (IsOpen) {
    Handle->cancel();
    if (!Response.hasBegun())
      RetryState->recordFailure();
    endSend(CurrentSend.HasFirstByte ? SendResult::Inconclusive
                                     : SendResult::Broken);
  }
  finishLocally("deadline");
}

/// Deducts one retry of this call from the retry budget. Returns false if none
/// is left, the route's attempts are used up, or no upstream takes the call.
bool GatewayCall::takeRetryFromBudget() {
  if (RetryState->sends() >= Identity.Route->MaxAttempts ||
      Upstreams->unavailability(bootNow()).Wait > Duration::zero())
    return false;
  auto it = State.RetryBudgets.find(Service);
  return it != State.RetryBudgets.end() &&
         it->second.takeRetry(RetryLayer::EntryHost);
}

void GatewayCall::trySend() {
  const Instant now = bootNow();
  if (Response.hasBegun() ? !RetryState->canResume(now)
                          : !RetryState->canSend(now))
    return finishLocally("no_attempt_left");
  if (State.Quarantine.matchingCall(Service, Call))
    return finishQuarantined();
  if (prefersRelay() && tryRelay(now))
    return;
  if (waitsForPlace())
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
  if (!Response.hasBegun() &&
      !Upstreams->canEndInTime(*chosen, RetryState->deadline() - now))
    return finishLocally("ends_too_late", chosen->Wait);
  CurrentSend.IsContinuation = Response.hasBegun();
  Upstreams->noteSent(*chosen);
  const ReplicaRecord *replica = State.Replicas.find(chosen->Id);
  UpstreamAttempt attempt;
  attempt.Replica = chosen->Id;
  attempt.Address = replica->Address;
  attempt.WaitLimit = RetryState->deadline() - now;
  attempt.Team = Identity.teamName();
  attempt.Priority = Upstreams->priority();
  attempt.ResumeAfter = Response.lastEventId();
  CurrentSend.Replica = chosen->Id;
  CurrentSend.OfVersion = replica->OfVersion;
  CurrentSend.At = now;
  IsOpen = true;
  Sends->noteChosen(CurrentSend);
  if (Upstreams->prefillTime(chosen->TokensToPrefill) >= LargePrompt)
    State.NotifyPeers();
  Handle = State.Client.send(
      replica->Address,
      State.Hooks.UpstreamCall(
          UpstreamRequest ? *UpstreamRequest : Exchange->request(), attempt),
      upstreamHooks(), longestIdleTime(Identity.Route->Kind));
  armTimer();
}

/// Whether the call waits until this host may have another one open at the
/// service's upstreams, or is refused because that takes too long. A response
/// of which the caller has a part is not made to wait.
bool GatewayCall::waitsForPlace() {
  if (std::exchange(HasPlace, false) || Response.hasBegun())
    return false;
  PlaceRequest request;
  request.Service = Service;
  request.Call.OfTeam = Identity.teamName();
  request.Call.Priority = Upstreams->priority();
  request.Call.ArrivedAt = bootNow();
  request.Call.Deadline = RetryState->deadline();
  request.Call.Bytes = Exchange->request().Body.size();
  request.OnStart = [self = shared_from_this()](Duration waited) {
    self->WaitId.reset();
    self->HasPlace = true;
    self->Waited += waited;
    self->trySend();
  };
  request.OnRefused = [self = shared_from_this()](const char *cause,
                                                  Duration returnAfter) {
    self->onWaitRefused(cause, returnAfter);
  };
  WaitId = State.Waiting.enter(std::move(request), bootNow());
  return WaitId.has_value();
}

/// The call has not been sent, or not again.
void GatewayCall::onWaitRefused(const char *cause, Duration returnAfter) {
  if (IsDone)
    return;
  WaitId.reset();
  Waited = bootNow() - ReceivedAt;
  finishLocally(cause, returnAfter);
}

void GatewayCall::leaveQueue() {
  if (WaitId)
    State.Waiting.withdraw(Service, *WaitId);
  WaitId.reset();
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
  if (Relayed)
    return false;
  const auto peer = Relay.next(Service, now);
  if (!peer)
    return false;
  CurrentSend = {};
  CurrentSend.Peer = peer->Host;
  CurrentSend.At = now;
  IsOpen = true;
  Handle = State.Client.send(
      peer->Address,
      makeRelayCall(Exchange->request(), relayEnvelope(peer->Host, now),
                    State.RelaySecret),
      upstreamHooks(), longestIdleTime(Identity.Route->Kind));
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
  out.ResumeAfter = Response.lastEventId();
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
  if (!isRelaying())
    Sends->noteConnect(CurrentSend, result);
}

/// Whether the call may still be sent to the upstream that was chosen for it,
/// now that there is a connection.
bool GatewayCall::onSending() {
  const Instant now = bootNow();
  const bool maySend =
      isRelaying() || State.Replicas.maySend(CurrentSend.Replica, now);
  if (!maySend || State.Quarantine.matchingCall(Service, Call))
    return false;
  CurrentSend.WasSending = true;
  CurrentSend.SentAt = now;
  RetryState->recordSend();
  if (isRelaying())
    return true;
  Sends->noteSending(CurrentSend, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->onQuarantined();
  });
  return true;
}

/// Rejects a call that no upstream may get. It did not run unless it was sent
/// before; its caller must not repeat it.
void GatewayCall::finishQuarantined() {
  const char *cause = logQuarantinedCall(State, Call, Service);
  if (RetryState->failureKind(bootNow()) != CallFailureKind::NotRun)
    return finishLocally(cause);
  refuse(BadRequest, cause, std::nullopt);
}

/// The call or its prompt was quarantined while it waited for its upstream.
void GatewayCall::onQuarantined() {
  if (IsDone || !IsOpen)
    return;
  Handle->cancel();
  RetryState->recordFailure();
  endSend(SendResult::Inconclusive);
  finishQuarantined();
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
  if (!isRelaying())
    Sends->noteReceived(CurrentSend);
  if (!isResponseTo(Call.Id, replyInfo,
                    isRelaying() || head.IsFirstOnConnection)) {
    if (!isRelaying())
      Sends->noteStatements(CurrentSend, replyInfo, {false, false});
    return false;
  }
  replyInfo.DidNotRun = isRejectionOf(Call.Id, replyInfo);
  CurrentSend.ReplyInfo = std::move(replyInfo);
  return true;
}

void GatewayCall::onHead(const HttpReplyHead &head) {
  CurrentSend.Head = head;
  if (isRelaying())
    return onRelayHead();
  const UpstreamReplyInfo &replyInfo = CurrentSend.ReplyInfo;
  const bool hasCallId = !replyInfo.Id.empty() || Call.Id.empty();
  Sends->noteStatements(CurrentSend, replyInfo, {isSuccess(), hasCallId});
  // A successful response without an id may belong to any call.
  if (isSuccess() && !hasCallId) {
    Handle->cancel();
    return onFailure(HttpFailure::Broken);
  }
  CurrentSend.IsDiscarded = replyInfo.DidNotRun || !mayPassOn();
  startResponse();
}

/// Whether the caller may get the attempt's response. An error response must
/// not continue a response of which another attempt has sent a part.
bool GatewayCall::mayPassOn() const {
  return isSuccess() || (!Response.hasBegun() &&
                         RetryState->allowsStatus(CurrentSend.Head.Status));
}

/// An upstream that responded through another host asked that host for a pause,
/// not this one, and stated its load to that host.
void GatewayCall::onRelayHead() {
  CurrentSend.PeerResult = parseRelayResult(CurrentSend.Head.Headers);
  CurrentSend.Head.Headers = withoutRelayResult(CurrentSend.Head.Headers);
  CurrentSend.ReplyInfo.DidNotRun = false;
  switch (CurrentSend.PeerResult.Outcome) {
  case RelayOutcome::Unknown:
    Handle->cancel();
    return onFailure(HttpFailure::Broken);
  case RelayOutcome::Declined:
  case RelayOutcome::Refused:
    CurrentSend.IsDiscarded =
        Response.hasBegun() ||
        CurrentSend.PeerResult.Outcome == RelayOutcome::Declined;
    return startResponse();
  case RelayOutcome::Answered:
    break;
  }
  CurrentSend.Replica = CurrentSend.PeerResult.Upstream;
  CurrentSend.IsDiscarded = !mayPassOn();
  UpstreamReplyInfo statements = CurrentSend.ReplyInfo;
  statements.Pause.reset();
  statements.Load.reset();
  statements.Ignored.clear();
  Sends->noteStatements(CurrentSend, statements, {isSuccess(), true});
  startResponse();
}

void GatewayCall::noteFirstByte() {
  CurrentSend.HasFirstByte = true;
  CurrentSend.FirstByteAt = bootNow();
  if (FirstByteAt == Instant{})
    FirstByteAt = CurrentSend.FirstByteAt;
  if (isRelaying())
    return armTimer();
  Sends->noteFirstByte(CurrentSend, isSuccess());
  armTimer();
}

void GatewayCall::onBody(std::string_view bytes) {
  if (!isRelaying())
    Sends->noteReceived(CurrentSend);
  if (!CurrentSend.HasFirstByte)
    noteFirstByte();
  if (!Response.append(bytes, CurrentSend.IsDiscarded)) {
    Handle->cancel();
    return onFailure(HttpFailure::Truncated);
  }
  if (CurrentSend.IsDiscarded)
    return;
  State.Crashes.noteReceived(CurrentSend.WatchId, Response.completeEvents());
  if (Response.hasBegun() && !RetryState->isAnswering())
    RetryState->recordResponseStarted();
  if (Response.isBackedUp()) {
    CurrentSend.WasPaused = true;
    Handle->pause();
  }
}

/// The body of the attempt's response follows.
void GatewayCall::startResponse() {
  ResponseStart start =
      startOfResponse(CurrentSend.Head, Identity.Route->IsStream);
  start.Headers = responseHeaders();
  start.ContinuesEarlierCall = !Call.LastEventId.empty();
  start.IsResumable = Identity.Route->IsResumable;
  Response.startAttempt(std::move(start));
}

/// The header of the upstream's response as it is forwarded.
HttpHeaders GatewayCall::responseHeaders() const {
  HttpHeaders out = State.Hooks.ResponseHeaders(CurrentSend.Head.Headers);
  if (Relayed)
    out.push_back(
        relayResultHeader({RelayOutcome::Answered, "", CurrentSend.Replica}));
  return out;
}

void GatewayCall::endSend(SendResult result) {
  if (!IsOpen)
    return;
  IsOpen = false;
  if (isRelaying()) {
    const bool isReached =
        CurrentSend.WasSending || result != SendResult::Broken;
    return Relay.noteEnded(isReached, bootNow());
  }
  Sends->noteEnded(CurrentSend, result);
}

/// The host that the call was relayed to has responded.
void GatewayCall::onRelayEnd() {
  const RelayResult &relay = CurrentSend.PeerResult;
  State.Counts.countRelayedCall("sent", relay.Outcome == RelayOutcome::Answered
                                            ? "answered"
                                            : relay.Cause);
  if (relay.Outcome == RelayOutcome::Declined) {
    RetryState->recordDeclined();
    endSend(SendResult::Rejected);
    return trySend();
  }
  endSend(isSuccess() ? SendResult::Answered : SendResult::Failed);
  if (Response.hasBegun() && CurrentSend.IsDiscarded)
    return abortResponse("resume_failed");
  if (relay.Outcome == RelayOutcome::Refused)
    return passOnRefusal();
  if (CurrentSend.IsDiscarded) {
    RetryState->recordLostRelay();
    return finishLocally(UnprovenRejection);
  }
  finishResponse();
}

/// Gives the caller the response that the other host generated, which covers
/// what that host has done.
void GatewayCall::passOnRefusal() {
  const int status = CurrentSend.Head.Status;
  if (isNotRunStatus(status))
    RetryState->recordNotRun();
  if (!RetryState->allowsStatus(status))
    return finishLocally(CurrentSend.PeerResult.Cause.c_str());
  IsDone = true;
  Timer.cancel();
  Charge.giveBackAfter(State, status);
  log("refused", status, CurrentSend.PeerResult.Cause.c_str());
  Response.finish(status,
                  State.Hooks.ResponseHeaders(CurrentSend.Head.Headers));
}

void GatewayCall::onRelayFailure(HttpFailure why) {
  endSend(SendResult::Broken);
  State.Counts.countRelayedCall("sent", "broken");
  if (why == HttpFailure::NotSent && !CurrentSend.WasSending)
    return trySend();
  RetryState->recordLostRelay();
  finishLocally("relay_broke_off");
}

void GatewayCall::onEnd() {
  if (IsDone)
    return;
  const bool isBroken =
      !CurrentSend.IsDiscarded && Response.end() != ResponseEnd::Complete;
  if (isBroken)
    return onFailure(HttpFailure::Truncated);
  if (isRelaying())
    return onRelayEnd();
  if (CurrentSend.ReplyInfo.DidNotRun) {
    RetryState->recordNotRun();
    endSend(SendResult::Rejected);
    return retryOrFinish("upstream_turned_away");
  }
  if (!isSuccess())
    return onErrorResponse();
  Sends->noteCallStarted(CurrentSend);
  endSend(SendResult::Answered);
  finishResponse();
}

/// The upstream has responded with an error and may have run the call.
void GatewayCall::onErrorResponse() {
  endSend(SendResult::Failed);
  const bool isUnproven = !RetryState->allowsStatus(CurrentSend.Head.Status);
  const bool mayRepeat = isUnproven || CurrentSend.Head.Status >= 500;
  if (mayRepeat && !Response.hasBegun()) {
    RetryState->recordFailure();
    if (RetryState->canSend(bootNow()) && takeRetryFromBudget())
      return trySend();
  }
  if (Response.hasBegun() && CurrentSend.IsDiscarded)
    return abortResponse("resume_failed");
  Sends->noteCallStarted(CurrentSend);
  isUnproven ? finishLocally(UnprovenRejection) : finishResponse();
}

void GatewayCall::finishResponse() {
  IsDone = true;
  Timer.cancel();
  log("answered", CurrentSend.Head.Status, "");
  Response.finish();
}

void GatewayCall::onFailure(HttpFailure why) {
  if (IsDone)
    return;
  if (why == HttpFailure::Withdrawn)
    return onWithdrawn();
  if (isRelaying())
    return onRelayFailure(why);
  CurrentSend.HasBrokenOff = why != HttpFailure::Unacknowledged;
  if (why == HttpFailure::NotSent && !CurrentSend.WasSending)
    return onNotSent();
  if (Response.hasBegun()) {
    endSend(SendResult::Broken);
    RetryState->recordFailure();
    return resume() ? trySend() : abortResponse("upstream_broke_off");
  }
  if (CurrentSend.ReplyInfo.DidNotRun)
    RetryState->recordNotRun();
  else
    RetryState->recordFailure();
  endSend(SendResult::Broken);
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
  if (!Response.isResumable() || !RetryState->canResume(bootNow()) ||
      !takeRetryFromBudget())
    return false;
  LogLine(Severity::Info, "stream goes on elsewhere")
      .field("id", Call.Id)
      .field("from", CurrentSend.Replica.text())
      .field("framing", toText(CurrentSend.Head.Framing))
      .field("after_event", Response.lastEventId());
  return true;
}

/// Aborts a response that has begun and cannot be completed, so that its caller
/// does not mistake it for a complete one.
void GatewayCall::abortResponse(const char *cause) {
  log("cut", CurrentSend.Head.Status, cause);
  IsDone = true;
  Timer.cancel();
  Response.abort();
}

void GatewayCall::retryOrFinish(const char *cause) {
  const Instant now = bootNow();
  const bool canRetry = Response.hasBegun() ? RetryState->canResume(now)
                                            : RetryState->canSend(now);
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
  leaveQueue();
  log("caller_left", 0, "");
}

/// Ends the call because no upstream may take it.
void GatewayCall::finishWithoutUpstream(Instant now) {
  const Unavailability why = Upstreams->noteUnavailable(now);
  finishLocally(causeOf(why.Cause), why.Wait);
}

void GatewayCall::finishLocally(const char *cause, Duration retryDelay) {
  if (Response.hasBegun())
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

/// A random time after which the caller may retry: callers must not all return
/// at the same time.
Duration GatewayCall::jitteredRetryAfter(Duration shortestDelay,
                                         Duration longestSpread) {
  const Duration waitLimit = Call.WaitLimit.value_or(DefaultWaitLimit);
  return retryDelay({shortestDelay, longestSpread,
                     ReceivedAt + waitLimit - bootNow(),
                     Upstreams ? Upstreams->ownTime() : Duration::zero()},
                    State.randomFraction());
}

void GatewayCall::refuse(const CallRefusal &refusal) {
  std::optional<Duration> retryAfter = refusal.RetryDelay;
  if (retryAfter && refusal.IsSpread)
    retryAfter = jitteredRetryAfter(*retryAfter);
  refuse(refusal.Status, refusal.Cause, retryAfter);
}

void GatewayCall::refuse(int status, const char *cause,
                         std::optional<Duration> retryAfter) {
  IsDone = true;
  Timer.cancel();
  leaveQueue();
  Charge.giveBackAfter(State, status);
  log("refused", status, cause);
  HttpHeaders headers = State.Hooks.LocalResponseHeaders(Call, retryAfter);
  if (Relayed)
    headers.push_back(relayResultHeader({RelayOutcome::Refused, cause, {}}));
  Exchange->respond(status, headers, "");
}

void GatewayCall::log(const char *outcome, int status, const char *cause) {
  CallRecord record;
  record.Call = &Call;
  record.Outcome = outcome;
  record.Status = status;
  record.Cause = cause;
  record.ReceivedAt = ReceivedAt;
  record.FirstByteAt = FirstByteAt;
  record.Route = Identity.Route;
  record.Team = Identity.Team;
  record.Units = Charge.units();
  record.Class = Charge.callClass();
  if (RetryState)
    record.Sends = RetryState->sends();
  record.FailedConnects = FailedConnects;
  record.Waited = Waited;
  record.LastSend = &CurrentSend;
  record.Events = Response.completeEvents();
  record.EndedInsideEvent = Response.isInsideEvent();
  if (Relayed)
    record.RelayedFrom = Relayed->From;
  record.Plan = Plan.get();
  recordCall(State, record, bootNow());
}

} // namespace sorrelbay
