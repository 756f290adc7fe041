#pragma once

#include "LibDecision/CallTicket.h"
#include "LibDecision/LedgerBucket.h"

namespace sorrelbay {

/// How long a ticket is valid after it was issued.
constexpr Duration TicketLifetime = hours(1);

/// The calls of the tickets that this incarnation has issued. It follows the
/// same rules as the ledger but is kept in memory, since no other daemon may
/// run these calls. It ends with the incarnation, as do its tickets.
class TicketTable {
public:
  TicketTable(IncarnationId self, LedgerLimits limits);

  /// Issues a ticket with the address at which this daemon listens.
  CallTicket issue(const std::string &address, Instant at);
  /// Whether the ticket was issued by this incarnation and has not expired. The
  /// entry of an expired ticket may have been dropped, so the call could run
  /// twice.
  bool isValid(const CallTicket &ticket, Instant at);
  EditOutcome apply(const LedgerEdit &edit, Instant at);
  std::size_t size() const { return Calls.entries().size(); }

private:
  /// Returns the latest time seen so far. A clock that is set back must not
  /// make an expired ticket valid again.
  Instant latest(Instant at);

  IncarnationId Self;
  LedgerLimits Limits;
  LedgerBucket Calls;
  Instant Latest{};
  std::uint64_t NextSerial = 1;
};

} // namespace sorrelbay
