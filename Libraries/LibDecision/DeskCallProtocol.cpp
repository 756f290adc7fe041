#include "LibDecision/DeskCallProtocol.h"
#include "LibBase/Invariant.h"
#include <utility>

namespace sorrelbay {

static constexpr CallAttempt FirstAttempt = 1;

static void append(DeskCallActions &to, DeskCallActions more) {
  for (DeskCallAction &it : more)
    to.push_back(std::move(it));
}

DeskCallProtocol::DeskCallProtocol(DeskCall call, DeskCallSettings settings)
    : Call(std::move(call)), Settings(settings),
      Ticket(parseTicket(Call.Id.Key)) {}

DeskCallActions DeskCallProtocol::start(Instant at) {
  StartedAt = at;
  if (isForeignTicket()) {
    CurrentStep = Step::AwaitForward;
    return {ForwardToOwner{Ticket->Owner}};
  }
  if (Call.Purpose == CallPurpose::Query)
    return close(RefusalReason::Closed);
  CurrentStep = Step::AwaitIntent;
  return {edit(EditKind::PutIntent)};
}

DeskCallActions DeskCallProtocol::shed() {
  return isKnownNotRun() || isForeignTicket()
             ? refuse(RefusalReason::Overloaded)
             : close(RefusalReason::Overloaded);
}

DeskCallActions DeskCallProtocol::refuseExpiredTicket() {
  return refuse(RefusalReason::TicketExpired);
}

DeskCallActions DeskCallProtocol::onEdit(const EditOutcome &outcome,
                                         Instant at) {
  switch (CurrentStep) {
  case Step::AwaitIntent:
    return onIntent(outcome, at);
  case Step::AwaitClose:
    return onClosed(outcome);
  case Step::AwaitResult:
    return onResult(outcome);
  default:
    return {};
  }
}

DeskCallActions DeskCallProtocol::onIntent(const EditOutcome &outcome,
                                           Instant at) {
  if (outcome.Verdict == EditVerdict::Accepted) {
    HoldsIntent = true;
    if (IsAnswered || at - StartedAt > Settings.MaxSendDelay)
      return close(RefusalReason::DeadlinePassed);
    return sendToDesk();
  }
  DeskCallActions actions = answerFromLedger(outcome, RefusalReason::Closed);
  // The intent may have been written or may still take effect, and would block
  // every later attempt although nothing was sent.
  if (outcome.MayHaveBeenWritten)
    append(actions, close(RefusalReason::LedgerUnavailable));
  return actions;
}

DeskCallActions DeskCallProtocol::onClosed(const EditOutcome &outcome) {
  return answerFromLedger(outcome, CloseReason);
}

DeskCallActions DeskCallProtocol::onResult(const EditOutcome &outcome) {
  CurrentStep = Step::Finished;
  const bool wasRecorded = outcome.Verdict != EditVerdict::Unavailable;
  if (wasRecorded || ResultTries >= Settings.MaxResultTries)
    return {};
  CurrentStep = Step::AwaitResult;
  ResultTries++;
  SubmitEdit again = edit(EditKind::PutResult);
  again.After = Settings.ResultRetryDelay * ResultTries;
  return {std::move(again)};
}

DeskCallActions DeskCallProtocol::onDeskAnswered(int status,
                                                 const std::string &body) {
  if (CurrentStep != Step::AwaitDesk)
    return {};
  DeskStatus = status;
  DeskBody = body;
  DeskCallActions actions = answer(
      {CallOutcome::Done, RefusalReason::None, status, body, true, Duration{}});
  CurrentStep = Step::AwaitResult;
  ResultTries = 1;
  actions.push_back(edit(EditKind::PutResult));
  return actions;
}

DeskCallActions DeskCallProtocol::onDeskRefused() {
  if (CurrentStep != Step::AwaitDesk)
    return {};
  MayHaveRun = false;
  if (IsAnswered || DesksTried >= Settings.MaxDeskTries)
    return close(RefusalReason::NoDeskAvailable);
  return sendToDesk();
}

DeskCallActions DeskCallProtocol::onDeskLost() {
  if (CurrentStep != Step::AwaitDesk)
    return {};
  return refuse(RefusalReason::DeskLost);
}

DeskCallActions
DeskCallProtocol::onForwardAnswered(const DeskCallAnswer &forwarded) {
  if (CurrentStep != Step::AwaitForward)
    return {};
  CurrentStep = Step::Finished;
  return answer(forwarded);
}

DeskCallActions DeskCallProtocol::onForwardRefused() {
  if (CurrentStep != Step::AwaitForward)
    return {};
  return refuse(RefusalReason::OwnerUnreachable);
}

DeskCallActions DeskCallProtocol::onForwardLost() {
  if (CurrentStep != Step::AwaitForward)
    return {};
  MayHaveRun = true;
  return refuse(RefusalReason::OwnerUnreachable);
}

DeskCallActions DeskCallProtocol::onDeadline() {
  if (IsAnswered)
    return {};
  DeskCallAnswer refusal;
  const bool isWithOwner = CurrentStep == Step::AwaitForward;
  refusal.Outcome = isKnownNotRun() && !isWithOwner ? CallOutcome::NotRun
                                                    : CallOutcome::Unknown;
  refusal.Reason = RefusalReason::DeadlinePassed;
  refusal.RetryAfter = Settings.RetryAfterRefusal;
  return answer(std::move(refusal));
}

DeskCallActions DeskCallProtocol::sendToDesk() {
  verifyInvariant(HoldsIntent && !MayHaveRun && !IsAnswered,
                  "desk-call.intent-before-send",
                  "a call would have been sent without its intent, twice, or "
                  "after its answer");
  CurrentStep = Step::AwaitDesk;
  MayHaveRun = true;
  DesksTried++;
  return {SendToDesk{}};
}

DeskCallActions DeskCallProtocol::close(RefusalReason reason) {
  verifyInvariant(!MayHaveRun, "desk-call.no-close-after-send",
                  "a call that may have reached a desk would have been closed");
  CurrentStep = Step::AwaitClose;
  CloseReason = reason;
  return {edit(EditKind::Close)};
}

DeskCallActions DeskCallProtocol::answerFromLedger(const EditOutcome &outcome,
                                                   RefusalReason reason) {
  switch (outcome.Verdict) {
  case EditVerdict::AlreadyDone: {
    CurrentStep = Step::Finished;
    const LedgerEntry &entry = *outcome.Entry;
    return answer({CallOutcome::Done, RefusalReason::None, entry.Status,
                   entry.Answer, entry.HasAnswer, Duration{}});
  }
  case EditVerdict::NotRun: {
    CurrentStep = Step::Finished;
    return answer({CallOutcome::NotRun,
                   reason,
                   0,
                   {},
                   false,
                   Settings.RetryAfterRefusal});
  }
  case EditVerdict::HeldByOther: {
    CurrentStep = Step::Finished;
    return answer({CallOutcome::Unknown,
                   RefusalReason::InFlight,
                   0,
                   {},
                   false,
                   Settings.RetryAfterInFlight});
  }
  case EditVerdict::Full:
    return refuse(RefusalReason::LedgerFull);
  default:
    return refuse(RefusalReason::LedgerUnavailable);
  }
}

// Refuses the call. The outcome is derived from the state of this attempt
// alone.
DeskCallActions DeskCallProtocol::refuse(RefusalReason reason) {
  CurrentStep = Step::Finished;
  DeskCallAnswer refusal;
  refusal.Outcome =
      isKnownNotRun() ? CallOutcome::NotRun : CallOutcome::Unknown;
  refusal.Reason = reason;
  refusal.RetryAfter = Settings.RetryAfterRefusal;
  return answer(std::move(refusal));
}

DeskCallActions DeskCallProtocol::answer(DeskCallAnswer answer) {
  verifyInvariant(answer.Outcome != CallOutcome::NotRun || !MayHaveRun,
                  "desk-call.not-run-is-true",
                  "a call that may have reached a desk was answered not run");
  if (std::exchange(IsAnswered, true))
    return {};
  return {AnswerCaller{std::move(answer)}};
}

SubmitEdit DeskCallProtocol::edit(EditKind kind) const {
  SubmitEdit submit;
  submit.Where =
      Ticket ? SubmitEdit::Place::TicketTable : SubmitEdit::Place::Ledger;
  submit.Edit.Kind = kind;
  submit.Edit.Call = Call.Id;
  submit.Edit.Attempt = Call.Attempt;
  submit.Edit.Owner = Call.Self;
  submit.Edit.Nonce = Call.Nonce;
  if (kind == EditKind::PutResult) {
    submit.Edit.Status = DeskStatus;
    submit.Edit.Answer = DeskBody;
  }
  return submit;
}

bool DeskCallProtocol::isForeignTicket() const {
  return Ticket && Ticket->Owner != Call.Self;
}

bool DeskCallProtocol::isKnownNotRun() const {
  // A query is about attempts that other daemons may be running.
  const bool isOnlyAttempt =
      Call.Attempt == FirstAttempt && Call.Purpose == CallPurpose::Run;
  return !MayHaveRun && (HoldsIntent || isOnlyAttempt);
}

} // namespace sorrelbay
