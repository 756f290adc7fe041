#pragma once

#include "LibServing/FleetView.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// A host to which a call is relayed.
struct RelayPeer {
  HostId Host;
  /// The address on which it accepts relayed calls.
  std::string Address;
};

/// Chooses the hosts to which this host relays the calls that it can't send to
/// an upstream itself. Not thread-safe.
class RelayPeers {
public:
  /// The host to relay a call to the service to: one that reaches the service,
  /// with the fewest calls relayed to it by this host; empty if there is none.
  /// `tried` are hosts that declined the call. `seed` decides between equals.
  std::optional<RelayPeer> choose(const ServiceId &service,
                                  const FleetView &view,
                                  const std::vector<HostId> &tried,
                                  std::uint64_t seed, Instant now) const;
  void noteSent(const HostId &peer);
  /// Records the end of a relayed call. A peer that can't be reached gets none
  /// for a while.
  void noteEnded(const HostId &peer, bool isReached, Instant now);

private:
  struct Use {
    int OpenCalls = 0;
    Instant AvoidedUntil{};
  };

  static bool reaches(const KnownMember &it, const ServiceId &service,
                      const FleetView &view, Instant now);

  std::map<HostId, Use> Uses;
};

} // namespace sorrelbay
