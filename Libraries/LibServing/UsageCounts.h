#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sorrelbay {

/// The number of a window of time since 1970.
using WindowNumber = std::int64_t;
/// Calls that began to run, by team.
using TeamCounts = std::map<TeamId, std::int64_t>;

/// The calls that began to run in each of the last windows, as reported by all
/// hosts. Each process reports its own counts, which only grow; the counts of a
/// process that has been killed stay, because the team did use them. In a large
/// fleet other zones report sums; a sum never adds to what is known of its
/// parts but takes their place where it is higher. Not thread-safe.
class UsageCounts {
public:
  UsageCounts(IncarnationId self, ZoneId zone, Duration window)
      : Self(std::move(self)), Zone(std::move(zone)), Window(window) {}

  /// A call began to run at that time, true time since 1970.
  void noteCallStarted(const TeamId &team, Instant fleetTime);
  /// A process of that zone has reported its counts of a window.
  void noteHost(const ZoneId &zone, const IncarnationId &incarnation,
                WindowNumber window, const TeamCounts &counts);
  /// The sum over a whole zone, or over all zones but this host's.
  void noteZone(const ZoneId &zone, WindowNumber window,
                const TeamCounts &counts);
  void noteOthers(WindowNumber window, const TeamCounts &counts);
  /// The sum over this host's zone, where it doesn't hear each of its hosts.
  void noteOwnZone(WindowNumber window, const TeamCounts &counts);
  /// Drops windows before that one.
  void forgetBefore(WindowNumber window);

  WindowNumber windowAt(Instant fleetTime) const;
  Instant endOf(WindowNumber window) const;
  /// The sum over all processes.
  TeamCounts sum(WindowNumber window) const;
  /// What this process counted, for its reports.
  std::map<WindowNumber, TeamCounts> own() const;
  /// The sum over this host's zone, and over all others.
  std::map<WindowNumber, TeamCounts> ownZone() const;
  std::map<WindowNumber, TeamCounts> otherZones() const;

  /// What is known of one window. A process that is gone tells its counts no
  /// more, and hosts that start later never hear of it.
  struct Counted {
    std::map<ZoneId, std::map<IncarnationId, TeamCounts>> Hosts;
    std::map<ZoneId, TeamCounts> Zones;
    TeamCounts Others;
    TeamCounts OwnZone;
  };
  /// What is known of the windows from that one on, for those that come after
  /// this process.
  std::map<WindowNumber, Counted> snapshotFrom(WindowNumber window) const;
  /// Takes over what another process knew; what is known already stays where it
  /// is more. Sums over other zones are its own and not taken.
  void mergeSnapshot(WindowNumber window, const Counted &known);

private:
  TeamCounts ownZoneOf(const Counted &counted) const;
  TeamCounts otherZonesOf(const Counted &counted) const;

  IncarnationId Self;
  ZoneId Zone;
  Duration Window;
  std::map<WindowNumber, Counted> Windows;
};

/// Which of the windows to report first: the one that is due next; those whose
/// time is over already come last, since nothing is lost by their waiting.
/// Nothing if there is none. The window and the due time are spans; the time is
/// true time since 1970.
std::optional<WindowNumber>
mostUrgentWindow(const std::vector<WindowNumber> &windows, Duration window,
                 Duration dueAfterEnd, Instant fleetNow);

} // namespace sorrelbay
