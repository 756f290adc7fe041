#pragma once

#include "LibDecision/LeaderLease.h"
#include "LibDecision/RetryBudget.h"
#include "LibServing/FleetReportMerger.h"
#include "LibServing/RetryBudgetShare.h"
#include "LibServing/StoreReachability.h"
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sorrelbay {

/// A part of the hosts' agreement that can be left out, to see that the checks
/// notice.
enum class FleetOmission {
  Nothing,
  /// Teams are charged only with what their own host lets in.
  PeersUse,
  /// Calls are repeated without asking the budget.
  Budget,
  /// A holder goes on until it hears of another, whatever the time.
  LeaseEnd,
};

/// How one random run is set up. Figures are drawn from the seed.
struct FleetPlan {
  std::uint64_t Seed = 0;
  int Hosts = 7;
  int Zones = 4;
  FleetOmission Without = FleetOmission::Nothing;
  /// Hosts are killed, frozen and cut off from each other or from the store.
  bool HasFaults = true;
  /// The store is away from all hosts now and then, and the team's callers come
  /// all at once: from less than it may use to many times as much.
  bool HasStorms = false;
};

/// Several hosts with a store and a network between them, in simulated time:
/// the decisions are the daemon's, the rest is played. Callers of one team ask
/// for several times its allotment, calls fail and want to be repeated, and
/// hosts race for one lease. What all hosts did together is checked.
class FleetSimulation {
public:
  explicit FleetSimulation(const FleetPlan &plan);

  /// Plays so many seconds and returns the first broken rule; empty if none is.
  std::string play(int seconds);

  /// What was played, for the log.
  int faults() const { return Faults; }
  std::int64_t calls() const { return Calls; }
  int holders() const { return Holders; }
  /// The most that a window held, of what the allotment gives in it.
  double mostUsed() const { return MostUsed; }

private:
  struct Host {
    FleetMember Member;
    IncarnationId Incarnation;
    Instant ProcessStartedAt{};
    bool IsDown = false;
    Instant BackAt{};
    /// Frozen until then: it neither works nor hears.
    Instant FrozenUntil{};
    Instant CutFromPeersUntil{};
    Instant CutFromStoreUntil{};
    std::uint64_t Sequence = 0;
    std::unique_ptr<FleetView> View;
    std::unique_ptr<ReplicaTable> Replicas;
    std::unique_ptr<EngineDemand> Demand;
    std::map<TeamId, TeamRateLimiter> RateLimiters;
    std::unique_ptr<UsageCounts> Usage;
    std::unique_ptr<FleetClock> Time;
    std::unique_ptr<FleetReportMerger> ReportMerger;
    std::unique_ptr<RetryBudget> Repeats;
    std::unique_ptr<LeaderLease> Lease;
    bool WasHeld = false;
    StoreReachability Reach;
  };
  struct Message {
    Instant At{};
    std::size_t To = 0;
    FleetReport Report;
  };

  void boot(Host &host);
  bool works(const Host &host) const;
  bool reaches(const Host &from, const Host &to) const;
  void strike();
  void brew();
  /// Asks the store, as a host does that aggregates for others.
  void askStore(Host &host);
  /// What the team's callers ask for now, in units a second.
  double demand() const;
  void tell(Host &host);
  void post(std::size_t from, const std::vector<HostId> &to,
            const FleetReport &report);
  void deliver();
  void call();
  void stepLease(Host &host);
  void act(Host &host);
  void fail(const std::string &rule);
  void checkWindows();
  void checkUsage();
  double draw();
  std::size_t drawHost();

  FleetPlan Plan;
  std::mt19937_64 Random;
  std::vector<Host> Hosts;
  std::vector<FleetMember> Registered;
  std::vector<Message> Waiting;
  Instant Start{seconds(5000)};
  Instant Now;
  Instant LastFaultAt{};
  Instant StoreAwayUntil{};
  /// The team's callers press until then.
  Instant PressUntil{};
  int Faults = 0;
  std::int64_t Calls = 0;
  int Holders = 0;
  double MostUsed = 0;
  std::string Broken;
  /// Units let in, calls and repeats of all hosts, with their times.
  std::deque<std::pair<Instant, std::int64_t>> LetIn;
  std::deque<Instant> Called;
  std::deque<Instant> Repeated;
  std::map<WindowNumber, std::int64_t> Begun;
  LeaseState Stored;
  std::uint64_t Revision = 1;
  /// Who acted under the lease lately, and when.
  std::deque<std::pair<Instant, std::string>> Acts;
};

} // namespace sorrelbay
