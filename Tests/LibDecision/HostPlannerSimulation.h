#pragma once

#include "LibDecision/EngineCommands.h"
#include "LibDecision/HostPlanner.h"
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace sorrelbay {

/// A fault injected into the simulated daemons, to show that the checks detect
/// it.
enum class HostPlannerFault {
  None,
  /// Each attempt to create a host uses a new token.
  TokenPerAttempt,
  /// A new holder of the lease does not wait until the commands of the previous
  /// one have arrived or expired.
  NoWaitForOldCommands,
  /// A command is sent while the previous one may be in flight.
  OverlappingCommands,
  /// Hosts are created before the plan with their tokens is stored.
  CreatesBeforeStored,
};

/// Three daemons that plan hosts, with a store, a cloud and engines. Replies
/// and commands are delayed or lost, starts are refused, zones are reclaimed,
/// daemons are paused between any two steps, and the store has outages.
class HostPlannerSimulation {
public:
  HostPlannerSimulation(std::uint64_t seed, HostPlannerFault injectedFault);

  /// Runs a period with faults and then one without. Returns the first
  /// violation of an invariant, or an empty string.
  std::string run();

private:
  enum class Outcome { Done, Conflict, Unavailable, Unknown };
  enum class Round { None, PlanRead, Listed, Stored, VersionsRead };
  struct Host {
    CloudHost Listed;
    HostOffer From;
    Instant LiveAt;
    Instant ShownAt;
    Instant GoneAt = Instant::max();
  };
  struct Engine {
    UpstreamId Id;
    bool HonoursFencing = false;
    std::set<VersionId> Versions;
    std::uint64_t FencingToken = 0;
  };
  struct Delivery {
    Instant At;
    EngineCommand Command;
  };
  struct Daemon {
    Daemon(LeaderLease lease, HostPlannerSettings settings,
           EngineCommands plannedCommands)
        : Lease(std::move(lease)), Planner(settings),
          PlannedCommands(std::move(plannedCommands)) {}

    LeaderLease Lease;
    HostPlanner Planner;
    EngineCommands PlannedCommands;
    Instant PausedUntil{};
    std::uint64_t Generation = 1;
    Round At = Round::None;
    HostPlan Plan;
    std::uint64_t PlanVersion = 0;
    std::vector<CloudHost> Hosts;
    HostPlannerDecision Decision;
    /// Processes the reply to a call that has already taken effect.
    std::function<void()> Reply;
  };

  int between(int low, int high);
  bool chance(int percent);
  bool isStoreDown() const;
  void stepEnvironment();
  void reclaimZone();
  void deliverCommands();
  void stepDaemon(Daemon &daemon);
  void stepLease(Daemon &daemon);
  void stepRound(Daemon &daemon);
  void readPlan(Daemon &daemon);
  void listHosts(Daemon &daemon);
  void storePlan(Daemon &daemon);
  void sendOrders(Daemon &daemon);
  void create(Daemon &daemon, const CreateOrder &order);
  void commandEngines(Daemon &daemon);
  Outcome writeOutcome(bool isExpected);
  void checkFinalState();

  std::mt19937_64 Random;
  HostPlannerFault InjectedFault;
  bool NeedsLease;
  bool IsQuiet = false;
  Instant Now;
  std::string Violation;

  LeaseState Lease;
  HostPlan Plan;
  std::uint64_t PlanVersion = 0;
  std::set<ClientToken> StoredTokens;
  Instant StoreDownUntil{};

  std::vector<HostOffer> Offers;
  std::vector<Host> Hosts;
  double Capacity = 3;
  std::uint64_t Generation = 1;
  std::vector<Engine> Engines;
  std::vector<Delivery> Deliveries;
  std::vector<Daemon> Daemons;
};

} // namespace sorrelbay
