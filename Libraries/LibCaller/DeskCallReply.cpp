#include "LibCaller/DeskCallReply.h"
#include "LibCaller/Problem.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

using Json = nlohmann::ordered_json;

static constexpr int StatusOk = 200;
static const char *const DoneValue = "done";
static const char *const BodyOmittedHeader = "X-Answer-Left-Out";

namespace {

/// The fields of the problem document for a refusal reason.
struct ProblemTemplate {
  RefusalReason Reason;
  int Status;
  const char *Type;
  const char *Detail;
};

} // namespace

// In the order of RefusalReason; a test checks the order.
static const ProblemTemplate ProblemTemplates[] = {
    {RefusalReason::None, 500, "internal", "the call has no answer"},
    {RefusalReason::Overloaded, 503, "overloaded",
     "every place for calls is taken"},
    {RefusalReason::LedgerUnavailable, 503, "ledger-unavailable",
     "the object API can't be reached; a ticket from /v1/addresses works "
     "without it"},
    {RefusalReason::LedgerFull, 503, "ledger-full",
     "the call's part of the ledger has no room"},
    {RefusalReason::Closed, 409, "closed",
     "this attempt was closed by an earlier answer"},
    {RefusalReason::InFlight, 409, "in-flight",
     "another attempt holds this key and may have run it"},
    {RefusalReason::DeskLost, 504, "desk-lost",
     "the desk was sent the call and did not answer"},
    {RefusalReason::NoDeskAvailable, 503, "no-upstream",
     "no desk took the call"},
    {RefusalReason::OwnerUnreachable, 503, "owner-unreachable",
     "the ticket's daemon can't be reached"},
    {RefusalReason::TicketExpired, 410, "ticket-expired",
     "the ticket is too old"},
    {RefusalReason::DeadlinePassed, 504, "deadline-passed",
     "the deadline passed before an answer"},
};

const char *toText(RefusalReason reason) {
  return ProblemTemplates[static_cast<std::size_t>(reason)].Type;
}

static Outcome toOutcome(CallOutcome outcome) {
  switch (outcome) {
  case CallOutcome::Done:
    return Outcome::Done;
  case CallOutcome::NotRun:
    return Outcome::NotRun;
  case CallOutcome::Unknown:
    return Outcome::Unknown;
  }
  return Outcome::Unknown;
}

static CallOutcome parseOutcome(const std::string &text) {
  if (text == describe(Outcome::Done))
    return CallOutcome::Done;
  if (text == describe(Outcome::NotRun))
    return CallOutcome::NotRun;
  return CallOutcome::Unknown;
}

HttpResponse renderDeskCall(const DeskCallAnswer &answer) {
  if (answer.Outcome != CallOutcome::Done) {
    const ProblemTemplate &problemTemplate =
        ProblemTemplates[static_cast<std::size_t>(answer.Reason)];
    return renderProblem(Problem(problemTemplate.Status, problemTemplate.Type,
                                 problemTemplate.Detail,
                                 toOutcome(answer.Outcome), answer.RetryAfter));
  }
  HttpResponse out;
  out.Status = answer.Status;
  out.Body = answer.Body;
  out.Headers.push_back({OutcomeHeader, DoneValue});
  if (!answer.HasBody)
    out.Headers.push_back({BodyOmittedHeader, "1"});
  return out;
}

static RefusalReason parseReason(const std::string &type) {
  for (const ProblemTemplate &it : ProblemTemplates)
    if (it.Type == type)
      return it.Reason;
  return RefusalReason::None;
}

// Parses a problem document or the response to a query. Anything else, such as
// a page from a process that is not a daemon, counts as unknown.
static DeskCallAnswer parseDocument(const std::string &text) {
  DeskCallAnswer answer;
  try {
    const Json document = Json::parse(text);
    answer.Reason = parseReason(document.value("title", std::string()));
    answer.RetryAfter =
        milliseconds(document.value("retry_after_ms", std::int64_t{0}));
    answer.Status = document.value("status", 0);
    answer.HasBody = document.contains("answer");
    answer.Body = document.value("answer", std::string());
    answer.Outcome = parseOutcome(document.value("outcome", std::string()));
    return answer;
  } catch (const Json::exception &) {
    return {};
  }
}

DeskCallAnswer parseDeskCall(const HttpReply &reply) {
  if (headerValue(reply.Headers, OutcomeHeader) == DoneValue)
    return {CallOutcome::Done,
            RefusalReason::None,
            reply.Status,
            reply.Body,
            !hasHeader(reply.Headers, BodyOmittedHeader),
            {}};
  DeskCallAnswer answer = parseDocument(reply.Body);
  // Without the header the response does not originate from a desk.
  if (answer.Outcome == CallOutcome::Done)
    return {};
  return answer;
}

DeskCallAnswer parseCallQuery(const HttpReply &reply) {
  return parseDocument(reply.Body);
}

HttpResponse renderCallQuery(const CallId &call, CallAttempt attempt,
                             const DeskCallAnswer &answer) {
  const bool isDone = answer.Outcome == CallOutcome::Done;
  const bool wasRefused = answer.Outcome == CallOutcome::Unknown &&
                          answer.Reason != RefusalReason::InFlight;
  if (wasRefused)
    return renderDeskCall(answer);
  HttpResponse out;
  out.Status = StatusOk;
  Json body;
  body["key"] = call.Key.text();
  body["outcome"] = describe(toOutcome(answer.Outcome));
  if (isDone)
    body["status"] = answer.Status;
  if (isDone && answer.HasBody)
    body["answer"] = answer.Body;
  if (answer.Outcome == CallOutcome::NotRun && attempt != UndeclaredAttempt)
    body["through_attempt"] = attempt;
  if (!isDone)
    body["retry_after_ms"] = toMilliseconds(answer.RetryAfter);
  out.Body = body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return out;
}

} // namespace sorrelbay
