#include "LibObjectApi/CallLedger.h"
#include <cstdio>
#include <thread>
#include <utility>

namespace sorrelbay {

// How many buckets' contents are kept after use, which saves the read before
// the next update. A bucket has tens of kilobytes on a busy day.
static constexpr std::size_t MaxKeptBuckets = 64;
// A collision means that another daemon has just written the same bucket; one
// update takes a few milliseconds.
static constexpr Duration MaxCollisionPause = milliseconds(8);

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
  /// Settled edits whose threads have not yet fetched the outcome.
  std::map<EditNumber, EditOutcome> Settled;
  EditNumber LastNumber = 0;
  /// Whether a thread speaks to the object API for this bucket.
  bool HasDriver = false;
  /// Threads that are in apply(); guarded by the ledger's lock.
  int Users = 0;
};

CallLedger::CallLedger(ObjectApi objects, LedgerLimits limits,
                       std::uint64_t seed)
    : Objects(std::move(objects)), Limits(limits), Engine(seed) {}

CallLedger::~CallLedger() = default;

EditOutcome CallLedger::apply(const LedgerEdit &edit) {
  const std::uint32_t number = bucketOf(edit.Call);
  const std::shared_ptr<Bucket> bucket = open(number);
  EditOutcome outcome;
  {
    std::unique_lock<std::mutex> lock(bucket->Mutex);
    const EditNumber own = ++bucket->LastNumber;
    bucket->Updater.submit(own, edit);
    drive(*bucket, own, lock);
    outcome = std::move(bucket->Settled.extract(own).mapped());
  }
  close(number, bucket);
  return outcome;
}

std::shared_ptr<CallLedger::Bucket> CallLedger::open(std::uint32_t number) {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::shared_ptr<Bucket> &bucket = Buckets[number];
  if (!bucket)
    bucket = std::make_shared<Bucket>(number, Limits);
  bucket->Users++;
  return bucket;
}

void CallLedger::close(std::uint32_t number,
                       const std::shared_ptr<Bucket> &bucket) {
  const std::lock_guard<std::mutex> lock(Mutex);
  bucket->Users--;
  if (bucket->Users == 0 && Buckets.size() > MaxKeptBuckets)
    Buckets.erase(number);
}

// Returns once the thread's own edit is settled. The thread that finds nobody
// speaking to the object API does so, and passes that on when it has what it
// came for.
void CallLedger::drive(Bucket &bucket, EditNumber until,
                       std::unique_lock<std::mutex> &lock) {
  while (bucket.Settled.count(until) == 0) {
    if (bucket.HasDriver) {
      bucket.Changed.wait(lock);
      continue;
    }
    bucket.HasDriver = true;
    const auto request = bucket.Updater.next(now());
    if (request)
      send(bucket, *request, lock);
    for (FinishedEdit &it : bucket.Updater.takeFinished())
      bucket.Settled.emplace(it.Number, std::move(it.Outcome));
    bucket.HasDriver = false;
    bucket.Changed.notify_all();
  }
}

void CallLedger::send(Bucket &bucket, const BucketRequest &request,
                      std::unique_lock<std::mutex> &lock) {
  std::function<void(BucketUpdater &)> tell;
  lock.unlock();
  try {
    if (request.What == BucketRequest::Kind::Read) {
      const auto object = Objects.Read(bucket.Name);
      tell = [object](BucketUpdater &it) { it.onRead(object); };
    } else {
      const std::uint64_t version =
          Objects.Write(bucket.Name, request.Body, request.ExpectedVersion);
      tell = [version](BucketUpdater &it) { it.onWritten(version); };
    }
  } catch (const VersionConflict &) {
    backOffAfterConflict();
    tell = [](BucketUpdater &it) { it.onConflict(); };
  } catch (const WriteOutcomeUnknown &) {
    tell = [](BucketUpdater &it) { it.onWriteOutcomeUnknown(); };
  } catch (const Error &) {
    tell = [](BucketUpdater &it) { it.onUnavailable(); };
  }
  lock.lock();
  tell(bucket.Updater);
}

void CallLedger::backOffAfterConflict() {
  Duration pause;
  {
    const std::lock_guard<std::mutex> lock(RandomMutex);
    pause = Duration(Engine() % MaxCollisionPause.count());
  }
  std::this_thread::sleep_for(pause);
}

} // namespace sorrelbay
