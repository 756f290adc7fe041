#pragma once

#include "LibBase/Time.h"
#include "LibServing/ServingPlan.h"

namespace sorrelbay {

/// Why no upstream's response could be forwarded to the caller.
enum class CallFailureKind {
  /// No upstream has run the call or will run it: the caller may retry.
  NotRun,
  /// An upstream failed and may have run the call.
  Unknown,
  /// The deadline has passed, and an upstream may have run the call or may
  /// still be running it.
  TimedOut,
};

/// Retry state of one attempt of a caller: the single place that decides
/// whether the call may be sent (again) and what its caller may assume about
/// its outcome, also by the status of a response that is passed on. A
/// non-idempotent call that is sent twice runs twice (two crews are dispatched
/// for one booking), and one that ran although its caller got the error for a
/// call that did not run is sent again by the caller.
class CallRetryState {
public:
  CallRetryState(Repeatability kind, int maxAttempts, Instant deadline)
      : Kind(kind), AttemptsLeft(maxAttempts), Deadline(deadline) {}

  /// Whether the call may be sent to an upstream now.
  bool canSend(Instant now) const;
  /// Whether a response that was partly forwarded may be resumed at another
  /// upstream.
  bool canResume(Instant now) const;
  /// Must be called before the first byte of the call is sent: from then on an
  /// upstream may have run it.
  void recordSend();
  /// The upstream reported that it did not run the call.
  void recordNotRun();
  /// The host that the call was relayed to sent it to no upstream.
  void recordDeclined();
  /// The host that the call was relayed to did not report the outcome: it may
  /// have used all attempts.
  void recordLostRelay();
  /// The connection broke, the upstream did not respond in time, or it
  /// responded with a server error.
  void recordFailure();
  /// Part of a response was forwarded to the caller: no other response may
  /// follow.
  void recordResponseStarted() { IsAnswering = true; }

  bool isAnswering() const { return IsAnswering; }
  /// The number of times that the call was sent.
  int sends() const { return Sends; }
  int attemptsLeft() const { return AttemptsLeft; }
  Instant deadline() const { return Deadline; }
  CallFailureKind failureKind(Instant now) const;
  /// Whether the caller may get a response with the status, whoever generated
  /// it. One that promises that the call has not run must be true of all sends.
  bool allowsStatus(int status) const;

private:
  bool isKnownNotRun() const { return !IsSent && !MayHaveRun; }

  Repeatability Kind;
  int AttemptsLeft;
  Instant Deadline;
  int Sends = 0;
  /// A send is in progress whose outcome is not known yet.
  bool IsSent = false;
  bool MayHaveRun = false;
  bool IsAnswering = false;
};

} // namespace sorrelbay
