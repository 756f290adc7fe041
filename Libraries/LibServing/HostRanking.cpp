#include "LibServing/HostRanking.h"
#include <cmath>

namespace sorrelbay {

HostRank rankOf(const FleetMember &member) {
  const double capacity = std::isfinite(member.Capacity) ? member.Capacity : 0;
  return {member.IsStoreUnreachable, capacity, member.Host};
}

static HostRank ifReached(HostRank rank) {
  rank.IsStoreUnreachable = false;
  return rank;
}

static bool isSame(const HostRank &a, const HostRank &b) {
  return !(a < b) && !(b < a);
}

void HostRanking::set(const FleetMember &member) {
  const HostRank rank = rankOf(member);
  const auto it = Places.find(member.Host);
  const bool isUnchanged = it != Places.end() &&
                           it->second.Zone == member.Zone &&
                           isSame(it->second.Rank, rank);
  if (isUnchanged && !member.IsLeaving)
    return;
  erase(member.Host);
  if (member.IsLeaving)
    return;
  Places[member.Host] = {member.Zone, rank};
  Zone &zone = Zones[member.Zone];
  zone.Ranked.insert(rank);
  zone.RankedIfReached.insert(ifReached(rank));
}

void HostRanking::erase(const HostId &host) {
  const auto place = Places.find(host);
  if (place == Places.end())
    return;
  const auto zone = Zones.find(place->second.Zone);
  zone->second.Ranked.erase(place->second.Rank);
  zone->second.RankedIfReached.erase(ifReached(place->second.Rank));
  if (zone->second.Ranked.empty())
    Zones.erase(zone);
  Places.erase(place);
}

std::vector<ZoneId> HostRanking::zones() const {
  std::vector<ZoneId> out;
  for (const auto &[zone, it] : Zones)
    out.push_back(zone);
  return out;
}

std::vector<HostId> HostRanking::firstOf(const std::set<HostRank> &ranked,
                                         std::size_t count,
                                         const Predicate &takesPart) const {
  std::vector<HostId> out;
  for (const HostRank &it : ranked) {
    if (out.size() >= count)
      break;
    ++Visits;
    if (takesPart(it.Host))
      out.push_back(it.Host);
  }
  return out;
}

std::vector<HostId> HostRanking::first(const ZoneId &zone, std::size_t count,
                                       const Predicate &takesPart) const {
  const auto it = Zones.find(zone);
  if (it == Zones.end())
    return {};
  return firstOf(it->second.Ranked, count, takesPart);
}

std::vector<HostId>
HostRanking::firstIfReached(const ZoneId &zone, std::size_t count,
                            const Predicate &takesPart) const {
  const auto it = Zones.find(zone);
  if (it == Zones.end())
    return {};
  return firstOf(it->second.RankedIfReached, count, takesPart);
}

std::size_t HostRanking::countBefore(const ZoneId &zone, const HostRank &rank,
                                     std::size_t limit,
                                     const Predicate &takesPart) const {
  const auto found = Zones.find(zone);
  if (found == Zones.end())
    return 0;
  std::size_t count = 0;
  for (const HostRank &it : found->second.Ranked) {
    if (count >= limit || !(it < rank))
      break;
    ++Visits;
    if (takesPart(it.Host))
      ++count;
  }
  return count;
}

} // namespace sorrelbay
