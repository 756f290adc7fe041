#include "HostPlannerSimulation.h"
#include <algorithm>

namespace sorrelbay {

static constexpr int DaemonCount = 3;
static constexpr int EngineCount = 4;
static constexpr Duration FaultPeriod = minutes(6);
static constexpr Duration QuietPeriod = minutes(3);
/// Much longer than the lease's term, so that commands often arrive after the
/// term of their sender.
static constexpr int MaxCommandDelayMs = 10000;
static constexpr Duration CommandTimeout = milliseconds(MaxCommandDelayMs);
static constexpr Duration StartTime = seconds(8);

static LeaderLeaseSettings leaseSettings(HostPlannerFault injectedFault) {
  LeaderLeaseSettings settings;
  settings.Term = seconds(4);
  settings.CommandTimeout =
      injectedFault == HostPlannerFault::NoWaitForOldCommands ? Duration{}
                                                              : CommandTimeout;
  return settings;
}

static HostPlannerSettings plannerSettings() {
  HostPlannerSettings settings;
  settings.StartTime = StartTime;
  settings.RefusalPause = seconds(20);
  settings.DrainTime = seconds(5);
  return settings;
}

HostPlannerSimulation::HostPlannerSimulation(std::uint64_t seed,
                                             HostPlannerFault injectedFault)
    : Random(seed), InjectedFault(injectedFault), NeedsLease(seed % 2 == 0),
      Now(seconds(1000)) {
  for (const char *zone : {"a", "b", "c"})
    Offers.push_back({ZoneId(zone), MachineClass("m"), true, 300, 1});
  Offers.push_back({ZoneId("a"), MachineClass("m"), false, 1000, 1});
  for (int n = 0; n < EngineCount; ++n)
    Engines.push_back({UpstreamId(std::to_string(n)), n % 2 == 0, {}, 0});
  for (int n = 0; n < DaemonCount; ++n)
    Daemons.emplace_back(
        LeaderLease(IncarnationId(std::to_string(n)),
                    leaseSettings(injectedFault)),
        plannerSettings(),
        EngineCommands(injectedFault == HostPlannerFault::OverlappingCommands
                           ? Duration{}
                           : CommandTimeout));
}

int HostPlannerSimulation::between(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(Random);
}

bool HostPlannerSimulation::chance(int percent) {
  return between(1, 100) <= percent;
}

bool HostPlannerSimulation::isStoreDown() const { return Now < StoreDownUntil; }

std::string HostPlannerSimulation::run() {
  const Instant quietFrom = Now + FaultPeriod;
  const Instant end = quietFrom + QuietPeriod;
  while (Now < end && Violation.empty()) {
    Now += milliseconds(between(1, 40));
    IsQuiet = Now >= quietFrom;
    stepEnvironment();
    Daemon &daemon = Daemons[static_cast<std::size_t>(between(0, 2))];
    if (IsQuiet || Now >= daemon.PausedUntil)
      stepDaemon(daemon);
  }
  if (Violation.empty())
    checkFinalState();
  return Violation;
}

void HostPlannerSimulation::stepEnvironment() {
  deliverCommands();
  for (Host &it : Hosts) {
    if (Now >= it.GoneAt)
      it.Listed.State = CloudHostState::Gone;
    else if (it.Listed.State == CloudHostState::Starting && Now >= it.LiveAt)
      it.Listed.State = CloudHostState::Live;
  }
  if (IsQuiet)
    return;
  if (between(1, 1500) == 1)
    reclaimZone();
  if (between(1, 800) == 1)
    StoreDownUntil = Now + milliseconds(between(100, 20000));
  if (between(1, 2000) == 1)
    Capacity = between(2, 6);
  if (between(1, 200) == 1)
    ++Generation;
}

void HostPlannerSimulation::reclaimZone() {
  const ZoneId zone = Offers[static_cast<std::size_t>(between(0, 2))].InZone;
  const Instant goneAt = Now + seconds(between(2, 30));
  for (Host &it : Hosts) {
    if (!it.From.IsReclaimable || it.From.InZone != zone ||
        it.Listed.State == CloudHostState::Gone)
      continue;
    it.Listed.State = CloudHostState::Leaving;
    it.GoneAt = std::min(it.GoneAt, goneAt);
  }
}

void HostPlannerSimulation::deliverCommands() {
  std::vector<Delivery> later;
  for (const Delivery &it : Deliveries) {
    if (it.At > Now) {
      later.push_back(it);
      continue;
    }
    for (Engine &engine : Engines) {
      if (engine.Id != it.Command.Engine)
        continue;
      const bool isOld = it.Command.FencingToken < engine.FencingToken;
      if (isOld && engine.HonoursFencing)
        continue;
      if (isOld)
        Violation = "an old command took effect after a newer one";
      engine.FencingToken = it.Command.FencingToken;
      engine.Versions = it.Command.Versions;
    }
  }
  Deliveries = later;
}

void HostPlannerSimulation::stepDaemon(Daemon &daemon) {
  if (!IsQuiet && between(1, 60) == 1) {
    daemon.PausedUntil = Now + milliseconds(between(100, 30000));
    return;
  }
  if (daemon.Generation != Generation && (IsQuiet || chance(5)))
    daemon.Generation = Generation;
  if (daemon.Reply) {
    const std::function<void()> reply = std::move(daemon.Reply);
    daemon.Reply = nullptr;
    reply();
    return;
  }
  const LeaseStep step = daemon.Lease.step(Now);
  if (step != LeaseStep::None && (daemon.At == Round::None || chance(50)))
    stepLease(daemon);
  else
    stepRound(daemon);
}

HostPlannerSimulation::Outcome
HostPlannerSimulation::writeOutcome(bool isExpected) {
  if (isStoreDown())
    return Outcome::Unavailable;
  if (!IsQuiet && chance(5))
    return Outcome::Unknown;
  return isExpected ? Outcome::Done : Outcome::Conflict;
}

void HostPlannerSimulation::stepLease(Daemon &daemon) {
  LeaderLease &lease = daemon.Lease;
  if (lease.step(Now) == LeaseStep::Read) {
    if (!isStoreDown())
      daemon.Reply = [this, &lease, state = Lease] {
        lease.noteRead(state, Now);
      };
    return;
  }
  const Instant sentAt = Now;
  const bool isExpected = lease.expectedVersion() == Lease.Version;
  const Outcome outcome = writeOutcome(isExpected);
  const bool takesEffect =
      isExpected &&
      (outcome == Outcome::Done || (outcome == Outcome::Unknown && chance(50)));
  if (takesEffect) {
    const auto self = &daemon - Daemons.data();
    Lease = {IncarnationId(std::to_string(self)), Lease.Version + 1};
  }
  daemon.Reply = [this, &lease, outcome, sentAt, version = Lease.Version] {
    if (outcome == Outcome::Done)
      lease.noteWritten(version, sentAt, Now);
    if (outcome == Outcome::Conflict)
      lease.noteConflict(Now);
    if (outcome == Outcome::Unknown)
      lease.noteUnknown(sentAt, Now);
  };
}

void HostPlannerSimulation::stepRound(Daemon &daemon) {
  switch (daemon.At) {
  case Round::None:
    if (daemon.Lease.isHeld(Now) && chance(50))
      commandEngines(daemon);
    else if (!NeedsLease || daemon.Lease.isHeld(Now))
      readPlan(daemon);
    return;
  case Round::PlanRead:
    listHosts(daemon);
    return;
  case Round::Listed:
    storePlan(daemon);
    return;
  case Round::Stored:
    sendOrders(daemon);
    return;
  case Round::VersionsRead:
    commandEngines(daemon);
    return;
  }
}

void HostPlannerSimulation::readPlan(Daemon &daemon) {
  if (isStoreDown())
    return;
  daemon.Reply = [&daemon, plan = Plan, version = PlanVersion] {
    daemon.Plan = plan;
    daemon.PlanVersion = version;
    daemon.At = Round::PlanRead;
  };
}

void HostPlannerSimulation::listHosts(Daemon &daemon) {
  std::vector<CloudHost> shown;
  for (const Host &it : Hosts)
    if (it.ShownAt <= Now)
      shown.push_back(it.Listed);
  // Created hosts may not be listed yet.
  for (const CloudHost &it : daemon.Hosts) {
    const bool isShown =
        std::any_of(shown.begin(), shown.end(),
                    [&](const CloudHost &other) { return other.Id == it.Id; });
    if (!isShown)
      shown.push_back(it);
  }
  daemon.Reply = [this, &daemon, shown] {
    HostPlannerInput view;
    view.Generation = daemon.Generation;
    view.Offers = Offers;
    view.Hosts = shown;
    view.Capacity = Capacity;
    daemon.Decision = daemon.Planner.decide(daemon.Plan, view, Now);
    daemon.At = Round::Listed;
    if (InjectedFault == HostPlannerFault::CreatesBeforeStored)
      for (const CreateOrder &it : daemon.Decision.Creates)
        create(daemon, it);
  };
}

void HostPlannerSimulation::storePlan(Daemon &daemon) {
  if (!daemon.Decision.HasChanged) {
    daemon.At = Round::Stored;
    return;
  }
  const bool isExpected = daemon.PlanVersion == PlanVersion;
  const Outcome outcome = writeOutcome(isExpected);
  const bool takesEffect =
      isExpected &&
      (outcome == Outcome::Done || (outcome == Outcome::Unknown && chance(50)));
  if (takesEffect) {
    Plan = daemon.Decision.Plan;
    ++PlanVersion;
    for (const Slot &it : Plan.Slots)
      StoredTokens.insert(it.Token);
  }
  daemon.Reply = [&daemon, outcome] {
    daemon.At = outcome == Outcome::Done ? Round::Stored : Round::None;
  };
}

void HostPlannerSimulation::create(Daemon &daemon, const CreateOrder &order) {
  if (StoredTokens.count(order.Token) == 0)
    Violation = "a host was created that no stored plan names";
  const auto known =
      std::find_if(Hosts.begin(), Hosts.end(), [&](const Host &it) {
        return it.Listed.Token == order.Token;
      });
  const bool isKnown = known != Hosts.end() &&
                       InjectedFault != HostPlannerFault::TokenPerAttempt;
  if (!isKnown && !IsQuiet && chance(25)) {
    daemon.Planner.noteRefused(order.From, Now);
    return;
  }
  CloudHost host;
  if (isKnown) {
    host = known->Listed;
  } else {
    host = {std::to_string(Hosts.size()), order.Token,
            CloudHostState::Starting};
    Hosts.push_back({host, order.From, Now + StartTime,
                     Now + milliseconds(between(0, 4000))});
  }
  const bool isLost = !IsQuiet && chance(20);
  if (!isLost)
    daemon.Hosts.push_back(host);
}

void HostPlannerSimulation::sendOrders(Daemon &daemon) {
  if (!daemon.Decision.Creates.empty()) {
    create(daemon, daemon.Decision.Creates.back());
    daemon.Decision.Creates.pop_back();
    return;
  }
  for (const std::string &id : daemon.Decision.Deletes)
    for (Host &it : Hosts)
      if (it.Listed.Id == id)
        it.GoneAt = Now;
  // Hosts that are still not listed were never created, or are listed late.
  if (chance(5))
    daemon.Hosts.clear();
  daemon.At = Round::VersionsRead;
}

// A pause between the check of the lease and the sending of a command cannot be
// excluded for an engine that does not check fencing tokens; the next read-back
// corrects it. The simulation makes both one step and delivers commands within
// the command timeout.
void HostPlannerSimulation::commandEngines(Daemon &daemon) {
  std::vector<EngineVersions> seen;
  for (const Engine &it : Engines)
    seen.push_back({it.Id, it.Versions, it.HonoursFencing, Now});
  daemon.Reply = [this, &daemon, seen] {
    std::map<UpstreamId, std::set<VersionId>> wanted;
    for (const Engine &it : Engines)
      wanted[it.Id] = {VersionId("v" + std::to_string(daemon.Generation))};
    for (const EngineCommand &it :
         daemon.PlannedCommands.decide(wanted, seen, daemon.Lease, Now)) {
      if (!IsQuiet && chance(10))
        continue;
      Deliveries.push_back(
          {Now + milliseconds(between(1, MaxCommandDelayMs)), it});
    }
    daemon.At = Round::None;
  };
}

void HostPlannerSimulation::checkFinalState() {
  for (const Slot &slot : Plan.Slots) {
    int running = 0;
    for (const Host &it : Hosts)
      if (it.Listed.Token.Slot == slot.Token.Slot &&
          it.Listed.State == CloudHostState::Live)
        ++running;
    if (running != (slot.IsWanted ? 1 : 0))
      Violation = "slot " + std::to_string(slot.Token.Slot) + " has " +
                  std::to_string(running) + " hosts at the end";
  }
  if (capacityAfterZoneLoss(mixOf(Plan)) < Capacity)
    Violation =
        "the hosts at the end lack the capacity after the loss of a zone";
  for (const Engine &it : Engines)
    if (it.Versions !=
        std::set<VersionId>{VersionId("v" + std::to_string(Generation))})
      Violation = "an engine does not hold its wanted versions at the end";
}

} // namespace sorrelbay
