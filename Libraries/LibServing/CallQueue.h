#pragma once

#include "LibDecision/FairQueue.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sorrelbay {

/// A call that waits until this host may send it.
struct WaitingCall {
  std::uint64_t Id = 0;
  TeamId OfTeam;
  /// 0 goes first.
  int Priority = 0;
  Instant ArrivedAt{};
  /// When its caller no longer needs the response.
  Instant Deadline{};
  /// The memory that it takes while it waits.
  std::size_t Bytes = 0;
};

/// Why a call does not wait, or no longer does.
enum class WaitRefusalCause {
  /// The queue holds as many calls as it may.
  Full,
  /// Its turn comes too late for a response within its caller's time.
  Hopeless,
  /// A more urgent call, or one of a team with fewer calls, took its position
  /// in a full queue.
  Displaced,
  /// Its caller's time no longer suffices for a response.
  TimedOut,
};

/// The name of the cause in metrics.
const char *toText(WaitRefusalCause cause);

struct WaitRefusal {
  std::uint64_t Id = 0;
  WaitRefusalCause Cause = WaitRefusalCause::Full;
  /// When the call's turn would come; zero if it is not known.
  Duration ReturnAfter{};
};

struct StartedCall {
  std::uint64_t Id = 0;
  Duration Waited{};
};

/// How fast waiting calls start and are answered. Zero stands for not known, in
/// which case calls are taken to be in time.
struct QueuePace {
  /// The mean time between two starts, and its mean deviation.
  Duration StartInterval{};
  Duration StartDeviation{};
  /// The time from a start within which nearly all responses come.
  Duration ResponseTime{};
};

struct CallQueueLimits {
  std::size_t MaxCalls = 0;
  /// Most memory that the waiting calls may take together.
  std::size_t MaxBytes = 0;
};

/// A bounded queue of calls, ordered by priority, then by team with weights,
/// then by the time that is left to start them. A call waits as long as its
/// response can still come within its caller's time, and is refused as soon as
/// it is known that it can't. Not thread-safe.
class CallQueue {
public:
  explicit CallQueue(CallQueueLimits limits) : Limits(limits) {}

  /// Weights of teams; 1 for the others.
  void setWeights(std::map<TeamId, int> weights);
  void setPace(const QueuePace &pace) { Pace = pace; }

  /// Adds a call, or refuses it or another one.
  std::vector<WaitRefusal> add(const WaitingCall &call, Instant now);
  /// Removes the next call to start. Calls that are too late must have been
  /// removed by `expire` at the same time.
  std::optional<StartedCall> start(Instant now);
  /// Removes the calls that can't start in time.
  std::vector<WaitRefusal> expire(Instant now);
  /// When `expire` has to be called at the latest; empty if no call waits.
  std::optional<Instant> nextExpiry() const;
  /// Removes a call whose caller has left. Returns false if it does not wait.
  bool remove(std::uint64_t id);
  std::vector<WaitRefusal> removeAll();

  std::size_t size() const { return Calls.size(); }
  std::size_t bytes() const { return Bytes; }

private:
  struct Group {
    int Priority = 0;
    TeamId OfTeam;

    friend bool operator<(const Group &a, const Group &b) {
      return std::tie(a.Priority, a.OfTeam) < std::tie(b.Priority, b.OfTeam);
    }
  };
  /// All calls of a queue need the same time for their response, so that the
  /// earliest deadline leaves the least time to start.
  using Position = std::pair<Instant, std::uint64_t>;
  using Positions = std::set<Position>;

  static Group groupOf(const WaitingCall &call);
  static Position positionOf(const WaitingCall &call);
  static QueuedCall turnOf(const Group &group, std::uint64_t id);
  Instant startBy(Instant deadline) const;
  double callsAhead(const WaitingCall &call) const;
  Duration meanWait(double callsAhead) const;
  Duration longestWait(double callsAhead) const;
  bool hasRoom(std::size_t calls, std::size_t bytes) const;
  std::optional<Group> groupToDisplace(const Group &arriving) const;
  std::optional<WaitingCall> callToDisplace(const WaitingCall &arriving) const;
  double lengthOf(const Group &group) const;
  WaitRefusal refusal(const WaitingCall &call, WaitRefusalCause cause) const;
  WaitRefusal removeLate(std::uint64_t id, WaitRefusalCause cause);
  std::vector<std::uint64_t> hopelessCalls(Instant now) const;

  const CallQueueLimits Limits;
  std::map<TeamId, int> Weights;
  QueuePace Pace;
  std::unordered_map<std::uint64_t, WaitingCall> Calls;
  std::size_t Bytes = 0;
  std::map<Group, Positions> Waiting;
  Positions ByDeadline;
  /// One turn for each waiting call, which decides between groups only.
  FairQueue Turns{1};
  /// When the turns of all calls are looked at again.
  Instant ReviewAt{};
};

} // namespace sorrelbay
