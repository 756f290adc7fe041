#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// The cloud API is unreachable or its response is malformed.
class CloudUnavailable : public Error {
public:
  using Error::Error;
};

/// A notice that the cloud is about to reclaim a host.
struct ReclaimNotice {
  /// Incremented by one with each notice.
  std::uint64_t Sequence = 0;
  /// The address, "ip:port", of the process on the host.
  std::string Address;
  Instant ReclaimAt{};
};

/// Fetches the notices with a sequence number greater than `known`. If there is
/// none yet, waits up to waitLimit for one. Throws CloudUnavailable.
std::vector<ReclaimNotice> fetchReclaimNotices(const std::string &platform,
                                               std::uint64_t known,
                                               Duration waitLimit);

/// Parses notices. A malformed one is skipped; throws CloudUnavailable if all
/// are, or if the text is no list.
std::vector<ReclaimNotice> parseReclaimNotices(const std::string &text);

} // namespace sorrelbay
