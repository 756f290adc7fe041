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

/// How the movers of a run differ from the product's, so that the run's checks
/// can be seen to catch it.
enum class HostPlannerFault {
  None,
  /// Each try at a create has a token of its own.
  TokenPerTry,
  /// A new holder does not wait out the last one's orders.
  NoWaitOut,
  /// An order is given while the one before may be under way.
  OverlappingOrders,
  /// Hosts are ordered before the plan that names them is stored.
  OrdersBeforeStored,
};

/// Three movers, a store, a cloud and engines: replies and orders are late or
/// lost, starts are refused, zones reclaimed, movers paused between any two
/// steps, and the store has outages. It says what promise was broken, if any.
class HostPlannerSimulation {
public:
  HostPlannerSimulation(std::uint64_t seed, HostPlannerFault flaw);

  /// Runs through trouble, then quiet, and returns the first broken promise or
  /// nothing.
  std::string run();

private:
  enum class Outcome { Done, Conflict, Unavailable, Unknown };
  enum class Round { None, PlanRead, Listed, Stored, LevelsRead };
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
    EngineCommand Order;
  };
  struct Daemon {
    Daemon(LeaderLease lease, HostPlannerSettings settings,
           EngineCommands orders)
        : Lease(std::move(lease)), Decides(settings),
          Orders(std::move(orders)) {}

    LeaderLease Lease;
    HostPlanner Decides;
    EngineCommands Orders;
    Instant PausedUntil{};
    std::uint64_t Generation = 1;
    Round At = Round::None;
    HostPlan Plan;
    std::uint64_t PlanVersion = 0;
    std::vector<CloudHost> Hosts;
    HostPlannerDecision Decision;
    /// What is left of a call whose effect was made: taking in its reply.
    std::function<void()> Reply;
  };

  int between(int low, int high);
  bool chance(int percent);
  bool isStoreDown() const;
  void stepWorld();
  void reclaimZone();
  void deliverOrders();
  void stepDaemon(Daemon &daemon);
  void stepLease(Daemon &daemon);
  void stepRound(Daemon &daemon);
  void readPlan(Daemon &daemon);
  void listHosts(Daemon &daemon);
  void storePlan(Daemon &daemon);
  void giveOrders(Daemon &daemon);
  void create(Daemon &daemon, const CreateOrder &order);
  void orderLevels(Daemon &daemon);
  Outcome writeOutcome(bool isExpected);
  void checkQuiet();

  std::mt19937_64 Random;
  HostPlannerFault Flaw;
  bool NeedsLease;
  bool IsQuiet = false;
  Instant Now;
  std::string Broken;

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
