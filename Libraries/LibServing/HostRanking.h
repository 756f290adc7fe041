#pragma once

#include "LibServing/FleetReport.h"
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace sorrelbay {

/// The order in which hosts become the aggregator: the largest first, hosts
/// that can't reach the store last. While the store is down no host can reach
/// it; one of them must still report to other zones, or each zone would grant
/// the whole of a team's allotment.
struct HostRank {
  bool IsStoreUnreachable = false;
  double Capacity = 0;
  HostId Host;

  friend bool operator<(const HostRank &a, const HostRank &b) {
    if (a.IsStoreUnreachable != b.IsStoreUnreachable)
      return b.IsStoreUnreachable;
    return a.Capacity != b.Capacity ? a.Capacity > b.Capacity : a.Host < b.Host;
  }
};

HostRank rankOf(const FleetMember &member);

/// The known hosts of each zone by rank. Roles are asked for several times a
/// tick and depend on the first few live hosts only, so that answers look at
/// those instead of at all hosts. Not thread-safe.
class HostRanking {
public:
  /// Whether the host takes part now; decided by the caller, as it depends on
  /// the time.
  using Predicate = std::function<bool(const HostId &)>;

  /// Adds a host, or updates its rank and zone. A host that is leaving is not
  /// ranked.
  void set(const FleetMember &member);
  void erase(const HostId &host);

  /// The zones that have a ranked host.
  std::vector<ZoneId> zones() const;
  /// The first hosts of the zone that take part, at most `count`.
  std::vector<HostId> first(const ZoneId &zone, std::size_t count,
                            const Predicate &takesPart) const;
  /// The same as if every host could reach the store.
  std::vector<HostId> firstIfReached(const ZoneId &zone, std::size_t count,
                                     const Predicate &takesPart) const;
  /// The number of hosts of the zone that take part and rank before `rank`, at
  /// most `limit`.
  std::size_t countBefore(const ZoneId &zone, const HostRank &rank,
                          std::size_t limit, const Predicate &takesPart) const;

  /// The number of hosts that answers have looked at so far.
  std::size_t visits() const { return Visits; }

private:
  struct Place {
    ZoneId Zone;
    HostRank Rank;
  };
  struct Zone {
    std::set<HostRank> Ranked;
    /// The same without regard to the store.
    std::set<HostRank> RankedIfReached;
  };

  std::vector<HostId> firstOf(const std::set<HostRank> &ranked,
                              std::size_t count,
                              const Predicate &takesPart) const;

  std::map<HostId, Place> Places;
  std::map<ZoneId, Zone> Zones;
  mutable std::size_t Visits = 0;
};

} // namespace sorrelbay
