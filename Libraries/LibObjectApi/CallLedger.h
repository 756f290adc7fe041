#pragma once

#include "LibDecision/BucketUpdater.h"
#include "LibObjectApi/ObjectApi.h"
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>

namespace sorrelbay {

/// The name of the object that stores a bucket of the ledger.
std::string bucketObjectName(std::uint32_t bucket);

/// The ledger of non-repeatable calls, stored in the object API. Thread-safe.
/// One thread per bucket calls the object API at a time; edits that other
/// threads submit meanwhile are sent together in the next update.
///
/// Lock order: the map of buckets, then one bucket. Neither lock is held
/// during a call to the object API.
class CallLedger {
public:
  /// The seed is for the random delays before retries after version conflicts.
  CallLedger(ObjectApi objects, LedgerLimits limits, std::uint64_t seed);
  ~CallLedger();
  CallLedger(const CallLedger &) = delete;
  CallLedger &operator=(const CallLedger &) = delete;

  /// Applies the edit and returns its outcome once that is final. Errors of the
  /// object API are not thrown; an outage is reported as an outcome.
  EditOutcome apply(const LedgerEdit &edit);

private:
  struct Bucket;
  std::shared_ptr<Bucket> open(std::uint32_t number);
  void close(std::uint32_t number, const std::shared_ptr<Bucket> &bucket);
  void processUntilFinished(Bucket &bucket, EditNumber edit,
                            std::unique_lock<std::mutex> &lock);
  void sendRequest(Bucket &bucket, const BucketRequest &request,
                   std::unique_lock<std::mutex> &lock);
  void backOffAfterConflict();

  const ObjectApi Objects;
  const LedgerLimits Limits;
  std::mutex Mutex;
  std::map<std::uint32_t, std::shared_ptr<Bucket>> Buckets;
  std::mutex RandomMutex;
  std::mt19937_64 RandomEngine;
};

} // namespace sorrelbay
