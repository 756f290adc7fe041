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

/// A call that waits to start.
struct QueuedCall {
  std::uint64_t Id = 0;
  TeamId OfTeam;
  /// Higher goes first.
  int Priority = 0;
  /// Cost at the upstreams in units of the service: 1 for a desk call,
  /// thousands of prompt tokens for an engine.
  double Cost = 1;
  /// Time by which the first token, or a desk's answer, must be available.
  Instant Deadline;
};

/// A queue of waiting calls: strict priority, and within one priority deficit
/// round robin between teams, so that each team gets its weighted share of the
/// cost whatever the others send. A team that starts to wait is served first
/// for one quantum, like a new flow in FQ-CoDel (RFC 8290), so that a team
/// below its share hardly waits. Not thread-safe.
class FairQueue {
public:
  /// The quantum is the cost that a team of weight 1 may dequeue per round.
  explicit FairQueue(double quantum) : Quantum(quantum) {}

  void setWeights(std::map<TeamId, int> weights);
  void push(const QueuedCall &call);
  /// Dequeues the next call. Calls at the front of a team for which shouldSkip
  /// holds are moved to `skipped` first. They are not charged to their team,
  /// which would otherwise lose the share that it waited for.
  std::optional<QueuedCall>
  pop(const std::function<bool(const QueuedCall &)> &shouldSkip,
      std::vector<QueuedCall> &skipped);
  /// Dequeues the next call.
  std::optional<QueuedCall> pop();
  /// Removes the team's last call of that priority, without a charge to the
  /// team. Returns false if there is none.
  bool removeLast(const TeamId &team, int priority);
  /// Removes a call by its id. Returns nothing if the call is not queued.
  std::optional<QueuedCall> remove(std::uint64_t id);
  /// Removes every call that matches the predicate and returns them in
  /// unspecified order.
  std::vector<QueuedCall>
  removeIf(const std::function<bool(const QueuedCall &)> &predicate);

  /// The cost that would be dequeued before this call if it were added now and
  /// no calls arrived after it.
  double costAhead(const QueuedCall &call) const;
  /// The team's fraction of the turns, 0 to 1, among itself and the teams that
  /// have queued calls.
  double shareOf(const TeamId &team) const;
  std::size_t queuedOf(const TeamId &team) const;
  std::size_t size() const { return Size; }

private:
  struct TeamQueue {
    std::deque<QueuedCall> Calls;
    double Cost = 0;
    /// Remaining cost in this round. A call may overdraw it.
    double Deficit = 0;
  };
  struct Level {
    std::map<TeamId, TeamQueue> Teams;
    /// Teams that recently started to wait. They are served before the others
    /// until their first quantum is used up.
    std::list<TeamId> NewTeams;
    /// All other teams in round-robin order, the next one in front. A team
    /// whose queue has become empty stays until its next turn, so that it
    /// cannot become a new team again at once.
    std::list<TeamId> OldTeams;
    std::size_t Calls = 0;
  };

  double weightOf(const TeamId &team) const;
  double costAheadIn(const Level &level, const QueuedCall &call) const;
  QueuedCall takeFront(Level &level);
  /// Dequeues the team's first call without charging the team.
  QueuedCall dropFront(Level &level, TeamQueue &queue);

  double Quantum;
  std::map<TeamId, int> Weights;
  /// Highest priority first.
  std::map<int, Level, std::greater<>> Levels;
  std::size_t Size = 0;
};

} // namespace sorrelbay
