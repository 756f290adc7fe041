#include "LibDecision/TicketTable.h"
#include <algorithm>

namespace sorrelbay {

TicketTable::TicketTable(IncarnationId self, LedgerLimits limits)
    : Self(std::move(self)), Limits(limits) {
  // An entry is kept longer than its ticket is valid.
  Limits.Retention = 2 * TicketLifetime;
}

CallTicket TicketTable::issue(const std::string &address, Instant at) {
  return {Self, address, latest(at) + TicketLifetime, NextSerial++};
}

bool TicketTable::isValid(const CallTicket &ticket, Instant at) {
  const Instant now = latest(at);
  return ticket.Owner == Self && ticket.Expiry > now &&
         ticket.Expiry <= now + TicketLifetime;
}

EditOutcome TicketTable::apply(const LedgerEdit &edit, Instant at) {
  return Calls.apply(edit, Limits, latest(at)).Outcome;
}

Instant TicketTable::latest(Instant at) {
  Latest = std::max(Latest, at);
  return Latest;
}

} // namespace sorrelbay
