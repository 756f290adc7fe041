#include "FleetSimulation.h"
#include "LibServing/Allotment.h"
#include <algorithm>
#include <numeric>

namespace sorrelbay {

namespace {

constexpr Duration Tick = milliseconds(50);
constexpr Duration ReportEvery = milliseconds(250);
const TeamId Team("team");
constexpr std::int64_t Rate = 40000;
constexpr std::int64_t Burst = 40000;
constexpr std::int64_t Slack = 30000;
/// Of a large fleet's allotment, as large sites have it.
constexpr std::int64_t ZonedSlack = 6000;
/// What the team's callers ask for, in parts of its rate: all the time, or in
/// storms before and while they press.
constexpr double SteadyDemand = 3;
constexpr double CalmDemand = 0.4;
constexpr double PressingDemand = 6;
constexpr std::int64_t MostUnits = 1500;
constexpr Duration AllotmentWindow = seconds(8);
constexpr double Overshoot = 1.1;
constexpr double RetryShare = 0.2;
constexpr std::int64_t RetrySlack = 54;
constexpr Duration RetryWindow = seconds(10);
constexpr Duration LeaseBound = seconds(3);
constexpr Duration UsageWindow = seconds(5);
constexpr double UsageOff = 0.05;

} // namespace

FleetSimulation::FleetSimulation(const FleetPlan &plan)
    : Plan(plan), Random(plan.Seed), Now(Start) {
  for (int n = 0; n < Plan.Hosts; ++n) {
    Host host;
    host.Member.Host = HostId("h" + std::to_string(100 + n));
    host.Member.Zone = ZoneId("z" + std::to_string(n % Plan.Zones));
    host.Member.PeerAddress = host.Member.Host.text();
    host.Member.IsReady = true;
    host.Member.Capacity = n % 5 == 0 ? 2 : 1;
    Registered.push_back(host.Member);
    Hosts.push_back(std::move(host));
  }
  for (Host &it : Hosts)
    boot(it);
}

double FleetSimulation::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

std::size_t FleetSimulation::drawHost() {
  return static_cast<std::size_t>(draw() * static_cast<double>(Hosts.size()));
}

void FleetSimulation::fail(const std::string &rule) {
  if (Broken.empty())
    Broken =
        rule + " at " + std::to_string(toMilliseconds(Now - Start)) + " ms";
}

/// A new process: it knows nothing of before.
void FleetSimulation::boot(Host &host) {
  host.IsDown = false;
  host.ProcessStartedAt = Now;
  host.Sequence = 0;
  host.Incarnation =
      IncarnationId(host.Member.Host.text() + "/" + std::to_string(Random()));
  host.View = std::make_unique<FleetView>(
      FleetViewSettings{host.Member.Host, host.Member.Zone, Now});
  host.View->noteRegistered(Registered);
  host.Replicas = std::make_unique<ReplicaTable>();
  host.Demand = std::make_unique<EngineDemand>();
  host.RateLimiters.clear();
  host.Usage = std::make_unique<UsageCounts>(host.Incarnation, host.Member.Zone,
                                             UsageWindow);
  host.Time = std::make_unique<FleetClock>(Now, Now);
  host.ReportMerger = std::make_unique<FleetReportMerger>(
      *host.View,
      FleetTables{*host.Replicas, *host.Demand, host.RateLimiters, *host.Usage,
                  *host.Time},
      Now);
  host.Repeats.reset();
  LeaderLeaseSettings lease;
  lease.Term = LeaseBound + seconds(1);
  lease.OrderTimeout = Duration::zero();
  if (Plan.Without == FleetOmission::LeaseEnd)
    lease.Margin = -10;
  host.Lease = std::make_unique<LeaderLease>(host.Incarnation, lease);
  host.WasHeld = false;
  host.Reach = StoreReachability();
}

bool FleetSimulation::works(const Host &host) const {
  return !host.IsDown && Now >= host.FrozenUntil;
}

bool FleetSimulation::reaches(const Host &from, const Host &to) const {
  return Now >= from.CutFromPeersUntil && Now >= to.CutFromPeersUntil;
}

/// Something goes wrong, about once in two seconds.
void FleetSimulation::strike() {
  if (!Plan.HasFaults || draw() > toSeconds(Tick) / 2)
    return;
  Host &host = Hosts[drawHost()];
  const Duration span = fromSeconds(0.3 + 4 * draw());
  const double kind = draw();
  ++Faults;
  LastFaultAt = std::max(LastFaultAt, Now + span * 2);
  if (kind < 0.35) {
    host.IsDown = true;
    host.BackAt = Now + span;
  } else if (kind < 0.55) {
    host.FrozenUntil = Now + span * 2;
  } else if (kind < 0.8) {
    host.CutFromStoreUntil = Now + span * 2;
  } else {
    // Cut off from all others, but not from callers or the store.
    host.CutFromPeersUntil = Now + std::min<Duration>(span, seconds(1));
  }
}

/// Callers begin to press, the store is away, and sometimes many hosts are
/// killed at the same time.
void FleetSimulation::brew() {
  if (!Plan.HasStorms || draw() > toSeconds(Tick) / 12 || Now < PressUntil)
    return;
  ++Faults;
  PressUntil = Now + fromSeconds(4 + 8 * draw());
  StoreAwayUntil = Now + fromSeconds(0.2 + 3 * draw() * draw());
  const double killed = draw() < 0.5 ? 0 : 0.5 * draw();
  for (Host &it : Hosts) {
    if (draw() >= killed)
      continue;
    it.IsDown = true;
    it.BackAt = Now + fromSeconds(0.5 + 3 * draw());
  }
}

double FleetSimulation::demand() const {
  if (!Plan.HasStorms)
    return SteadyDemand * Rate;
  return (Now < PressUntil ? PressingDemand : CalmDemand) * Rate;
}

void FleetSimulation::askStore(Host &host) {
  const bool asks =
      host.Reach.isUnreached() || host.View->aggregates(host.Member, Now);
  if (asks)
    host.Reach.note(Now >= host.CutFromStoreUntil && Now >= StoreAwayUntil,
                    Now);
}

void FleetSimulation::post(std::size_t from, const std::vector<HostId> &to,
                           const FleetReport &report) {
  for (const HostId &it : to) {
    const auto found =
        std::find_if(Hosts.begin(), Hosts.end(),
                     [&](const Host &host) { return host.Member.Host == it; });
    if (found == Hosts.end() || !reaches(Hosts[from], *found))
      continue;
    const auto index = static_cast<std::size_t>(found - Hosts.begin());
    Waiting.push_back(
        {Now + fromSeconds(0.001 + 0.03 * draw()), index, report});
  }
}

void FleetSimulation::tell(Host &host) {
  const auto index = static_cast<std::size_t>(&host - Hosts.data());
  askStore(host);
  host.Member.IsStoreUnreachable = host.Reach.isStoreUnreachable(Now);
  host.Member.HoldsDuties = host.Lease->isHeld(Now);
  host.Member.LeaseRevision =
      host.Member.HoldsDuties ? host.Lease->fencing() : 0;
  host.View->removeSilent(Now);
  host.ReportMerger->recount(host.Member, Now);
  host.ReportMerger->agree(Now);
  FleetReport own;
  own.Reporter = host.Member.Host;
  own.Zone = host.Member.Zone;
  own.Incarnation = host.Incarnation;
  own.Sequence = ++host.Sequence;
  own.Uptime = Now - host.ProcessStartedAt;
  own.FleetTimeMs = toEpochMilliseconds(Now);
  own.Members = {host.Member};
  host.ReportMerger->fillOwnReport(own, Now);
  host.View->noteOwn(own, Now);
  post(index, host.View->reportPeers(host.Member, Now), own);
  if (!host.View->isAggregatedByZone() ||
      !host.View->aggregates(host.Member, Now))
    return;
  FleetReport zone = host.View->zoneReport(own, Now);
  FleetReport others = host.View->othersReport(own, Now);
  host.ReportMerger->fillUsage(zone);
  host.ReportMerger->fillUsage(others);
  post(index, host.View->otherAggregators(Now), zone);
  post(index, host.View->groupPeers(), others);
  post(index, host.View->groupPeers(), host.View->ownZoneReport(zone));
}

void FleetSimulation::deliver() {
  std::vector<Message> due;
  const auto isDue = [&](const Message &it) {
    return it.At <= Now && Now >= Hosts[it.To].FrozenUntil;
  };
  const auto middle =
      std::stable_partition(Waiting.begin(), Waiting.end(),
                            [&](const Message &it) { return !isDue(it); });
  due.assign(std::make_move_iterator(middle),
             std::make_move_iterator(Waiting.end()));
  Waiting.erase(middle, Waiting.end());
  for (const Message &it : due) {
    Host &host = Hosts[it.To];
    FleetReport report = it.Report;
    if (Plan.Without == FleetOmission::PeersUse)
      report.Used.clear();
    if (!host.IsDown && host.View->receive(report, Now))
      host.ReportMerger->take(report, host.Member, Now);
  }
}

/// One caller: its units, and a repeat if its first send fails.
void FleetSimulation::call() {
  Host &host = Hosts[drawHost()];
  if (!works(host))
    return;
  const auto units =
      static_cast<std::int64_t>(1 + draw() * static_cast<double>(MostUnits));
  ServingTeam team;
  team.Rate = Rate;
  team.Burst = Burst;
  const Allotment most = allotmentFor(team, host.View->isAggregatedByZone(),
                                      {Slack, AllotmentWindow});
  if (!host.RateLimiters[Team].take(units, most.Rate, most.Burst, Now))
    return;
  ++Calls;
  LetIn.emplace_back(Now, units);
  Called.push_back(Now);
  host.Usage->noteCallStarted(Team, Now);
  ++Begun[host.Usage->windowAt(Now)];
  const RetryBudgetShare part =
      retryBudgetShare(RetryShare, RetrySlack, host.View->hostCount());
  if (!host.Repeats)
    host.Repeats =
        std::make_unique<RetryBudget>(part.Share, part.MaxBalance, part.Begin);
  host.Repeats->setMaxBalance(part.MaxBalance);
  host.Repeats->noteCall();
  const bool mayRepeat = Plan.Without == FleetOmission::Budget ||
                         host.Repeats->takeRetry(RetryLayer::EntryHost);
  if (draw() < 0.6 && mayRepeat)
    Repeated.push_back(Now);
}

/// The store keeps the lease; a reply may be lost after the write was done.
void FleetSimulation::stepLease(Host &host) {
  for (const KnownMember &it : host.View->members())
    if (it.Member.LeaseRevision != 0)
      host.Lease->noteReported(
          {IncarnationId(it.Member.Host.text()), it.Member.LeaseRevision}, Now);
  const bool isHeld = host.Lease->isHeld(Now);
  const bool mayStandBy = !host.View->holdsDuties(Now) &&
                          host.View->isAmongFirst(host.Member, 3, Now);
  if (!isHeld && !mayStandBy)
    return;
  const bool isReached = Now >= host.CutFromStoreUntil && Now >= StoreAwayUntil;
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

/// A holder exercises its duty.
void FleetSimulation::act(Host &host) {
  const bool isHeld = host.Lease->isHeld(Now);
  Holders += isHeld && !host.WasHeld ? 1 : 0;
  host.WasHeld = isHeld;
  if (!isHeld)
    return;
  const std::string self = host.Incarnation.text();
  while (!Acts.empty() && Now - Acts.front().first > LeaseBound)
    Acts.pop_front();
  bool hasOther = false;
  for (auto it = Acts.rbegin(); it != Acts.rend(); ++it) {
    hasOther = hasOther || it->second != self;
    if (hasOther && it->second == self)
      fail("ONE: two holders acted by turns");
  }
  Acts.emplace_back(Now, self);
}

void FleetSimulation::checkWindows() {
  while (!LetIn.empty() && Now - LetIn.front().first > AllotmentWindow)
    LetIn.pop_front();
  std::int64_t units = 0;
  for (const auto &[at, it] : LetIn)
    units += it;
  const auto allowed =
      static_cast<double>(Rate) * toSeconds(AllotmentWindow) + Burst;
  MostUsed = std::max(MostUsed, static_cast<double>(units) / allowed);
  // The slack covers what is let in while hosts don't hear of each other.
  const std::int64_t slack = Plan.HasStorms ? ZonedSlack : 2 * Slack;
  if (static_cast<double>(units) >
      allowed * Overshoot + static_cast<double>(slack))
    fail("QUOTA: " + std::to_string(units) + " units in a window");
  while (!Called.empty() && Now - Called.front() > RetryWindow * 2)
    Called.pop_front();
  while (!Repeated.empty() && Now - Repeated.front() > RetryWindow)
    Repeated.pop_front();
  // Calls count in the window, the one before or between; a half is the least
  // that the best of them can hold.
  const double calls = static_cast<double>(Called.size()) / 2;
  if (static_cast<double>(Repeated.size()) >
      RetryShare * calls + static_cast<double>(RetrySlack))
    fail("BUDGET: " + std::to_string(Repeated.size()) + " repeats");
}

/// What a live host knows of a window whose reports have settled.
void FleetSimulation::checkUsage() {
  const WindowNumber window = Hosts[0].Usage->windowAt(Now) - 1;
  const auto truth = Begun.find(window);
  const Instant end = Hosts[0].Usage->endOf(window);
  if (truth == Begun.end() || Now < end + seconds(2))
    return;
  const auto begun = static_cast<double>(truth->second);
  const bool isCalm = LastFaultAt < end - UsageWindow;
  for (const Host &it : Hosts) {
    if (!works(it))
      continue;
    const auto known = static_cast<double>(it.Usage->sum(window)[Team]);
    if (known > begun)
      fail("usage: a team is billed for calls that it did not make");
    if (isCalm && it.ProcessStartedAt < end - UsageWindow * 2 &&
        known < begun * (1 - UsageOff))
      fail("usage: calls are missing");
  }
}

std::string FleetSimulation::play(int length) {
  const Instant end = Start + seconds(length);
  Instant reportedAt = Now;
  for (; Now < end && Broken.empty(); Now += Tick) {
    strike();
    brew();
    for (Host &it : Hosts)
      if (it.IsDown && Now >= it.BackAt)
        boot(it);
    deliver();
    const double wanted = demand() / (MostUnits / 2.0) * toSeconds(Tick);
    const auto callers = static_cast<int>(wanted + draw());
    for (int n = 0; n < callers; ++n)
      call();
    const bool isReport = Now - reportedAt >= ReportEvery;
    for (Host &it : Hosts) {
      if (!works(it))
        continue;
      act(it);
      if (!isReport)
        continue;
      stepLease(it);
      tell(it);
    }
    if (isReport) {
      reportedAt = Now;
      checkWindows();
      checkUsage();
    }
  }
  return Broken;
}

} // namespace sorrelbay
