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
    std::list<TeamId> &rotation = isNew ? level.NewTeams : level.OldTeams;
    const TeamId team = rotation.front();
    TeamQueue &queue = level.Teams[team];
    // This includes a team whose queue is empty: if it were removed while
    // overdrawn, it would return with a full quantum.
    const bool isOverdrawn = queue.Deficit <= 0;
    if (isOverdrawn)
      queue.Deficit += Quantum * weightOf(team);
    if (isOverdrawn || (queue.Calls.empty() && isNew)) {
      level.OldTeams.splice(level.OldTeams.end(), rotation, rotation.begin());
      continue;
    }
    if (queue.Calls.empty()) {
      rotation.pop_front();
      level.Teams.erase(team);
      continue;
    }
    queue.Deficit -= queue.Calls.front().Cost;
    return dropFront(level, queue);
  }
}

std::optional<QueuedCall>
FairQueue::pop(const std::function<bool(const QueuedCall &)> &shouldSkip,
               std::vector<QueuedCall> &skipped) {
  while (!Levels.empty()) {
    const auto highest = Levels.begin();
    Level &level = highest->second;
    for (auto &it : level.Teams)
      while (!it.second.Calls.empty() && shouldSkip(it.second.Calls.front()))
        skipped.push_back(dropFront(level, it.second));
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

std::optional<QueuedCall> FairQueue::pop() {
  if (Levels.empty())
    return std::nullopt;
  const auto highest = Levels.begin();
  const QueuedCall call = takeFront(highest->second);
  if (highest->second.Calls == 0)
    Levels.erase(highest);
  return call;
}

bool FairQueue::removeLast(const TeamId &team, int priority) {
  const auto level = Levels.find(priority);
  if (level == Levels.end())
    return false;
  const auto found = level->second.Teams.find(team);
  if (found == level->second.Teams.end() || found->second.Calls.empty())
    return false;
  TeamQueue &queue = found->second;
  queue.Cost -= queue.Calls.back().Cost;
  queue.Calls.pop_back();
  --Size;
  if (--level->second.Calls == 0)
    Levels.erase(level);
  return true;
}

std::vector<QueuedCall>
FairQueue::removeIf(const std::function<bool(const QueuedCall &)> &predicate) {
  std::vector<QueuedCall> removed;
  for (auto level = Levels.begin(); level != Levels.end();) {
    const std::size_t before = removed.size();
    for (auto &team : level->second.Teams) {
      TeamQueue &queue = team.second;
      const auto kept = std::stable_partition(
          queue.Calls.begin(), queue.Calls.end(),
          [&](const QueuedCall &it) { return !predicate(it); });
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
  // Cost that the team may dequeue before the other teams' next turns.
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
