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

/// The calls that began to run in each of the last windows, as told by all
/// hosts. Each process reports its own counts, which only grow; the counts of a
/// process that has been killed stay, because the team did use them.
class UsageCounts {
public:
  UsageCounts(IncarnationId self, Duration window)
      : Self(std::move(self)), Window(window) {}

  /// A call began to run at that time, true time since 1970.
  void noteBegun(const TeamId &team, Instant trueTime);
  /// A process has reported its counts of a window.
  void noteReport(const IncarnationId &incarnation, WindowNumber window,
                  const TeamCounts &counts);
  /// Drops windows before that one.
  void forgetBefore(WindowNumber window);

  WindowNumber windowAt(Instant trueTime) const;
  Instant endOf(WindowNumber window) const;
  /// The sum over all processes.
  TeamCounts sum(WindowNumber window) const;
  /// What this process counted, for its reports.
  std::map<WindowNumber, TeamCounts> own() const;

private:
  IncarnationId Self;
  Duration Window;
  std::map<WindowNumber, std::map<IncarnationId, TeamCounts>> Counts;
};

/// Which of the windows to report first: the one that is due next; those whose
/// time is over already come last, since nothing is lost by their waiting.
/// Nothing if there is none. The window and the due time are spans; the time is
/// true time since 1970.
std::optional<WindowNumber> mostUrgent(const std::vector<WindowNumber> &windows,
                                       Duration window, Duration dueAfterEnd,
                                       Instant trueNow);

} // namespace sorrelbay
