#include "LibServing/CallLife.h"
#include "LibBase/Invariant.h"

namespace sorrelbay {

bool CallLife::mayTry(Instant now) const {
  if (IsSent || IsAnswering || AttemptsLeft <= 0 || now >= Deadline)
    return false;
  return !MayHaveRun || Kind == Repeatability::Idempotent;
}

bool CallLife::mayResume(Instant now) const {
  return IsAnswering && !IsSent && AttemptsLeft > 0 && now < Deadline &&
         Kind == Repeatability::Idempotent;
}

void CallLife::noteSending() {
  verifyInvariant(!IsSent && AttemptsLeft > 0, "call_sent_in_turn",
                  "a call is sent while it may not be");
  verifyInvariant(!MayHaveRun || Kind == Repeatability::Idempotent,
                  "once_only_call_sent_once",
                  "a call that may have run is sent again");
  --AttemptsLeft;
  ++Sends;
  IsSent = true;
}

void CallLife::noteNotRun() { IsSent = false; }

void CallLife::noteFailed() {
  MayHaveRun = MayHaveRun || IsSent;
  IsSent = false;
}

CallEnding CallLife::ending(Instant now) const {
  if (!IsSent && !MayHaveRun)
    return CallEnding::NotRun;
  return now >= Deadline ? CallEnding::TimedOut : CallEnding::Unknown;
}

} // namespace sorrelbay
