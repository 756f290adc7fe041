#pragma once

#include "LibDecision/LedgerEntry.h"
#include <optional>

namespace sorrelbay {

/// A call key issued by one incarnation of a daemon. Only this incarnation ever
/// runs the call, so no store is needed to run it at most once. A ticket is
/// unsigned because it grants nothing: a forged one runs at most once, too.
struct CallTicket {
  IncarnationId Owner;
  /// The address, "ip:port", at which the owner listens for callers. Another
  /// process may have it by now, so the address alone does not identify the
  /// owner.
  std::string Address;
  /// By the owner's clock; no other host evaluates it.
  Instant Expiry{};
  std::uint64_t Serial = 0;

  friend bool operator==(const CallTicket &a, const CallTicket &b) {
    return std::tie(a.Owner, a.Address, a.Expiry, a.Serial) ==
           std::tie(b.Owner, b.Address, b.Expiry, b.Serial);
  }
};

/// The ticket in the form that a caller sends as its call key.
IdempotencyKey ticketKey(const CallTicket &ticket);

/// Parses a ticket. Returns nothing if the key is a caller's own key.
std::optional<CallTicket> parseTicket(const IdempotencyKey &key);

} // namespace sorrelbay
