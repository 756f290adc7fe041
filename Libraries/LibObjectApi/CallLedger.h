#pragma once

#include "LibDecision/BucketUpdater.h"
#include "LibObjectApi/ObjectApi.h"
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>

namespace sorrelbay {

/// The object that holds a bucket of the ledger.
std::string bucketObjectName(std::uint32_t bucket);

/// The ledger of non-repeatable calls in the object API. Thread-safe: of the
/// threads with an edit for the same bucket one speaks to the object API, and
/// the edits that come meanwhile go out together with its next update.
///
/// Lock order: the map of buckets, then one bucket. Neither is held during a
/// call of the object API.
class CallLedger {
public:
  /// The seed is for the pauses between tries that have collided.
  CallLedger(ObjectApi objects, LedgerLimits limits, std::uint64_t seed);
  ~CallLedger();
  CallLedger(const CallLedger &) = delete;
  CallLedger &operator=(const CallLedger &) = delete;

  /// Applies the edit and returns once its fate is settled. Throws nothing of
  /// the object API's: an outage is an outcome.
  EditOutcome apply(const LedgerEdit &edit);

private:
  struct Bucket;
  std::shared_ptr<Bucket> open(std::uint32_t number);
  void close(std::uint32_t number, const std::shared_ptr<Bucket> &bucket);
  void drive(Bucket &bucket, EditNumber until,
             std::unique_lock<std::mutex> &lock);
  void send(Bucket &bucket, const BucketRequest &request,
            std::unique_lock<std::mutex> &lock);
  void backOffAfterConflict();

  const ObjectApi Objects;
  const LedgerLimits Limits;
  std::mutex Mutex;
  std::map<std::uint32_t, std::shared_ptr<Bucket>> Buckets;
  std::mutex RandomMutex;
  std::mt19937_64 Engine;
};

} // namespace sorrelbay
