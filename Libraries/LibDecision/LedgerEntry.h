#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <limits>
#include <string>
#include <tuple>

namespace sorrelbay {

/// One call as its caller names it: keys are unique within a team.
struct CallId {
  TeamId Team;
  IdempotencyKey Key;

  friend bool operator==(const CallId &a, const CallId &b) {
    return std::tie(a.Team, a.Key) == std::tie(b.Team, b.Key);
  }
  friend bool operator<(const CallId &a, const CallId &b) {
    return std::tie(a.Team, a.Key) < std::tie(b.Team, b.Key);
  }
};

/// How often the caller has sent this key, this time included; 1 is the first
/// attempt. A caller counts each sending, those of its HTTP library too.
using CallAttempt = std::uint32_t;
/// The caller didn't say which attempt this is.
constexpr CallAttempt UndeclaredAttempt = 0;
/// A closed mark that covers every attempt there can be.
constexpr CallAttempt AllAttempts = std::numeric_limits<CallAttempt>::max();

enum class EntryState {
  /// The owner may have sent the call to a desk, or may yet send it.
  Intent,
  /// The desk has answered.
  Done,
  /// The call has not run, and no attempt up to ClosedThrough ever runs it.
  Closed,
};

/// What the ledger knows of one call.
struct LedgerEntry {
  CallId Call;
  EntryState State = EntryState::Intent;
  /// The attempt that put the intent.
  CallAttempt Attempt = UndeclaredAttempt;
  /// No attempt up to this one has run the call or will; 0 for none.
  CallAttempt ClosedThrough = 0;
  /// The daemon's incarnation that put the intent, and its number for it.
  IncarnationId Owner;
  std::uint64_t Nonce = 0;
  /// The desk's HTTP status and body, once done. A body that is too large for
  /// the ledger is left out, which HasAnswer tells from an empty one.
  int Status = 0;
  std::string Answer;
  bool HasAnswer = false;
  /// When the entry was last changed, by the clock of the host that did.
  Instant Time{};
};

bool operator==(const LedgerEntry &a, const LedgerEntry &b);

} // namespace sorrelbay
