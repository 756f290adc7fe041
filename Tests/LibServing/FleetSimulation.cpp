#include "FleetSimulation.h"
#include "LibServing/Allotment.h"
#include <algorithm>
#include <numeric>

namespace sorrelbay {

namespace {

constexpr Duration Tick = milliseconds(50);
constexpr Duration ReportEvery = milliseconds(250);
const TeamId Team("team");
constexpr std::int64_t TeamRate = 40000;
/// The rate of a team that sends the studios' mix, whose calls are larger, and
/// the slack that the studios allow.
constexpr std::int64_t MixedTeamRate = 200000;
constexpr std::int64_t MixSlack = 140000;
/// What the studios' callers usually request.
constexpr double MixCallsPerSecond = 745;
constexpr double MixUnitsPerSecond = 2910726;
/// Of the reports in runs with the mix: the shortest delay, and the share lost.
constexpr double MixReportDelay = 0.25;
constexpr double MixReportLoss = 0.05;
constexpr int Priorities = 3;
constexpr std::int64_t Slack = 30000;
/// The slack of a large fleet's allotment, as set in large deployments.
constexpr std::int64_t AggregatedSlack = 6000;
/// What the team's callers request, as a multiple of its rate: throughout the
/// run, or before and during a storm.
constexpr double SteadyDemand = 3;
constexpr double CalmDemand = 0.4;
constexpr double StormDemand = 6;
constexpr std::int64_t MaxCallUnits = 1500;
constexpr Duration AllotmentWindow = seconds(8);
constexpr double Overshoot = 1.1;
constexpr double RetryShare = 0.2;
constexpr std::int64_t RetrySlack = 54;
constexpr Duration RetryWindow = seconds(10);
constexpr Duration LeaseBound = seconds(3);
constexpr Duration UsageWindow = seconds(5);
constexpr double UsageTolerance = 0.05;

} // namespace

FleetSimulation::FleetSimulation(const FleetPlan &plan)
    : Plan(plan), Rate(plan.HasMix ? MixedTeamRate : TeamRate),
      Burst(Rate), Mix{{11992, 2, 166},
                       {826, 0, 83},
                       {2368, 1, 347},
                       {200, 0, 149}},
      Random(plan.Seed), Now(Start) {
  for (int n = 0; n < Plan.Hosts; ++n) {
    Host host;
    host.Member = simulatedMember(n, Plan.Zones);
    Registered.push_back(host.Member);
    Hosts.push_back(std::move(host));
  }
  for (Host &it : Hosts)
    startProcess(it);
}

double FleetSimulation::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

std::size_t FleetSimulation::drawHost() {
  return static_cast<std::size_t>(draw() * static_cast<double>(Hosts.size()));
}

void FleetSimulation::recordViolation(const std::string &rule) {
  if (Violation.empty())
    Violation =
        rule + " at " + std::to_string(toMilliseconds(Now - Start)) + " ms";
}

/// Starts a new process without any state of the previous one.
void FleetSimulation::startProcess(Host &host) {
  host.startProcess(Registered, Random(), Now);
  host.Retries.reset();
  LeaderLeaseSettings lease;
  lease.Term = LeaseBound + seconds(1);
  lease.CommandTimeout = Duration::zero();
  if (Plan.Without == FleetOmission::LeaseEnd)
    lease.Margin = -10;
  host.Lease = std::make_unique<LeaderLease>(host.Incarnation, lease);
  host.WasHeld = false;
  host.Reach = StoreReachability();
}

bool FleetSimulation::canReach(const Host &from, const Host &to) const {
  return Now >= from.CutFromPeersUntil && Now >= to.CutFromPeersUntil;
}

/// Injects a fault about once in two seconds.
void FleetSimulation::injectFault() {
  if (!Plan.HasFaults || draw() > toSeconds(Tick) / 2)
    return;
  Host &host = Hosts[drawHost()];
  const Duration span = fromSeconds(0.3 + 4 * draw());
  const double kind = draw();
  ++Faults;
  LastFaultAt = std::max(LastFaultAt, Now + span * 2);
  if (kind < 0.35) {
    host.IsDown = true;
    host.RestartAt = Now + span;
  } else if (kind < 0.55) {
    host.FrozenUntil = Now + span * 2;
  } else if (kind < 0.8) {
    host.CutFromStoreUntil = Now + span * 2;
  } else {
    // Disconnected from all other hosts, but not from callers or the store.
    host.CutFromPeersUntil = Now + std::min<Duration>(span, seconds(1));
  }
}

/// The team's callers send a burst, the store is down, and sometimes many hosts
/// are killed at the same time.
void FleetSimulation::startStorm() {
  if (!Plan.HasStorms || draw() > toSeconds(Tick) / 12 || Now < StormUntil)
    return;
  ++Faults;
  StormUntil = Now + fromSeconds(4 + 8 * draw());
  StoreOutageUntil = Now + fromSeconds(0.2 + 3 * draw() * draw());
  const double killed = draw() < 0.5 ? 0 : 0.5 * draw();
  for (Host &it : Hosts) {
    if (draw() >= killed)
      continue;
    it.IsDown = true;
    it.RestartAt = Now + fromSeconds(0.5 + 3 * draw());
  }
}

double FleetSimulation::demand() const {
  const auto rate = static_cast<double>(Rate);
  if (!Plan.HasStorms)
    return (Plan.HasMix ? StormDemand : SteadyDemand) * rate;
  return (Now < StormUntil ? StormDemand : CalmDemand) * rate;
}

void FleetSimulation::queryStore(Host &host) {
  const bool mayQueryStore =
      host.Reach.isUnreached() || host.View->aggregates(host.Member, Now);
  if (mayQueryStore)
    host.Reach.note(Now >= host.CutFromStoreUntil && Now >= StoreOutageUntil,
                    Now);
}

void FleetSimulation::enqueueMessage(std::size_t from,
                                     const std::vector<HostId> &to,
                                     const FleetReport &report) {
  for (const HostId &it : to) {
    const std::size_t index = indexOfHost(Hosts, it);
    if (index == Hosts.size() || !canReach(Hosts[from], Hosts[index]))
      continue;
    double delay = 0.001 + 0.03 * draw();
    if (Plan.HasMix) {
      if (draw() < MixReportLoss)
        continue;
      delay = MixReportDelay * (1 + draw());
    }
    InFlightMessages.push_back({Now + fromSeconds(delay), index, report});
  }
}

void FleetSimulation::sendReports(Host &host) {
  const auto index = static_cast<std::size_t>(&host - Hosts.data());
  queryStore(host);
  host.Member.IsStoreUnreachable = host.Reach.isStoreUnreachable(Now);
  host.Member.HoldsDuties = host.Lease->isHeld(Now);
  host.Member.LeaseRevision =
      host.Member.HoldsDuties ? host.Lease->fencing() : 0;
  host.sendReports(
      Now, [&](const std::vector<HostId> &to, const FleetReport &report) {
        enqueueMessage(index, to, report);
      });
}

void FleetSimulation::deliver() {
  for (const SimulatedMessage &it :
       takeDueMessages(InFlightMessages, Hosts, Now)) {
    FleetReport report = it.Report;
    if (Plan.Without == FleetOmission::PeerUsageReports)
      report.Used.clear();
    Hosts[it.To].receive(report, Now);
  }
}

/// Draws a call of the mix. Returns the reserve as the daemon applies it.
AllotmentReserve FleetSimulation::drawMixedCall(std::int64_t &units,
                                                const Host &host) {
  double at = draw() * MixCallsPerSecond;
  for (auto it = Mix.rbegin(); it != Mix.rend() && at >= 0; ++it) {
    DrawnKind = &*it;
    at -= it->PerSecond;
  }
  ++DrawnKind->Requested;
  units = DrawnKind->Units;
  return AllotmentReserve(host.View->isAggregatedByZone() ? Plan.UrgentReserve
                                                          : 0,
                          {DrawnKind->Priority, Priorities});
}

void FleetSimulation::noteLevels() {
  if (!Plan.HasMix || Now - Start < seconds(3))
    return;
  for (Host &it : Hosts) {
    LevelSum += it.RateLimiters[Team].level() / static_cast<double>(Rate);
    ++LevelCount;
  }
}

/// One call: its units, and a retry if the first send fails.
void FleetSimulation::call() {
  Host &host = Hosts[drawHost()];
  if (!host.isResponsive(Now))
    return;
  auto units =
      static_cast<std::int64_t>(1 + draw() * static_cast<double>(MaxCallUnits));
  AllotmentReserve reserve;
  if (Plan.HasMix)
    reserve = drawMixedCall(units, host);
  ServingTeam team;
  team.Rate = Rate;
  team.Burst = Burst;
  const Allotment teamAllotment =
      allotmentFor(team, host.View->isAggregatedByZone(),
                   {Plan.HasMix ? MixSlack : Slack, AllotmentWindow});
  if (!host.RateLimiters[Team].take(units, teamAllotment.Rate,
                                    teamAllotment.Burst, Now, reserve))
    return;
  if (DrawnKind)
    ++DrawnKind->Admitted;
  ++Calls;
  AdmittedUnits.emplace_back(Now, units);
  CallTimes.push_back(Now);
  host.Usage->noteCallStarted(Team, Now);
  ++StartedCalls[host.Usage->windowAt(Now)];
  const RetryBudgetShare part =
      retryBudgetShare(RetryShare, RetrySlack, host.View->hostCount());
  if (!host.Retries)
    host.Retries =
        std::make_unique<RetryBudget>(part.Share, part.MaxBalance, part.Begin);
  host.Retries->setMaxBalance(part.MaxBalance);
  host.Retries->noteCall();
  const bool mayRetry = Plan.Without == FleetOmission::Budget ||
                        host.Retries->takeRetry(RetryLayer::EntryHost);
  if (draw() < 0.6 && mayRetry)
    RetryTimes.push_back(Now);
}

/// The lease is kept in the store; a response may be lost after the write was
/// applied.
void FleetSimulation::stepLease(Host &host) {
  for (const auto &[name, it] : host.View->members())
    if (it.Member.LeaseRevision != 0)
      host.Lease->noteReported(
          {IncarnationId(it.Member.Host.text()), it.Member.LeaseRevision}, Now);
  const bool isHeld = host.Lease->isHeld(Now);
  const bool mayStandBy = !host.View->holdsDuties(Now) &&
                          host.View->isAmongFirst(host.Member, 3, Now);
  if (!isHeld && !mayStandBy)
    return;
  const bool isReached =
      Now >= host.CutFromStoreUntil && Now >= StoreOutageUntil;
  switch (host.Lease->step(Now)) {
  case LeaseStep::None:
    return;
  case LeaseStep::Read:
    if (isReached)
      host.Lease->noteRead(Stored, Now);
    return;
  case LeaseStep::Write:
    break;
  }
  if (!isReached)
    return;
  if (host.Lease->expectedVersion() != Stored.Version) {
    host.Lease->noteConflict(Now);
    return;
  }
  Stored = {host.Incarnation, ++Revision};
  if (Plan.HasFaults && draw() < 0.1)
    host.Lease->noteUnknown(Now, Now);
  else
    host.Lease->noteWritten(Stored.Version, Now, Now);
}

/// The lease holder exercises its duty.
void FleetSimulation::exerciseDuty(Host &host) {
  const bool isHeld = host.Lease->isHeld(Now);
  Holders += isHeld && !host.WasHeld ? 1 : 0;
  host.WasHeld = isHeld;
  if (!isHeld)
    return;
  const std::string self = host.Incarnation.text();
  while (!DutyActions.empty() && Now - DutyActions.front().first > LeaseBound)
    DutyActions.pop_front();
  bool hasOther = false;
  for (auto it = DutyActions.rbegin(); it != DutyActions.rend(); ++it) {
    hasOther = hasOther || it->second != self;
    if (hasOther && it->second == self)
      recordViolation("ONE: two lease holders acted alternately");
  }
  DutyActions.emplace_back(Now, self);
}

void FleetSimulation::checkWindows() {
  while (!AdmittedUnits.empty() &&
         Now - AdmittedUnits.front().first > AllotmentWindow)
    AdmittedUnits.pop_front();
  std::int64_t units = 0;
  for (const auto &[at, it] : AdmittedUnits)
    units += it;
  const auto allowed =
      static_cast<double>(Rate) * toSeconds(AllotmentWindow) + Burst;
  MaxWindowUse = std::max(MaxWindowUse, static_cast<double>(units) / allowed);
  // The slack covers what is admitted while hosts don't receive each other's
  // reports.
  const std::int64_t slack = Plan.HasMix      ? MixSlack
                             : Plan.HasStorms ? AggregatedSlack
                                              : 2 * Slack;
  if (static_cast<double>(units) >
      allowed * Overshoot + static_cast<double>(slack))
    recordViolation("QUOTA: " + std::to_string(units) + " units in a window");
  while (!CallTimes.empty() && Now - CallTimes.front() > RetryWindow * 2)
    CallTimes.pop_front();
  while (!RetryTimes.empty() && Now - RetryTimes.front() > RetryWindow)
    RetryTimes.pop_front();
  // A call may count in this window or in the previous one; the better of the
  // two holds at least half of the calls.
  const double calls = static_cast<double>(CallTimes.size()) / 2;
  if (static_cast<double>(RetryTimes.size()) >
      RetryShare * calls + static_cast<double>(RetrySlack))
    recordViolation("BUDGET: " + std::to_string(RetryTimes.size()) +
                    " retries");
}

/// Checks the running hosts' counts of a window whose reports have all arrived.
void FleetSimulation::checkUsage() {
  const WindowNumber window = Hosts[0].Usage->windowAt(Now) - 1;
  const auto startedCalls = StartedCalls.find(window);
  const Instant end = Hosts[0].Usage->endOf(window);
  if (startedCalls == StartedCalls.end() || Now < end + seconds(2))
    return;
  const auto started = static_cast<double>(startedCalls->second);
  const bool isCalm = LastFaultAt < end - UsageWindow;
  for (const Host &it : Hosts) {
    if (!it.isResponsive(Now))
      continue;
    const auto known = static_cast<double>(it.Usage->sum(window)[Team]);
    if (known > started)
      recordViolation("usage: a team is billed for calls that it did not make");
    if (isCalm && it.ProcessStartedAt < end - UsageWindow * 2 &&
        known < started * (1 - UsageTolerance))
      recordViolation("usage: calls are missing");
  }
}

std::string FleetSimulation::simulate(int length) {
  const Instant end = Start + seconds(length);
  Instant reportedAt = Now;
  const double meanUnits =
      Plan.HasMix ? MixUnitsPerSecond / MixCallsPerSecond : MaxCallUnits / 2.0;
  for (; Now < end && Violation.empty(); Now += Tick) {
    injectFault();
    startStorm();
    for (Host &it : Hosts)
      if (it.IsDown && Now >= it.RestartAt)
        startProcess(it);
    deliver();
    const double wanted = demand() / meanUnits * toSeconds(Tick);
    const auto callers = static_cast<int>(wanted + draw());
    for (int n = 0; n < callers; ++n)
      call();
    const bool isReport = Now - reportedAt >= ReportEvery;
    for (Host &it : Hosts) {
      if (!it.isResponsive(Now))
        continue;
      exerciseDuty(it);
      if (!isReport)
        continue;
      stepLease(it);
      sendReports(it);
    }
    if (isReport) {
      reportedAt = Now;
      noteLevels();
      checkWindows();
      // Usage is complete two seconds after its window only if reports arrive.
      if (!Plan.HasMix)
        checkUsage();
    }
  }
  return Violation;
}

} // namespace sorrelbay
