#include "LibServing/CallRetryState.h"
#include "LibBase/Invariant.h"
#include "LibHttp/HttpMessage.h"

namespace sorrelbay {

bool CallRetryState::canSend(Instant now) const {
  if (IsSent || IsAnswering || AttemptsLeft <= 0 || now >= Deadline)
    return false;
  return !MayHaveRun || Kind == Repeatability::Idempotent;
}

bool CallRetryState::canResume(Instant now) const {
  return IsAnswering && !IsSent && AttemptsLeft > 0 && now < Deadline &&
         Kind == Repeatability::Idempotent;
}

void CallRetryState::recordSend() {
  verifyInvariant(!IsSent && AttemptsLeft > 0, "call_sent_in_turn",
                  "a call is sent while a send is in progress or no "
                  "attempts are left");
  verifyInvariant(!MayHaveRun || Kind == Repeatability::Idempotent,
                  "once_only_call_sent_once",
                  "a non-idempotent call that may have run is sent again");
  --AttemptsLeft;
  ++Sends;
  IsSent = true;
}

void CallRetryState::recordNotRun() { IsSent = false; }

void CallRetryState::recordDeclined() {
  verifyInvariant(IsSent, "declined_call_was_relayed",
                  "a call is declined that was not relayed");
  IsSent = false;
  ++AttemptsLeft;
  --Sends;
}

void CallRetryState::recordLostRelay() {
  recordFailure();
  AttemptsLeft = 0;
}

void CallRetryState::recordFailure() {
  MayHaveRun = MayHaveRun || IsSent;
  IsSent = false;
}

CallFailureKind CallRetryState::failureKind(Instant now) const {
  if (isKnownNotRun())
    return CallFailureKind::NotRun;
  return now >= Deadline ? CallFailureKind::TimedOut : CallFailureKind::Unknown;
}

bool CallRetryState::allowsStatus(int status) const {
  return isKnownNotRun() || !isNotRunStatus(status);
}

} // namespace sorrelbay
