#pragma once

#include "LibDecision/LedgerEntry.h"
#include <optional>

namespace sorrelbay {

enum class EditKind {
  /// Claims the call for the owner, which alone may then send it.
  PutIntent,
  /// Records the desk's answer in the owner's entry.
  PutResult,
  /// Prevents the call from running, unless it may have run already.
  Close,
};

/// One change of the ledger. Edits are idempotent, so that after a lost reply
/// the bucket can be read and the edit applied again.
struct LedgerEdit {
  EditKind Kind = EditKind::PutIntent;
  CallId Call;
  CallAttempt Attempt = UndeclaredAttempt;
  IncarnationId Owner;
  std::uint64_t Nonce = 0;
  /// The desk's answer, for PutResult.
  int Status = 0;
  std::string Answer;
};

enum class EditVerdict {
  /// The owner's own intent or result is in the ledger.
  Accepted,
  /// No attempt up to this one has run the call or ever will.
  NotRun,
  /// Another attempt holds the call and may have run it.
  HeldByOther,
  /// The call is done; the entry has the answer.
  AlreadyDone,
  /// The bucket is full; nothing was changed.
  Full,
  /// The ledger could not be read or written.
  Unavailable,
};

/// The outcome of an edit.
struct EditOutcome {
  EditVerdict Verdict = EditVerdict::Unavailable;
  /// The current entry, for AlreadyDone.
  std::optional<LedgerEntry> Entry;
  /// Set for Unavailable if a write was sent whose outcome isn't known.
  bool MayHaveBeenWritten = false;
};

} // namespace sorrelbay
