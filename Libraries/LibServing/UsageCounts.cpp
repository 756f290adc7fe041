#include "LibServing/UsageCounts.h"
#include <algorithm>

namespace sorrelbay {

std::optional<WindowNumber> mostUrgent(const std::vector<WindowNumber> &windows,
                                       Duration window, Duration dueAfterEnd,
                                       Instant trueNow) {
  std::optional<WindowNumber> next;
  bool isNextOverdue = false;
  for (const WindowNumber it : windows) {
    const bool isOverdue = Instant((it + 1) * window) + dueAfterEnd <= trueNow;
    const bool isSooner =
        !next || (isNextOverdue != isOverdue ? isNextOverdue : it < *next);
    if (!isSooner)
      continue;
    next = it;
    isNextOverdue = isOverdue;
  }
  return next;
}

WindowNumber UsageCounts::windowAt(Instant trueTime) const {
  return trueTime.time_since_epoch() / Window;
}

Instant UsageCounts::endOf(WindowNumber window) const {
  return Instant((window + 1) * Window);
}

void UsageCounts::noteBegun(const TeamId &team, Instant trueTime) {
  ++Counts[windowAt(trueTime)][Self][team];
}

void UsageCounts::noteReport(const IncarnationId &incarnation,
                             WindowNumber window, const TeamCounts &counts) {
  TeamCounts &known = Counts[window][incarnation];
  for (const auto &[team, count] : counts)
    known[team] = std::max(known[team], count);
}

void UsageCounts::forgetBefore(WindowNumber window) {
  Counts.erase(Counts.begin(), Counts.lower_bound(window));
}

TeamCounts UsageCounts::sum(WindowNumber window) const {
  TeamCounts out;
  const auto it = Counts.find(window);
  if (it == Counts.end())
    return out;
  for (const auto &[incarnation, counts] : it->second)
    for (const auto &[team, count] : counts)
      out[team] += count;
  return out;
}

std::map<WindowNumber, TeamCounts> UsageCounts::own() const {
  std::map<WindowNumber, TeamCounts> out;
  for (const auto &[window, byProcess] : Counts) {
    const auto it = byProcess.find(Self);
    if (it != byProcess.end())
      out[window] = it->second;
  }
  return out;
}

} // namespace sorrelbay
