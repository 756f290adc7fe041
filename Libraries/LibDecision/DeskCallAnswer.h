#pragma once

#include "LibBase/Time.h"
#include <string>

namespace sorrelbay {

/// What is known about a call.
enum class CallOutcome {
  /// The desk has answered.
  Done,
  /// Neither this attempt nor an earlier one of the key has run the call or
  /// ever will. A later attempt may.
  NotRun,
  /// The call may have run, may be running or may still run.
  Unknown,
};

/// Why there is no answer from a desk.
enum class RefusalReason {
  None,
  /// The daemon is overloaded.
  Overloaded,
  /// The object API is unreachable.
  LedgerUnavailable,
  /// The call's ledger bucket is full.
  LedgerFull,
  /// The call was closed by an earlier refusal.
  Closed,
  /// Another attempt holds the intent.
  InFlight,
  /// The call was sent to a desk, which did not answer.
  DeskLost,
  /// Every desk that was tried refused the connection or the call.
  NoDeskAvailable,
  /// Another incarnation issued the ticket and is unreachable.
  OwnerUnreachable,
  /// The ticket has expired.
  TicketExpired,
  /// The call's deadline has passed.
  DeadlinePassed,
};

/// The only answer to one attempt or query.
struct DeskCallAnswer {
  CallOutcome Outcome = CallOutcome::Unknown;
  RefusalReason Reason = RefusalReason::None;
  /// The desk's answer if the outcome is Done. The body is missing if it is
  /// too large for the ledger.
  int Status = 0;
  std::string Body;
  bool HasBody = false;
  /// Delay after which to retry, unless the outcome is Done.
  Duration RetryAfter{};
};

} // namespace sorrelbay
