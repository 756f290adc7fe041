#pragma once

#include "LibBase/Error.h"
#include "LibDecision/LedgerBucket.h"

namespace sorrelbay {

/// A bucket's body cannot be decoded. This must be treated as an outage and
/// never as an empty bucket, which would let every call in it run again.
class LedgerBucketUnreadable : public Error {
public:
  using Error::Error;
};

/// Encodes the bucket as CBOR; equal buckets give equal bytes.
std::string encodeBucket(const LedgerBucket &bucket);

/// The inverse of encodeBucket. Throws LedgerBucketUnreadable.
LedgerBucket decodeBucket(const std::string &body);

} // namespace sorrelbay
