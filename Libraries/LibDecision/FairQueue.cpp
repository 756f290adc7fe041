#include "LibDecision/FairQueue.h"
#include "LibBase/Invariant.h"
#include <algorithm>
#include <set>
#include <utility>

namespace sorrelbay {

void FairQueue::setWeights(std::map<TeamId, int> weights) {
  Weights = std::move(weights);
}

double FairQueue::weightOf(const TeamId &team) const {
  const auto found = Weights.find(team);
  return found == Weights.end() ? 1 : std::max(1, found->second);
}

void FairQueue::push(const QueuedCall &call) {
  Level &level = Levels[call.Priority];
  const auto added = level.Teams.try_emplace(call.OfTeam);
  TeamQueue &queue = added.first->second;
  if (added.second) {
    queue.Deficit = Quantum * weightOf(call.OfTeam);
    level.NewTeams.push_back(call.OfTeam);
  }
  queue.Calls.push_back(call);
  queue.Cost += call.Cost;
  ++level.Calls;
  ++Size;
}

QueuedCall FairQueue::dropFront(Level &level, TeamQueue &queue) {
  QueuedCall call = queue.Calls.front();
  queue.Cost -= call.Cost;
  queue.Calls.pop_front();
  --level.Calls;
  --Size;
  return call;
}

QueuedCall FairQueue::takeFront(Level &level) {
  for (;;) {
    const bool isNew = !level.NewTeams.empty();
    std::list<TeamId> &turns = isNew ? level.NewTeams : level.OldTeams;
    const TeamId team = turns.front();
    TeamQueue &queue = level.Teams[team];
    // Also for a team that has nothing left: forgotten with its debt, it would
    // be back with a full quantum.
    const bool isInDebt = queue.Deficit <= 0;
    if (isInDebt)
      queue.Deficit += Quantum * weightOf(team);
    if (isInDebt || (queue.Calls.empty() && isNew)) {
      level.OldTeams.splice(level.OldTeams.end(), turns, turns.begin());
      continue;
    }
    if (queue.Calls.empty()) {
      turns.pop_front();
      level.Teams.erase(team);
      continue;
    }
    queue.Deficit -= queue.Calls.front().Cost;
    return dropFront(level, queue);
  }
}

std::optional<QueuedCall>
FairQueue::pop(const std::function<bool(const QueuedCall &)> &isHopeless,
               std::vector<QueuedCall> &hopeless) {
  while (!Levels.empty()) {
    const auto highest = Levels.begin();
    Level &level = highest->second;
    for (auto &it : level.Teams)
      while (!it.second.Calls.empty() && isHopeless(it.second.Calls.front()))
        hopeless.push_back(dropFront(level, it.second));
    std::optional<QueuedCall> call;
    if (level.Calls > 0)
      call = takeFront(level);
    if (level.Calls == 0)
      Levels.erase(highest);
    if (call)
      return call;
  }
  return std::nullopt;
}

std::vector<QueuedCall>
FairQueue::removeIf(const std::function<bool(const QueuedCall &)> &holds) {
  std::vector<QueuedCall> removed;
  for (auto level = Levels.begin(); level != Levels.end();) {
    const std::size_t before = removed.size();
    for (auto &team : level->second.Teams) {
      TeamQueue &queue = team.second;
      const auto kept = std::stable_partition(
          queue.Calls.begin(), queue.Calls.end(),
          [&](const QueuedCall &it) { return !holds(it); });
      for (auto it = kept; it != queue.Calls.end(); ++it) {
        queue.Cost -= it->Cost;
        removed.push_back(*it);
      }
      queue.Calls.erase(kept, queue.Calls.end());
    }
    level->second.Calls -= removed.size() - before;
    level = level->second.Calls == 0 ? Levels.erase(level) : std::next(level);
  }
  Size -= removed.size();
  return removed;
}

std::optional<QueuedCall> FairQueue::remove(std::uint64_t id) {
  const std::vector<QueuedCall> removed =
      removeIf([id](const QueuedCall &it) { return it.Id == id; });
  if (removed.empty())
    return std::nullopt;
  return removed.front();
}

double FairQueue::costAhead(const QueuedCall &call) const {
  double ahead = 0;
  for (const auto &level : Levels) {
    if (level.first > call.Priority)
      for (const auto &it : level.second.Teams)
        ahead += it.second.Cost;
    if (level.first == call.Priority)
      ahead += costAheadIn(level.second, call);
  }
  return ahead;
}

double FairQueue::costAheadIn(const Level &level,
                              const QueuedCall &call) const {
  const double weight = weightOf(call.OfTeam);
  const auto own = level.Teams.find(call.OfTeam);
  const double ownCost = own == level.Teams.end() ? 0 : own->second.Cost;
  // What the team may take out before the others' next turns.
  const double deficit =
      own == level.Teams.end() ? Quantum * weight : own->second.Deficit;
  const double rounds =
      std::max(0.0, (ownCost + call.Cost - std::max(0.0, deficit)) / weight);
  double ahead = ownCost;
  for (const auto &it : level.Teams)
    if (it.first != call.OfTeam)
      ahead += std::min(it.second.Cost, rounds * weightOf(it.first));
  return ahead;
}

double FairQueue::shareOf(const TeamId &team) const {
  std::set<TeamId> waiting = {team};
  for (const auto &level : Levels)
    for (const auto &it : level.second.Teams)
      waiting.insert(it.first);
  double sum = 0;
  for (const TeamId &it : waiting)
    sum += weightOf(it);
  return weightOf(team) / sum;
}

std::size_t FairQueue::queuedOf(const TeamId &team) const {
  std::size_t n = 0;
  for (const auto &level : Levels) {
    const auto found = level.second.Teams.find(team);
    n += found == level.second.Teams.end() ? 0 : found->second.Calls.size();
  }
  return n;
}

} // namespace sorrelbay
