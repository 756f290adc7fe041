#pragma once

#include "LibBase/Time.h"
#include "LibServing/ServingPlan.h"

namespace sorrelbay {

/// How a call ends for its caller when no upstream's answer can be passed on.
enum class CallFailureKind {
  /// It has not run and never will: the caller may send it again.
  NotRun,
  /// An upstream failed, and may have run it.
  Unknown,
  /// Its time is over, and an upstream may have run it or still be at it.
  TimedOut,
};

/// What may still be done for one attempt of a caller: the one place that
/// decides whether a call may be sent (again), and what may be promised of it.
/// A booking that is sent twice sends two crews out, and one that ran although
/// its caller was answered that it had not is sent again by the caller.
class CallRetryState {
public:
  CallRetryState(Repeatability kind, int maxAttempts, Instant deadline)
      : Kind(kind), AttemptsLeft(maxAttempts), Deadline(deadline) {}

  /// Whether the call may be sent to an upstream now.
  bool canSend(Instant now) const;
  /// Whether an answer that was begun may go on at another upstream.
  bool canResume(Instant now) const;
  /// Its bytes are about to leave this host: from now on it may have run.
  void recordSend();
  /// The upstream that it was sent to says that it did not run it.
  void recordNotRun();
  /// The upstream broke off, was silent or answered a failure of its own.
  void recordFailure();
  /// Bytes of an answer were passed on: no other answer may follow.
  void recordResponseStarted() { IsAnswering = true; }

  bool isAnswering() const { return IsAnswering; }
  /// Whether the call was sent more than once.
  int sends() const { return Sends; }
  Instant deadline() const { return Deadline; }
  CallFailureKind failureKind(Instant now) const;

private:
  Repeatability Kind;
  int AttemptsLeft;
  Instant Deadline;
  int Sends = 0;
  /// A send whose outcome isn't known yet.
  bool IsSent = false;
  bool MayHaveRun = false;
  bool IsAnswering = false;
};

} // namespace sorrelbay
