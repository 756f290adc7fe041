#include "RateLimitSimulation.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

namespace {

constexpr Duration Tick = milliseconds(10);
constexpr Duration ReportEvery = milliseconds(250);
const ServiceId Service("service");
constexpr int UpstreamCount = 8;
/// The calls a second that one upstream would get without limits.
constexpr double DemandPerUpstream = 5;
constexpr double LeastLimit = 0.4;
constexpr double MostLimit = 12;
/// The rule.
constexpr Duration Window = seconds(4);
constexpr Duration StableWindow = seconds(3);
constexpr Duration PassedOnBefore = milliseconds(500);
constexpr double AllowedFactor = 1.5;
constexpr double AllowedCalls = 5;
/// An upstream without a limit that gets no call for this long is unused.
constexpr Duration UnusedAfter = seconds(6);

} // namespace

RateLimitSimulation::RateLimitSimulation(const RateLimitPlan &plan)
    : Plan(plan), Random(plan.Seed), Now(Start) {
  for (int n = 0; n < UpstreamCount; ++n) {
    Upstream upstream;
    upstream.Record.Id = UpstreamId("u" + std::to_string(n));
    upstream.Record.OfService = Service;
    upstream.Record.InZone = ZoneId("z" + std::to_string(n % Plan.Zones));
    upstream.Record.Address = upstream.Record.Id.text();
    upstream.Record.StartedMs = 1;
    upstream.NextChangeAt = Now + fromSeconds(2 + 6 * draw());
    upstream.UsedAt = Now;
    Upstreams.push_back(std::move(upstream));
  }
  for (int n = 0; n < Plan.Hosts; ++n) {
    Host host;
    host.Member = simulatedMember(n, Plan.Zones);
    if (Plan.Without != RateLimitOmission::Division)
      Registered.push_back(host.Member);
    Hosts.push_back(std::move(host));
  }
  for (Host &it : Hosts)
    startProcess(it);
}

double RateLimitSimulation::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

/// Starts a new process without any state of the previous one.
void RateLimitSimulation::startProcess(Host &host) {
  host.startProcess(Registered, Random(), Now);
  host.PassedOnAt.clear();
  for (const Upstream &it : Upstreams)
    host.Replicas->note(it.Record, Now);
}

/// Injects a fault about once in two seconds.
void RateLimitSimulation::injectFault() {
  if (!Plan.HasFaults || draw() > toSeconds(Tick) / 2)
    return;
  ++Faults;
  Host &host = Hosts[static_cast<std::size_t>(
      draw() * static_cast<double>(Hosts.size()))];
  const Duration span = fromSeconds(0.3 + 4 * draw());
  const double kind = draw();
  if (kind < 0.25) {
    Upstream &upstream = Upstreams[static_cast<std::size_t>(
        draw() * static_cast<double>(Upstreams.size()))];
    forgetLimit(upstream);
    ++upstream.Record.StartedMs;
    for (Host &it : Hosts)
      if (!it.IsDown)
        it.Replicas->note(upstream.Record, Now);
    return;
  }
  if (kind < 0.55) {
    host.IsDown = true;
    host.RestartAt = Now + span;
  } else if (kind < 0.75) {
    host.FrozenUntil = Now + span;
  } else {
    host.CutUntil = Now + span;
  }
  host.ExcusedUntil = std::max(host.ExcusedUntil, Now + span + StableWindow);
}

void RateLimitSimulation::forgetLimit(Upstream &upstream) {
  upstream.Limit.reset();
  upstream.FirstNamedAt = {};
  upstream.Counted.clear();
  upstream.Limits.clear();
  upstream.UsedAt = Now;
  for (Host &it : Hosts)
    it.PassedOnAt.erase(upstream.Record.Id);
}

/// Upstreams begin, change and end their limits.
void RateLimitSimulation::changeLimits() {
  for (Upstream &it : Upstreams) {
    if (Now < it.NextChangeAt)
      continue;
    ++Statements;
    it.NextChangeAt = Now + fromSeconds(3 + 8 * draw());
    if (it.Limit && draw() < 0.4) {
      forgetLimit(it);
      continue;
    }
    it.Limit = LeastLimit * std::pow(MostLimit / LeastLimit, draw());
    if (it.FirstNamedAt == Instant{})
      it.FirstNamedAt = Now;
  }
}

void RateLimitSimulation::sendCalls() {
  const double wanted = DemandPerUpstream * UpstreamCount * toSeconds(Tick);
  const auto callers = static_cast<int>(wanted + draw());
  for (int n = 0; n < callers; ++n) {
    const auto from =
        static_cast<std::size_t>(draw() * static_cast<double>(Hosts.size()));
    Host &host = Hosts[from];
    if (!host.isResponsive(Now))
      continue;
    ReplicaRequest request;
    request.ForService = Service;
    request.OwnZone = host.Member.Zone;
    request.Hosts = host.View->hostCount();
    request.Seed = Random();
    const auto chosen = host.Replicas->choose(request, Now);
    if (!chosen)
      continue;
    host.Replicas->noteSent(chosen->Id, {}, Now);
    const auto at = std::find_if(
        Upstreams.begin(), Upstreams.end(),
        [&](const Upstream &it) { return it.Record.Id == chosen->Id; });
    Call call;
    call.SentAt = Now;
    call.ArrivesAt = Now + fromSeconds(0.001 + 0.004 * draw());
    call.AnsweredAt = call.ArrivesAt + fromSeconds(0.03 + 0.3 * draw());
    call.From = from;
    call.At = static_cast<std::size_t>(at - Upstreams.begin());
    call.Incarnation = host.Incarnation;
    Calls.push_back(call);
  }
}

void RateLimitSimulation::arrive(Call &call) {
  Upstream &upstream = Upstreams[call.At];
  const Host &host = Hosts[call.From];
  call.HasArrived = true;
  call.Limit = upstream.Limit;
  upstream.UsedAt = Now;
  if (!upstream.Limit)
    return;
  LimitedCalls += 1;
  const auto passedOn = host.PassedOnAt.find(upstream.Record.Id);
  if (passedOn != host.PassedOnAt.end() &&
      Now - passedOn->second >= PassedOnBefore && Now >= host.ExcusedUntil)
    upstream.Counted.push_back(Now);
}

void RateLimitSimulation::answer(const Call &call) {
  Host &host = Hosts[call.From];
  if (host.IsDown || host.Incarnation != call.Incarnation)
    return;
  const Upstream &upstream = Upstreams[call.At];
  const UpstreamId &id = upstream.Record.Id;
  host.Replicas->noteEnded(id, {}, false, SendResult::Answered, Now);
  if (call.Limit && upstream.Limit)
    host.PassedOnAt.try_emplace(id, Now);
  if (Plan.Without != RateLimitOmission::Statements)
    host.Replicas->statements().noteRateLimit(
        id, {call.Limit, call.Limit ? Now : call.SentAt});
}

void RateLimitSimulation::moveCalls() {
  for (Call &it : Calls)
    if (!it.HasArrived && Now >= it.ArrivesAt)
      arrive(it);
  for (const Call &it : Calls)
    if (Now >= it.AnsweredAt && Now >= Hosts[it.From].FrozenUntil)
      answer(it);
  Calls.erase(std::remove_if(Calls.begin(), Calls.end(),
                             [&](const Call &it) {
                               return Now >= it.AnsweredAt &&
                                      Now >= Hosts[it.From].FrozenUntil;
                             }),
              Calls.end());
}

void RateLimitSimulation::enqueueMessage(std::size_t from,
                                         const std::vector<HostId> &to,
                                         const FleetReport &report) {
  if (Now < Hosts[from].CutUntil || Plan.Without == RateLimitOmission::Division)
    return;
  for (const HostId &it : to) {
    const std::size_t index = indexOfHost(Hosts, it);
    if (index == Hosts.size() || Now < Hosts[index].CutUntil)
      continue;
    // Now and then a report is late.
    const double late = draw() < 0.05 ? 0.5 * draw() : 0;
    InFlightMessages.push_back(
        {Now + fromSeconds(0.001 + 0.03 * draw() + late), index, report});
  }
}

void RateLimitSimulation::sendReports(std::size_t from) {
  Hosts[from].sendReports(
      Now, [&](const std::vector<HostId> &to, const FleetReport &report) {
        enqueueMessage(from, to, report);
      });
}

void RateLimitSimulation::deliver() {
  for (const SimulatedMessage &it :
       takeDueMessages(InFlightMessages, Hosts, Now))
    Hosts[it.To].receive(it.Report, Now);
}

void RateLimitSimulation::checkLimits() {
  const bool isServing =
      std::any_of(Hosts.begin(), Hosts.end(),
                  [&](const Host &it) { return Now >= it.ExcusedUntil; });
  for (Upstream &it : Upstreams) {
    if (!isServing)
      it.UsedAt = Now;
    const std::string at = it.Record.Id.text() + " at " +
                           std::to_string(toMilliseconds(Now - Start)) + " ms";
    if (!it.Limit) {
      if (Now - it.UsedAt > UnusedAfter)
        Violation = "UNUSED: " + at;
      continue;
    }
    LimitedRate += std::min(*it.Limit, DemandPerUpstream) * toSeconds(Tick);
    it.Limits.emplace_back(Now, *it.Limit);
    while (Now - it.Limits.front().first > Window + PassedOnBefore)
      it.Limits.pop_front();
    while (!it.Counted.empty() && Now - it.Counted.front() > Window)
      it.Counted.pop_front();
    if (Now - it.FirstNamedAt < StableWindow)
      continue;
    // A change is known half a second later.
    const auto lag = static_cast<std::size_t>(PassedOnBefore / Tick);
    const auto steps = static_cast<std::size_t>(Window / Tick);
    double allowed = 0;
    for (std::size_t n = 0; n < steps; ++n) {
      const std::size_t last = it.Limits.size() - 1;
      const double current = it.Limits[last - std::min(n, last)].second;
      const double before = it.Limits[last - std::min(n + lag, last)].second;
      allowed += std::max(current, before) * toSeconds(Tick);
    }
    const double most = allowed * AllowedFactor + AllowedCalls;
    if (static_cast<double>(it.Counted.size()) > most)
      Violation = "LIMIT: " + std::to_string(it.Counted.size()) +
                  " calls in 4 s, " + std::to_string(most) + " allowed, at " +
                  at;
  }
}

std::string RateLimitSimulation::simulate(int length) {
  const Instant end = Start + seconds(length);
  for (; Now < end && Violation.empty(); Now += Tick) {
    injectFault();
    changeLimits();
    for (Host &it : Hosts)
      if (it.IsDown && Now >= it.RestartAt)
        startProcess(it);
    deliver();
    moveCalls();
    sendCalls();
    for (std::size_t n = 0; n < Hosts.size(); ++n) {
      // Hosts report at different times.
      const Duration phase = Tick * ((n * 7) % (ReportEvery / Tick));
      if (Hosts[n].isResponsive(Now) &&
          (Now - Start + phase) % ReportEvery == Duration::zero())
        sendReports(n);
    }
    checkLimits();
  }
  return Violation;
}

} // namespace sorrelbay
