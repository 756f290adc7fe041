#include "LibServing/RelayPeers.h"
#include "LibBase/Hash.h"
#include <algorithm>
#include <tuple>

namespace sorrelbay {

/// A peer that could not be reached gets no calls for this long.
static constexpr Duration AvoidanceTime = seconds(1);
/// Most hosts that one host relays calls to, so that connections are reused.
static constexpr std::size_t MaxPeers = 16;

bool RelayPeers::reaches(const KnownMember &it, const ServiceId &service,
                         const FleetView &view, Instant now) {
  const FleetMember &member = it.Member;
  return member.IsReady && !member.IsLeaving && !member.RelayAddress.empty() &&
         view.isAnswering(it, now) &&
         member.UnreachableServices.count(service) == 0;
}

std::optional<RelayPeer> RelayPeers::choose(const ServiceId &service,
                                            const FleetView &view,
                                            const std::vector<HostId> &tried,
                                            std::uint64_t seed,
                                            Instant now) const {
  std::vector<std::pair<std::uint64_t, RelayPeer>> ranked;
  const std::uint64_t ownHash = stableHash(view.settings().Self.text());
  for (const auto &[host, it] : view.members())
    if (reaches(it, service, view, now))
      ranked.push_back({stableHash(it.Member.Host.text(), ownHash),
                        {it.Member.Host, it.Member.RelayAddress}});
  std::sort(ranked.begin(), ranked.end(),
            [](const auto &a, const auto &b) { return a.first < b.first; });
  ranked.resize(std::min(ranked.size(), MaxPeers));
  using Rank = std::tuple<int, std::uint64_t>;
  std::optional<Rank> least;
  std::optional<RelayPeer> chosen;
  for (const auto &[hash, peer] : ranked) {
    const bool wasTried =
        std::find(tried.begin(), tried.end(), peer.Host) != tried.end();
    const auto use = Uses.find(peer.Host);
    const bool isAvoided = use != Uses.end() && now < use->second.AvoidedUntil;
    if (wasTried || isAvoided)
      continue;
    const Rank rank{use == Uses.end() ? 0 : use->second.OpenCalls,
                    stableHash(peer.Host.text(), seed)};
    if (least && *least <= rank)
      continue;
    least = rank;
    chosen = peer;
  }
  return chosen;
}

void RelayPeers::noteSent(const HostId &peer) { ++Uses[peer].OpenCalls; }

void RelayPeers::noteEnded(const HostId &peer, bool isReached, Instant now) {
  Use &use = Uses[peer];
  use.OpenCalls = std::max(0, use.OpenCalls - 1);
  if (!isReached)
    use.AvoidedUntil = now + AvoidanceTime;
}

} // namespace sorrelbay
