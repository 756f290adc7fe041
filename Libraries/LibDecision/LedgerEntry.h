#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <limits>
#include <string>
#include <tuple>

namespace sorrelbay {

/// Identifies a call by the key that its caller chose. Keys are unique within a
/// team.
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

/// Number of times that the caller has sent this key, this time included; 1 is
/// the first attempt. Resends by the caller's HTTP library count, too.
using CallAttempt = std::uint32_t;
/// The caller did not declare which attempt this is.
constexpr CallAttempt UndeclaredAttempt = 0;
/// A closed mark that covers every possible attempt.
constexpr CallAttempt AllAttempts = std::numeric_limits<CallAttempt>::max();

enum class EntryState {
  /// The owner may have sent the call to a desk, or may still send it.
  Intent,
  /// The desk has answered.
  Done,
  /// The call has not run, and no attempt up to ClosedThrough will ever run it.
  Closed,
};

/// The ledger's record of one call.
struct LedgerEntry {
  CallId Call;
  EntryState State = EntryState::Intent;
  /// The attempt that put the intent.
  CallAttempt Attempt = UndeclaredAttempt;
  /// No attempt up to this one has run the call or ever will; 0 for none.
  CallAttempt ClosedThrough = 0;
  /// The daemon's incarnation that put the intent, and its number for the call.
  IncarnationId Owner;
  std::uint64_t Nonce = 0;
  /// The desk's HTTP status and body, once done. A body that is too large for
  /// the ledger is left out; HasAnswer distinguishes this from an empty body.
  int Status = 0;
  std::string Answer;
  bool HasAnswer = false;
  /// Time of the last change, by the clock of the host that made it.
  Instant Time{};
};

bool operator==(const LedgerEntry &a, const LedgerEntry &b);

} // namespace sorrelbay
