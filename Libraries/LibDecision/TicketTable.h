#pragma once

#include "LibDecision/CallTicket.h"
#include "LibDecision/LedgerBucket.h"

namespace sorrelbay {

/// How long a ticket is valid after it was issued.
constexpr Duration TicketLifetime = hours(1);

/// Records the calls whose tickets this incarnation issued. Follows the rules
/// of the ledger but is kept in memory, since no other daemon may run these
/// calls. It need not outlive the incarnation, because the tickets do not
/// either.
class TicketTable {
public:
  TicketTable(IncarnationId self, LedgerLimits limits);

  /// Issues a ticket with the address at which this daemon listens.
  CallTicket issue(const std::string &address, Instant at);
  /// Whether the ticket was issued by this incarnation and has not expired. A
  /// call with an expired ticket could run twice, because the entry of its
  /// first run may have been dropped.
  bool isValid(const CallTicket &ticket, Instant at);
  EditOutcome apply(const LedgerEdit &edit, Instant at);
  std::size_t size() const { return Calls.entries().size(); }

private:
  /// Returns the latest time passed in so far, including `at`. A clock that is
  /// set back must not make an expired ticket valid again.
  Instant latest(Instant at);

  IncarnationId Self;
  LedgerLimits Limits;
  LedgerBucket Calls;
  Instant Latest{};
  std::uint64_t NextSerial = 1;
};

} // namespace sorrelbay
