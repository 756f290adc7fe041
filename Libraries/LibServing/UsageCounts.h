#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sorrelbay {

/// The index of a time window since 1970.
using WindowNumber = std::int64_t;
/// The number of calls that started to run, by team.
using TeamCounts = std::map<TeamId, std::int64_t>;

/// The number of calls that started to run in each of the last windows, as
/// reported by all hosts. Each process reports its own counts, which only grow;
/// the counts of a killed process are kept, because the team did use them. In a
/// large fleet other zones report sums; a sum is never added to the known
/// counts of its parts but replaces them where it is higher. Not thread-safe.
class UsageCounts {
public:
  UsageCounts(IncarnationId self, ZoneId zone, Duration window)
      : Self(std::move(self)), Zone(std::move(zone)), Window(window) {}

  /// Counts a call that started to run at the given fleet time.
  void noteCallStarted(const TeamId &team, Instant fleetTime);
  /// Records the counts of a window that a process of the zone has reported.
  void noteHost(const ZoneId &zone, const IncarnationId &incarnation,
                WindowNumber window, const TeamCounts &counts);
  /// Record the sum over a whole zone, and over all zones except this host's.
  void noteZone(const ZoneId &zone, WindowNumber window,
                const TeamCounts &counts);
  void noteOthers(WindowNumber window, const TeamCounts &counts);
  /// Records the sum over this host's zone, for hosts that don't receive the
  /// reports of each of its hosts.
  void noteOwnZone(WindowNumber window, const TeamCounts &counts);
  /// Drops all windows before the given one.
  void forgetBefore(WindowNumber window);

  WindowNumber windowAt(Instant fleetTime) const;
  Instant endOf(WindowNumber window) const;
  /// The sum over all processes.
  TeamCounts sum(WindowNumber window) const;
  /// The counts of this process, for its reports.
  std::map<WindowNumber, TeamCounts> own() const;
  /// The sum over this host's zone, and over all others.
  std::map<WindowNumber, TeamCounts> ownZone() const;
  std::map<WindowNumber, TeamCounts> otherZones() const;

  /// All counts of one window. A process that has exited no longer reports its
  /// counts, so hosts that start later would not receive them.
  struct Counted {
    std::map<ZoneId, std::map<IncarnationId, TeamCounts>> Hosts;
    std::map<ZoneId, TeamCounts> Zones;
    TeamCounts Others;
    TeamCounts OwnZone;
  };
  /// The counts of the given window and all later ones, for processes that
  /// start later.
  std::map<WindowNumber, Counted> snapshotFrom(WindowNumber window) const;
  /// Merges the snapshot of another process; the higher count is kept. Its sums
  /// over other zones are relative to its own zone and are not merged.
  void mergeSnapshot(WindowNumber window, const Counted &known);

private:
  TeamCounts ownZoneOf(const Counted &counted) const;
  TeamCounts otherZonesOf(const Counted &counted) const;

  IncarnationId Self;
  ZoneId Zone;
  Duration Window;
  std::map<WindowNumber, Counted> Windows;
};

/// Which of the windows to report first: the one that is due next. Overdue
/// windows come last, since a further delay does no more harm. Nothing if there
/// are no windows. `window` is the length of a window, `dueAfterEnd` the time
/// from its end until it is due, and `fleetNow` the fleet time.
std::optional<WindowNumber>
mostUrgentWindow(const std::vector<WindowNumber> &windows, Duration window,
                 Duration dueAfterEnd, Instant fleetNow);

} // namespace sorrelbay
