#include "LibObjectApi/CallLedger.h"
#include <cstdio>
#include <thread>
#include <utility>

namespace sorrelbay {

// The number of buckets that stay cached after use, which saves the read before
// the next update. A bucket has tens of kilobytes on a busy day.
static constexpr std::size_t MaxCachedBuckets = 64;
// The longest random delay after a version conflict. A conflict means that
// another daemon has just written the same bucket; one update takes a few
// milliseconds.
static constexpr Duration MaxConflictDelay = milliseconds(8);

std::string bucketObjectName(std::uint32_t bucket) {
  char name[32];
  std::snprintf(name, sizeof(name), "ledger/%04u", bucket);
  return name;
}

struct CallLedger::Bucket {
  Bucket(std::uint32_t number, const LedgerLimits &limits)
      : Name(bucketObjectName(number)), Updater(limits) {}

  const std::string Name;
  std::mutex Mutex;
  std::condition_variable Changed;
  BucketUpdater Updater;
  /// Outcomes that have not yet been fetched by the threads of their edits.
  std::map<EditNumber, EditOutcome> Outcomes;
  EditNumber LastNumber = 0;
  /// Whether a thread is processing the edits of this bucket.
  bool IsBeingProcessed = false;
  /// The number of threads in apply(); guarded by the ledger's lock.
  int UserCount = 0;
};

CallLedger::CallLedger(ObjectApi objects, LedgerLimits limits,
                       std::uint64_t seed)
    : Objects(std::move(objects)), Limits(limits), RandomEngine(seed) {}

CallLedger::~CallLedger() = default;

EditOutcome CallLedger::apply(const LedgerEdit &edit) {
  const std::uint32_t number = bucketOf(edit.Call);
  const std::shared_ptr<Bucket> bucket = open(number);
  EditOutcome outcome;
  {
    std::unique_lock<std::mutex> lock(bucket->Mutex);
    const EditNumber own = ++bucket->LastNumber;
    bucket->Updater.submit(own, edit);
    processUntilFinished(*bucket, own, lock);
    outcome = std::move(bucket->Outcomes.extract(own).mapped());
  }
  close(number, bucket);
  return outcome;
}

std::shared_ptr<CallLedger::Bucket> CallLedger::open(std::uint32_t number) {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::shared_ptr<Bucket> &bucket = Buckets[number];
  if (!bucket)
    bucket = std::make_shared<Bucket>(number, Limits);
  bucket->UserCount++;
  return bucket;
}

void CallLedger::close(std::uint32_t number,
                       const std::shared_ptr<Bucket> &bucket) {
  const std::lock_guard<std::mutex> lock(Mutex);
  bucket->UserCount--;
  if (bucket->UserCount == 0 && Buckets.size() > MaxCachedBuckets)
    Buckets.erase(number);
}

// Returns once the thread's own edit has an outcome. A thread that finds no
// other thread processing the bucket's edits does so itself, and stops as soon
// as its own edit has an outcome.
void CallLedger::processUntilFinished(Bucket &bucket, EditNumber edit,
                                      std::unique_lock<std::mutex> &lock) {
  while (bucket.Outcomes.count(edit) == 0) {
    if (bucket.IsBeingProcessed) {
      bucket.Changed.wait(lock);
      continue;
    }
    bucket.IsBeingProcessed = true;
    const auto request = bucket.Updater.next(now());
    if (request)
      sendRequest(bucket, *request, lock);
    for (FinishedEdit &it : bucket.Updater.takeFinished())
      bucket.Outcomes.emplace(it.Number, std::move(it.Outcome));
    bucket.IsBeingProcessed = false;
    bucket.Changed.notify_all();
  }
}

void CallLedger::sendRequest(Bucket &bucket, const BucketRequest &request,
                             std::unique_lock<std::mutex> &lock) {
  std::function<void(BucketUpdater &)> applyResult;
  lock.unlock();
  try {
    if (request.What == BucketRequest::Kind::Read) {
      const auto object = Objects.Read(bucket.Name);
      applyResult = [object](BucketUpdater &it) { it.onRead(object); };
    } else {
      const std::uint64_t version =
          Objects.Write(bucket.Name, request.Body, request.ExpectedVersion);
      applyResult = [version](BucketUpdater &it) { it.onWritten(version); };
    }
  } catch (const VersionConflict &) {
    backOffAfterConflict();
    applyResult = [](BucketUpdater &it) { it.onConflict(); };
  } catch (const WriteOutcomeUnknown &) {
    applyResult = [](BucketUpdater &it) { it.onWriteOutcomeUnknown(); };
  } catch (const Error &) {
    applyResult = [](BucketUpdater &it) { it.onUnavailable(); };
  }
  lock.lock();
  applyResult(bucket.Updater);
}

void CallLedger::backOffAfterConflict() {
  Duration delay;
  {
    const std::lock_guard<std::mutex> lock(RandomMutex);
    delay = Duration(RandomEngine() % MaxConflictDelay.count());
  }
  std::this_thread::sleep_for(delay);
}

} // namespace sorrelbay
