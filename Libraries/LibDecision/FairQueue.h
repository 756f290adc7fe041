#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace sorrelbay {

/// A call that waits to be started.
struct QueuedCall {
  std::uint64_t Id = 0;
  TeamId OfTeam;
  /// Higher goes first.
  int Priority = 0;
  /// What it takes from the upstreams, in units of the service (one for a desk
  /// call, thousands of prompt tokens for an engine).
  double Cost = 1;
  /// When its first token, or a desk's answer, must be there.
  Instant Deadline;
};

/// Calls that wait: strictly by priority, and within a priority by deficit
/// round robin between teams, so that a team gets its share of the cost
/// whatever the others send. A team that begins to wait goes first for one
/// quantum (as new flows do in FQ-CoDel, RFC 8290), so that a team below its
/// share hardly waits at all. Not thread-safe.
class FairQueue {
public:
  /// Each round lets a team of weight 1 take out that cost.
  explicit FairQueue(double quantum) : Quantum(quantum) {}

  void setWeights(std::map<TeamId, int> weights);
  void push(const QueuedCall &call);
  /// Takes out the call whose turn it is. Calls for which isHopeless holds are
  /// taken out into the list before it; they don't count against their team,
  /// which would otherwise lose the share that it waited for.
  std::optional<QueuedCall>
  pop(const std::function<bool(const QueuedCall &)> &isHopeless,
      std::vector<QueuedCall> &hopeless);
  /// Takes out a call by its id; nothing if it does not wait.
  std::optional<QueuedCall> remove(std::uint64_t id);
  /// Takes out every call for which it holds, in no stated order.
  std::vector<QueuedCall>
  removeIf(const std::function<bool(const QueuedCall &)> &holds);

  /// The cost that would be taken out before a new call of that kind, if none
  /// came after it.
  double costAhead(const QueuedCall &call) const;
  /// The team's part of the turns among the teams that wait and itself, 0 to 1.
  double shareOf(const TeamId &team) const;
  std::size_t queuedOf(const TeamId &team) const;
  std::size_t size() const { return Size; }

private:
  struct TeamQueue {
    std::deque<QueuedCall> Calls;
    double Cost = 0;
    /// What it may still take out in this round; a call may overdraw it.
    double Deficit = 0;
  };
  struct Level {
    std::map<TeamId, TeamQueue> Teams;
    /// Teams that have just begun to wait; they go before the others until
    /// their first quantum is used up.
    std::list<TeamId> NewTeams;
    /// The rest, the one whose turn it is in front. A team that has nothing
    /// left stays until its next turn, so that it can't be new again at once.
    std::list<TeamId> OldTeams;
    std::size_t Calls = 0;
  };

  double weightOf(const TeamId &team) const;
  double costAheadIn(const Level &level, const QueuedCall &call) const;
  QueuedCall takeFront(Level &level);
  /// Takes out the team's first call without accounting for its turn.
  QueuedCall dropFront(Level &level, TeamQueue &queue);

  double Quantum;
  std::map<TeamId, int> Weights;
  /// Highest priority first.
  std::map<int, Level, std::greater<>> Levels;
  std::size_t Size = 0;
};

} // namespace sorrelbay
