#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// The cloud API can't be reached or its answer isn't readable.
class CloudUnavailable : public Error {
public:
  using Error::Error;
};

/// The cloud takes a host back.
struct ReclaimNotice {
  /// Grows by one a notice.
  std::uint64_t Sequence = 0;
  /// The address, "ip:port", of what runs on the host.
  std::string Address;
  Instant ReclaimAt{};
};

/// The notices after the known one; waits up to the patience for a first one.
/// Throws CloudUnavailable.
std::vector<ReclaimNotice> fetchReclaimNotices(const std::string &platform,
                                               std::uint64_t known,
                                               Duration waitLimit);

} // namespace sorrelbay
