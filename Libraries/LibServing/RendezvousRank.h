#pragma once

#include "LibBase/Identifier.h"
#include <cstddef>
#include <optional>
#include <vector>

namespace sorrelbay {

/// The position of the host in the upstream's rendezvous hashing order of the
/// hosts, the first being 0; empty if the host is not among them. All hosts
/// that know the same hosts agree on the order without exchanging messages.
std::optional<std::size_t> rendezvousRank(const UpstreamId &upstream,
                                          const HostId &host,
                                          const std::vector<HostId> &hosts);

} // namespace sorrelbay
