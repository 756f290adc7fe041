#include "DeskCalls.h"
#include "CallChecks.h"
#include "LibBase/Hash.h"
#include "LibBase/Invariant.h"
#include "LibBase/LogLine.h"
#include "LibCaller/DeskCallReply.h"
#include "LibCaller/RefusalOutcome.h"
#include "LibHttp/HttpClient.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

static constexpr int MaxAttempts = 3;
/// The maximum number of failure lines logged per second. The next line has the
/// number of suppressed ones.
static constexpr double FailureLinesPerSecond = 50;
static constexpr Duration ShortRetryAfter = milliseconds(500);
static constexpr int FirstServerFault = 500;
static constexpr int StatusMisdirected = 421;
static constexpr int StatusGatewayTimeout = 504;
// The wait limit of a call beyond the limit of open calls, whose refusal is
// recorded in the ledger to make it final.
static constexpr Duration ShedWaitLimit = milliseconds(500);
static constexpr Duration QueryWaitLimit = seconds(5);
// The time that forwarding to another daemon and back may add to a call's
// deadline.
static constexpr Duration ForwardSlack = milliseconds(200);
/// Marks a call that another daemon has forwarded; it is not forwarded again.
static const char *const ForwardedHeader = "X-Forwarded-Ticket";

struct DeskCalls::Work {
  CallContext Context;
  Route Operation;
  VersionId Version;
  std::string RequestId;
  std::string Body;
  /// Each replica that was tried is added to the excluded ones.
  PlacementRequest Placing;
  /// Counts the call as open until it has ended, which may be after the caller
  /// has its response. Null if the call was not admitted.
  std::unique_ptr<OpenCallGuard> OpenCall;
};

DeskCalls::DeskCalls(const DaemonSettings &settings, BundleStore &bundles,
                     UpstreamTable &upstreams, RolloutTracker &tracker,
                     OpenCalls &open, Metrics &metrics, ObjectApi objects)
    : Settings(settings), Bundles(bundles), Upstreams(upstreams),
      Tracker(tracker), Open(open), Counts(metrics),
      NonRepeatableCalls(std::move(objects), settings.Workers),
      FailureLines(FailureLinesPerSecond) {}

void DeskCalls::logFailure(const char *event, const IdempotencyKey &key,
                           const char *outcome, const std::string &why) {
  const std::lock_guard<std::mutex> lock(LogMutex);
  if (!FailureLines.take(now()))
    return;
  LogLine(Severity::Warning, event)
      .field("key", key.text())
      .field("outcome", outcome)
      .field("why", why)
      .field("left_out", FailureLines.takeSuppressedCount());
}

static CallAttempt attemptOf(const CallContext &context) {
  return static_cast<CallAttempt>(context.Attempt);
}

std::shared_ptr<DeskCalls::Work>
DeskCalls::prepare(const HttpRequest &request) {
  auto work = std::make_shared<Work>();
  const Outcome refusal = refusalOutcome(request);
  work->Context = parseCallContext(request, now());
  work->Body = request.Body;
  const auto bundle = requireBundle(Bundles, refusal);
  requireTeam(*bundle, work->Context.FromTeam, refusal);
  const Route *route = findRoute(*bundle, RouteId(request.Parts.at(0)));
  const Service *service =
      route == nullptr ? nullptr : findService(*bundle, route->Service);
  if (service == nullptr || service->Kind != UpstreamKind::Desk)
    throw Problem(404, "unknown-route",
                  "no desk operation " + request.Parts.at(0), refusal);
  work->Operation = *route;
  if (!route->Repeatable && work->Context.Key.empty())
    throw Problem(400, "missing-key", "this operation needs an Idempotency-Key",
                  refusal);
  work->RequestId = "req-" + randomHex(24);
  const std::string key =
      work->Context.Key.empty() ? work->RequestId : work->Context.Key.text();
  work->Version =
      Tracker.choose(*bundle, service->Id, stableHash(key), route->Repeatable);
  work->Placing.ForService = service->Id;
  work->Placing.AllowedVersion = work->Version;
  work->Placing.Tried = Tracker.excludedReplicas(work->Version);
  return work;
}

HttpResponse DeskCalls::answer(const HttpRequest &request) {
  std::shared_ptr<Work> work;
  try {
    work = prepare(request);
  } catch (const Problem &problem) {
    throw Problem(problem.status(), problem.type(), problem.what(),
                  refusalOutcome(request), problem.retryAfter());
  }
  refuseIfMisdirected(request, work->Context.Key);
  if (Open.tryBegin())
    work->OpenCall = std::make_unique<OpenCallGuard>(Open);
  if (!work->Operation.Repeatable)
    return answerAtMostOnce(work);
  if (!work->OpenCall)
    throw Problem(503, "overloaded", "every place for calls is taken",
                  refusalOutcome(request), ShortRetryAfter);
  return answerRepeatable(*work);
}

static UpstreamOutcome outcomeOf(const DeskAnswer &answer, Duration took,
                                 const Route &route) {
  if (answer.Status >= FirstServerFault)
    return UpstreamOutcome::Failed;
  return took > route.LatencyTarget ? UpstreamOutcome::Late
                                    : UpstreamOutcome::Good;
}

HttpResponse DeskCalls::answerRepeatable(Work &work) {
  bool mayHaveRun = false;
  for (int n = 0; n < MaxAttempts; ++n) {
    try {
      const DeskAnswer answer = sendNext(work);
      HttpResponse out;
      out.Status = answer.Status;
      out.Body = answer.Body;
      return out;
    } catch (const DeskRejected &) {
    } catch (const DeskOutcomeUnknown &) {
      // The call may have run, which is harmless for a repeatable operation.
      mayHaveRun = true;
    }
  }
  Counts.countCall(work.Operation.Id.text(), "failed");
  if (mayHaveRun)
    throw Problem(StatusGatewayTimeout, "desk-lost",
                  "no desk that was sent the call answered it",
                  Outcome::Unknown);
  throw Problem(503, "no-upstream", "no desk took the call", Outcome::Unknown,
                ShortRetryAfter);
}

// Sends the call to a replica that has not been tried yet. Throws DeskRejected
// if there is none; otherwise throws as callDesk() does.
DeskAnswer DeskCalls::sendNext(Work &work) {
  const Span span("desk call", work.Context.Trace);
  work.Placing.Seed = stableHash(work.RequestId, work.Placing.Tried.size());
  const PlacementChoice choice = Upstreams.begin(work.Placing, now());
  if (!choice.Upstream) {
    logFailure("no desk to send to", work.Context.Key, "not_sent",
               Upstreams.isViewFresh(now()) ? "none is left to try"
                                            : "the view of desks is stale");
    throw DeskRejected("no desk is left to try");
  }
  work.Placing.Tried.push_back(*choice.Upstream);
  DeskRequest request;
  request.RequestId = work.RequestId;
  request.Operation = work.Operation.Id;
  request.FromTeam = work.Context.FromTeam;
  request.Key = work.Context.Key;
  request.Body = work.Body;
  request.Trace = span.context();
  request.Timeout = Settings.DeskTimeout;
  const auto finish = [&] {
    Upstreams.finish(*choice.Upstream, ConversationKey(), 0, now());
  };
  const Instant sentAt = now();
  try {
    DeskAnswer answer = callDesk(*choice.Upstream, request);
    finish();
    Tracker.record({work.Version, work.Operation.Id},
                   outcomeOf(answer, now() - sentAt, work.Operation));
    Counts.countCall(work.Operation.Id.text(), "ok");
    return answer;
  } catch (const DeskRejected &error) {
    finish();
    logFailure("desk did not take the call", work.Context.Key, "not_run",
               choice.Upstream->text() + ": " + error.what());
    throw;
  } catch (const DeskOutcomeUnknown &error) {
    finish();
    logFailure("desk lost the call", work.Context.Key, "unknown",
               choice.Upstream->text() + ": " + error.what());
    Counts.countCall(work.Operation.Id.text(), "unknown");
    if (!Upstreams.isLeaving(*choice.Upstream))
      Tracker.record({work.Version, work.Operation.Id},
                     UpstreamOutcome::Failed);
    throw;
  }
}

HttpResponse DeskCalls::answerAtMostOnce(const std::shared_ptr<Work> &work) {
  DeskCallHooks hooks;
  hooks.Send = [this, work] { return sendNext(*work); };
  hooks.Forward = [this, work](const CallTicket &ticket) {
    HttpCall call;
    call.Method = "POST";
    call.Path = "/v1/desk/" + work->Operation.Id.text();
    call.Body = work->Body;
    return forward(work->Context, call, ticket, false);
  };
  const CallId id{work->Context.FromTeam, work->Context.Key};
  const bool isShed = work->OpenCall == nullptr;
  const Instant deadline =
      isShed ? std::min(work->Context.Deadline, now() + ShedWaitLimit)
             : work->Context.Deadline;
  const auto entryMode = isShed ? AtMostOnceCalls::EntryMode::Shed
                                : AtMostOnceCalls::EntryMode::Run;
  const DeskCallAnswer answer = NonRepeatableCalls.handle(
      entryMode, id, attemptOf(work->Context), deadline, std::move(hooks));
  if (answer.Outcome == CallOutcome::NotRun)
    Counts.countCall(work->Operation.Id.text(), "not_run");
  if (answer.Outcome != CallOutcome::Done)
    logFailure("desk call not done", work->Context.Key,
               answer.Outcome == CallOutcome::NotRun ? "not_run" : "unknown",
               toText(answer.Reason));
  return renderDeskCall(answer);
}

HttpResponse DeskCalls::query(const HttpRequest &request) {
  const CallContext context = parseCallContext(request, now());
  const CallId id{context.FromTeam, IdempotencyKey(request.Parts.at(0))};
  const auto bundle = requireBundle(Bundles, Outcome::Unknown);
  requireTeam(*bundle, id.Team, Outcome::Unknown);
  // The key is stored in the ledger, so it has the same limit as in a call's
  // header.
  if (id.Key.text().size() > MaxHeaderValueBytes)
    throw Problem(400, "bad-request", "the key is too long", Outcome::Unknown);
  refuseIfMisdirected(request, id.Key);
  DeskCallHooks hooks;
  hooks.Send = []() -> DeskAnswer {
    failInvariant("desk-call.query-never-sends", "a query was to be sent");
  };
  hooks.Forward = [this, context, id](const CallTicket &ticket) {
    HttpCall call;
    call.Path = "/v1/calls/" + id.Key.text();
    return forward(context, call, ticket, true);
  };
  const Instant deadline = std::min(context.Deadline, now() + QueryWaitLimit);
  const DeskCallAnswer answer =
      NonRepeatableCalls.handle(AtMostOnceCalls::EntryMode::Query, id,
                                attemptOf(context), deadline, std::move(hooks));
  return renderCallQuery(id, attemptOf(context), answer);
}

IdempotencyKey DeskCalls::issueTicket(const std::string &ownAddress) {
  return ticketKey(NonRepeatableCalls.issueTicket(ownAddress));
}

// Another daemon may have the ticket's address by now. It has to refuse the
// call as misdirected and must not forward it again.
void DeskCalls::refuseIfMisdirected(const HttpRequest &request,
                                    const IdempotencyKey &key) const {
  const auto ticket = parseTicket(key);
  const bool isForeign =
      ticket && ticket->Owner != NonRepeatableCalls.incarnation();
  if (isForeign && hasHeader(request.Headers, ForwardedHeader))
    throw Problem(StatusMisdirected, "misdirected",
                  "this daemon has not given out the ticket",
                  refusalOutcome(request));
}

DeskCallAnswer DeskCalls::forward(const CallContext &context, HttpCall call,
                                  const CallTicket &ticket, bool isQuery) {
  // A caller can put any address into a ticket, so the call is only forwarded
  // to entry hosts.
  const auto entries = Upstreams.entryHosts();
  const bool isEntry =
      std::any_of(entries.begin(), entries.end(), [&](const HostListEntry &it) {
        return it.Address == ticket.Address;
      });
  if (!isEntry) {
    logFailure("ticket's owner not reached", context.Key, "not_sent",
               ticket.Address + " is no entry host");
    throw OwnerNotReached("the ticket names no entry host");
  }
  const Span span("forward to ticket owner", context.Trace);
  const Duration left = std::max(context.Deadline - now(), Duration(1000));
  call.ReadTimeout = left + ForwardSlack;
  call.Headers = {
      {"X-Team", context.FromTeam.text()},
      {"X-Attempt", std::to_string(context.Attempt)},
      {"X-Deadline-Ms", std::to_string(toMilliseconds(left))},
      {"traceparent", renderTraceParent(span.context())},
      {ForwardedHeader, "1"},
  };
  if (!isQuery)
    call.Headers.push_back({"Idempotency-Key", context.Key.text()});
  try {
    const HttpReply reply = sendOnce(ticket.Address, call);
    const bool isOwn = !hasHeader(reply.Headers, OutcomeHeader);
    if (isOwn && reply.Status == StatusMisdirected)
      throw OwnerNotReached("another process has the owner's address");
    return isQuery ? parseCallQuery(reply) : parseDeskCall(reply);
  } catch (const HttpNotSent &error) {
    logFailure("ticket's owner not reached", context.Key, "not_sent",
               ticket.Address + ": " + error.what());
    throw OwnerNotReached(error.what());
  }
}

} // namespace sorrelbay
