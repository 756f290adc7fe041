#pragma once

#include "LibDecision/LedgerEntry.h"
#include <optional>

namespace sorrelbay {

/// A call key that one daemon's incarnation has given out and that only this
/// incarnation ever runs, so that no store is needed to run it at most once.
/// It grants nothing: one made up by a caller runs no more than once either,
/// so it carries no signature.
struct CallTicket {
  IncarnationId Owner;
  /// Where the owner listens for callers, "ip:port". Another process may have
  /// that address by now, so it is only where to ask for the owner.
  std::string Address;
  /// By the owner's clock; no other host compares it.
  Instant Expiry{};
  std::uint64_t Serial = 0;

  friend bool operator==(const CallTicket &a, const CallTicket &b) {
    return std::tie(a.Owner, a.Address, a.Expiry, a.Serial) ==
           std::tie(b.Owner, b.Address, b.Expiry, b.Serial);
  }
};

/// The ticket as a caller sends it in place of its own key.
IdempotencyKey ticketKey(const CallTicket &ticket);

/// The ticket that the key is, or nothing if it is a caller's own key.
std::optional<CallTicket> parseTicket(const IdempotencyKey &key);

} // namespace sorrelbay
