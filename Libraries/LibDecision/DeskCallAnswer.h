#pragma once

#include "LibBase/Time.h"
#include <string>

namespace sorrelbay {

/// The answer to a caller about its call.
enum class CallOutcome {
  /// The desk has answered.
  Done,
  /// Neither this attempt nor an earlier one of the key has run it, and none
  /// of them ever will. A later attempt may.
  NotRun,
  /// It may have run, may be running or may yet run.
  Unknown,
};

/// Why there is no answer of a desk.
enum class RefusalReason {
  None,
  /// The daemon has more to do than it can.
  Overloaded,
  /// The object API can't be reached.
  LedgerUnavailable,
  /// The call's bucket has no room.
  LedgerFull,
  /// The call was closed by an earlier refusal.
  Closed,
  /// Another attempt holds the call.
  InFlight,
  /// The desk was sent the call and did not answer.
  DeskLost,
  /// Every desk that was asked refused the connection or the call.
  NoDeskAvailable,
  /// The ticket is another incarnation's that can't be reached.
  OwnerUnreachable,
  /// The ticket is too old.
  TicketExpired,
  /// The call's deadline has passed.
  DeadlinePassed,
};

/// The one answer to one attempt or query.
struct DeskCallAnswer {
  CallOutcome Outcome = CallOutcome::Unknown;
  RefusalReason Reason = RefusalReason::None;
  /// The desk's, for Done; without a body if the ledger had no room for it.
  int Status = 0;
  std::string Body;
  bool HasBody = false;
  /// When to come back, unless the call is done.
  Duration RetryAfter{};
};

} // namespace sorrelbay
