#pragma once

#include "LibDecision/LedgerBucket.h"
#include <optional>
#include <vector>

namespace sorrelbay {

/// A request to the object API for one bucket.
struct BucketRequest {
  enum class Kind { Read, Write };
  Kind What = Kind::Read;
  /// For a write: the new body and the version that it replaces.
  std::string Body;
  std::uint64_t ExpectedVersion = AbsentVersion;
};

/// The submitter's number for an edit.
using EditNumber = std::uint64_t;

/// An edit with its final outcome.
struct FinishedEdit {
  EditNumber Number = 0;
  EditOutcome Outcome;
};

/// Applies one daemon's edits of one bucket through the object API. At most one
/// request is in flight. All edits submitted meanwhile share the next
/// conditional update, so that a busy bucket needs one write for many calls.
///
/// No outcome is based on this daemon's cached state alone: an outcome that
/// changes the bucket is reported only after the conditional update took
/// effect, and one that changes nothing only from a bucket read after the edit
/// was submitted.
class BucketUpdater {
public:
  explicit BucketUpdater(LedgerLimits limits) : Limits(limits) {}

  void submit(EditNumber number, LedgerEdit edit);
  /// Returns the request to send now, or nothing while one is in flight or no
  /// edit is waiting.
  std::optional<BucketRequest> next(Instant at);

  /// Results of the request in flight. A body that can't be decoded counts as
  /// an outage.
  void onRead(const std::optional<StoredObject> &object);
  void onWritten(std::uint64_t version);
  void onConflict();
  /// The read failed, or the write did not take effect.
  void onUnavailable();
  /// The write's reply was lost. The bucket is read again; edits that took
  /// effect are recognised by their own entries, the others are written again.
  void onWriteOutcomeUnknown();

  /// Returns the edits finished since the last call.
  std::vector<FinishedEdit> takeFinished();
  bool isIdle() const { return !IsRequestInFlight && Waiting.empty(); }

private:
  struct Pending {
    EditNumber Number = 0;
    LedgerEdit Edit;
    EditOutcome Outcome;
    int Tries = 0;
    bool MayHaveBeenWritten = false;
  };
  enum class Evaluation { Changed, Unchanged, NeedsRead };

  Evaluation evaluate(LedgerBucket &bucket, Instant at);
  BucketRequest request(BucketRequest::Kind kind);
  void moveToFinished(std::vector<Pending> edits);
  void failAll();
  void retryLater();

  LedgerLimits Limits;
  /// Edits waiting for the next update, and edits of the update in flight.
  std::vector<Pending> Waiting;
  std::vector<Pending> InFlight;
  std::vector<FinishedEdit> Finished;
  bool IsRequestInFlight = false;
  /// The bucket as last read or written, and the one being written.
  bool IsKnown = false;
  bool IsFresh = false;
  LedgerBucket Known;
  LedgerBucket Next;
  std::uint64_t Version = AbsentVersion;
};

} // namespace sorrelbay
