#include "LibDecision/BucketUpdater.h"
#include "LibDecision/LedgerCodec.h"
#include <utility>

namespace sorrelbay {

// An edit fails as in an outage after this many lost update races, so that its
// caller gets an answer.
static constexpr int MaxUpdateTries = 16;

void BucketUpdater::submit(EditNumber number, LedgerEdit edit) {
  Pending pending;
  pending.Number = number;
  pending.Edit = std::move(edit);
  Waiting.push_back(std::move(pending));
}

std::optional<BucketRequest> BucketUpdater::next(Instant at) {
  if (IsRequestInFlight || Waiting.empty())
    return std::nullopt;
  if (!IsKnown)
    return request(BucketRequest::Kind::Read);
  LedgerBucket bucket = Known;
  const Evaluation evaluation = evaluate(bucket, at);
  if (evaluation == Evaluation::NeedsRead)
    return request(BucketRequest::Kind::Read);
  IsFresh = false;
  if (evaluation == Evaluation::Unchanged) {
    moveToFinished(std::exchange(Waiting, {}));
    return std::nullopt;
  }
  Next = std::move(bucket);
  InFlight = std::exchange(Waiting, {});
  BucketRequest write = request(BucketRequest::Kind::Write);
  write.Body = encodeBucket(Next);
  write.ExpectedVersion = Version;
  return write;
}

BucketUpdater::Evaluation BucketUpdater::evaluate(LedgerBucket &bucket,
                                                  Instant at) {
  Evaluation result = Evaluation::Unchanged;
  for (Pending &it : Waiting) {
    LedgerBucket::Applied applied = bucket.apply(it.Edit, Limits, at);
    if (!applied.HasChanged && !IsFresh)
      return Evaluation::NeedsRead;
    if (applied.HasChanged)
      result = Evaluation::Changed;
    it.Outcome = std::move(applied.Outcome);
  }
  return result;
}

BucketRequest BucketUpdater::request(BucketRequest::Kind kind) {
  IsRequestInFlight = true;
  BucketRequest request;
  request.What = kind;
  return request;
}

void BucketUpdater::onRead(const std::optional<StoredObject> &object) {
  try {
    Known = object ? decodeBucket(object->Body) : LedgerBucket{};
  } catch (const LedgerBucketUnreadable &) {
    onUnavailable();
    return;
  }
  IsRequestInFlight = false;
  Version = object ? object->Version : AbsentVersion;
  IsKnown = true;
  IsFresh = true;
}

void BucketUpdater::onWritten(std::uint64_t version) {
  IsRequestInFlight = false;
  Known = std::move(Next);
  Version = version;
  moveToFinished(std::exchange(InFlight, {}));
}

void BucketUpdater::onConflict() { retryLater(); }

void BucketUpdater::onWriteOutcomeUnknown() {
  for (Pending &it : InFlight)
    it.MayHaveBeenWritten = true;
  retryLater();
}

void BucketUpdater::onUnavailable() {
  IsRequestInFlight = false;
  IsKnown = false;
  failAll();
}

// Requeues the edits of the failed write before those submitted since, and
// forces a read of the bucket.
void BucketUpdater::retryLater() {
  IsRequestInFlight = false;
  IsKnown = false;
  std::vector<Pending> newer = std::exchange(Waiting, {});
  for (Pending &it : InFlight) {
    it.Tries++;
    if (it.Tries >= MaxUpdateTries)
      Finished.push_back({it.Number, {EditVerdict::Unavailable, {}, true}});
    else
      Waiting.push_back(std::move(it));
  }
  InFlight.clear();
  for (Pending &it : newer)
    Waiting.push_back(std::move(it));
}

void BucketUpdater::failAll() {
  for (std::vector<Pending> *list : {&InFlight, &Waiting}) {
    for (const Pending &it : *list)
      Finished.push_back(
          {it.Number, {EditVerdict::Unavailable, {}, it.MayHaveBeenWritten}});
    list->clear();
  }
}

void BucketUpdater::moveToFinished(std::vector<Pending> edits) {
  for (Pending &it : edits)
    Finished.push_back({it.Number, std::move(it.Outcome)});
}

std::vector<FinishedEdit> BucketUpdater::takeFinished() {
  return std::exchange(Finished, {});
}

} // namespace sorrelbay
