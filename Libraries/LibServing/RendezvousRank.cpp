#include "LibServing/RendezvousRank.h"
#include "LibBase/Hash.h"

namespace sorrelbay {

std::optional<std::size_t> rendezvousRank(const UpstreamId &upstream,
                                          const HostId &host,
                                          const std::vector<HostId> &hosts) {
  const std::uint64_t upstreamHash = stableHash(upstream.text());
  const std::uint64_t ownHash = stableHash(host.text(), upstreamHash);
  std::size_t hostsBefore = 0;
  bool isListed = false;
  for (const HostId &it : hosts) {
    isListed = isListed || it == host;
    if (stableHash(it.text(), upstreamHash) < ownHash)
      ++hostsBefore;
  }
  if (!isListed)
    return std::nullopt;
  return hostsBefore;
}

} // namespace sorrelbay
