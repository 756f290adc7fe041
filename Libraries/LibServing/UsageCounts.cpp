#include "LibServing/UsageCounts.h"
#include <algorithm>

namespace sorrelbay {

std::optional<WindowNumber>
mostUrgentWindow(const std::vector<WindowNumber> &windows, Duration window,
                 Duration dueAfterEnd, Instant fleetNow) {
  std::optional<WindowNumber> next;
  bool isNextOverdue = false;
  for (const WindowNumber it : windows) {
    const bool isOverdue = Instant((it + 1) * window) + dueAfterEnd <= fleetNow;
    const bool isSooner =
        !next || (isNextOverdue != isOverdue ? isNextOverdue : it < *next);
    if (!isSooner)
      continue;
    next = it;
    isNextOverdue = isOverdue;
  }
  return next;
}

static void raiseCounts(TeamCounts &known, const TeamCounts &counts) {
  for (const auto &[team, count] : counts)
    known[team] = std::max(known[team], count);
}

static void addCounts(TeamCounts &sum, const TeamCounts &counts) {
  for (const auto &[team, count] : counts)
    sum[team] += count;
}

WindowNumber UsageCounts::windowAt(Instant fleetTime) const {
  return fleetTime.time_since_epoch() / Window;
}

Instant UsageCounts::endOf(WindowNumber window) const {
  return Instant((window + 1) * Window);
}

void UsageCounts::noteCallStarted(const TeamId &team, Instant fleetTime) {
  ++Windows[windowAt(fleetTime)].Hosts[Zone][Self][team];
}

void UsageCounts::noteHost(const ZoneId &zone, const IncarnationId &incarnation,
                           WindowNumber window, const TeamCounts &counts) {
  raiseCounts(Windows[window].Hosts[zone][incarnation], counts);
}

void UsageCounts::noteZone(const ZoneId &zone, WindowNumber window,
                           const TeamCounts &counts) {
  raiseCounts(Windows[window].Zones[zone], counts);
}

void UsageCounts::noteOwnZone(WindowNumber window, const TeamCounts &counts) {
  raiseCounts(Windows[window].OwnZone, counts);
}

void UsageCounts::noteOthers(WindowNumber window, const TeamCounts &counts) {
  raiseCounts(Windows[window].Others, counts);
}

std::map<WindowNumber, UsageCounts::Counted>
UsageCounts::snapshotFrom(WindowNumber window) const {
  return {Windows.lower_bound(window), Windows.end()};
}

void UsageCounts::mergeSnapshot(WindowNumber window, const Counted &known) {
  for (const auto &[zone, hosts] : known.Hosts)
    for (const auto &[incarnation, counts] : hosts)
      noteHost(zone, incarnation, window, counts);
  for (const auto &[zone, counts] : known.Zones)
    noteZone(zone, window, counts);
}

void UsageCounts::forgetBefore(WindowNumber window) {
  Windows.erase(Windows.begin(), Windows.lower_bound(window));
}

TeamCounts UsageCounts::ownZoneOf(const Counted &counted) const {
  TeamCounts out;
  const auto hosts = counted.Hosts.find(Zone);
  if (hosts != counted.Hosts.end())
    for (const auto &[incarnation, counts] : hosts->second)
      addCounts(out, counts);
  raiseCounts(out, counted.OwnZone);
  return out;
}

TeamCounts UsageCounts::otherZonesOf(const Counted &counted) const {
  std::map<ZoneId, TeamCounts> zones;
  for (const auto &[zone, hosts] : counted.Hosts)
    for (const auto &[incarnation, counts] : hosts)
      addCounts(zones[zone], counts);
  for (const auto &[zone, counts] : counted.Zones)
    raiseCounts(zones[zone], counts);
  zones.erase(Zone);
  TeamCounts out;
  for (const auto &[zone, counts] : zones)
    addCounts(out, counts);
  raiseCounts(out, counted.Others);
  return out;
}

TeamCounts UsageCounts::sum(WindowNumber window) const {
  const auto it = Windows.find(window);
  if (it == Windows.end())
    return {};
  TeamCounts out = ownZoneOf(it->second);
  addCounts(out, otherZonesOf(it->second));
  return out;
}

std::map<WindowNumber, TeamCounts> UsageCounts::own() const {
  std::map<WindowNumber, TeamCounts> out;
  for (const auto &[window, counted] : Windows) {
    const auto hosts = counted.Hosts.find(Zone);
    if (hosts == counted.Hosts.end())
      continue;
    const auto it = hosts->second.find(Self);
    if (it != hosts->second.end())
      out[window] = it->second;
  }
  return out;
}

std::map<WindowNumber, TeamCounts> UsageCounts::ownZone() const {
  std::map<WindowNumber, TeamCounts> out;
  for (const auto &[window, counted] : Windows)
    out[window] = ownZoneOf(counted);
  return out;
}

std::map<WindowNumber, TeamCounts> UsageCounts::otherZones() const {
  std::map<WindowNumber, TeamCounts> out;
  for (const auto &[window, counted] : Windows)
    out[window] = otherZonesOf(counted);
  return out;
}

} // namespace sorrelbay
