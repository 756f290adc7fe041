#pragma once

#include "LibDecision/LedgerEdit.h"
#include "LibObjectApi/ObjectApi.h"
#include <cstddef>
#include <map>

namespace sorrelbay {

/// Limits on the size and the retention of a bucket.
struct LedgerLimits {
  std::size_t MaxBytes = MaxObjectBytes;
  /// Largest answer that is stored for retries, in bytes. A larger one is
  /// left out of the entry.
  std::size_t MaxAnswerBytes = 1024;
  /// How long an entry is kept after its last change. A key must not be reused
  /// after that time.
  Duration Retention = hours(24);
};

/// Number of buckets in one region's ledger. All daemons must use the same
/// value.
constexpr std::uint32_t LedgerBucketCount = 4096;

/// Returns the bucket of a call.
std::uint32_t bucketOf(const CallId &call,
                       std::uint32_t count = LedgerBucketCount);

/// The entries of one object of the ledger. This class alone decides which
/// attempt may run a call; the conditional update of the object puts the edits
/// of all hosts in one order.
class LedgerBucket {
public:
  struct Applied {
    EditOutcome Outcome;
    /// Whether the bucket changed and must be written before the outcome is
    /// reported.
    bool HasChanged = false;
  };

  /// Drops entries older than the retention, then applies the edit.
  Applied apply(const LedgerEdit &edit, const LedgerLimits &limits, Instant at);

  const std::map<CallId, LedgerEntry> &entries() const { return Entries; }
  /// Inserts an entry as it was stored.
  void insert(LedgerEntry entry);
  /// An upper bound on the size of the encoded bucket, in bytes.
  std::size_t encodedBound() const;

  friend bool operator==(const LedgerBucket &a, const LedgerBucket &b) {
    return a.Entries == b.Entries;
  }

private:
  Applied applyIntent(const LedgerEdit &edit, const LedgerLimits &limits,
                      Instant at);
  Applied applyResult(const LedgerEdit &edit, const LedgerLimits &limits,
                      Instant at);
  Applied applyClose(const LedgerEdit &edit, const LedgerLimits &limits,
                     Instant at);
  Applied closeThrough(const LedgerEdit &edit, const LedgerLimits &limits,
                       Instant at);
  Applied store(LedgerEntry entry, EditVerdict verdict, std::size_t maxBytes);
  void prune(Duration retention, Instant at);
  const LedgerEntry *find(const CallId &call) const;

  std::map<CallId, LedgerEntry> Entries;
  /// Sum of the size bounds of all entries, in bytes.
  std::size_t Bound = 0;
};

/// Whether the entry was put by the owner of this edit.
bool isOwn(const LedgerEntry &entry, const LedgerEdit &edit);

} // namespace sorrelbay
