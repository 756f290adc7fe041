#include "RejectionSimulation.h"
#include <algorithm>

namespace sorrelbay {

namespace {

constexpr Duration Tick = milliseconds(5);
constexpr Duration ReportEvery = milliseconds(250);
const ServiceId Service("service");
constexpr int UpstreamsPerHost = 2;
constexpr int Slots = 8;
constexpr int WaitingRoom = 12;
/// The mean time that an upstream works on a call.
constexpr double MeanWorkSeconds = 0.15;
/// The rule.
constexpr Duration StableWindow = seconds(3);
constexpr Duration RejectionWindow = seconds(1);
constexpr double AllowedFailures = 2;
constexpr double AllowedFailureShare = 0.1;

} // namespace

RejectionSimulation::RejectionSimulation(const RejectionPlan &plan)
    : Plan(plan), Random(plan.Seed), Now(Start) {
  for (int n = 0; n < UpstreamsPerHost * Plan.Hosts; ++n) {
    Upstream upstream;
    upstream.Record.Id = UpstreamId("u" + std::to_string(100 + n));
    upstream.Record.OfService = Service;
    upstream.Record.InZone = ZoneId("z" + std::to_string(n % Plan.Zones));
    upstream.Record.Address = upstream.Record.Id.text();
    upstream.Record.Slots = Slots;
    upstream.Record.StartedMs = toEpochMilliseconds(Now);
    Upstreams.push_back(std::move(upstream));
  }
  for (int n = 0; n < Plan.Hosts; ++n) {
    Host host;
    host.Member = simulatedMember(n, Plan.Zones);
    Registered.push_back(host.Member);
    Hosts.push_back(std::move(host));
  }
  for (Host &it : Hosts)
    startProcess(it);
  NextBrittleAt = Now + seconds(4);
}

double RejectionSimulation::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

/// Starts a new process without any state of the previous one.
void RejectionSimulation::startProcess(Host &host) {
  host.startProcess(Registered, Random(), Now);
  for (const Upstream &it : Upstreams)
    if (!it.IsDown)
      host.Replicas->note(it.Record, Now);
}

/// Injects a fault about once in three seconds.
void RejectionSimulation::injectFault() {
  if (!Plan.HasFaults || draw() > toSeconds(Tick) / 3)
    return;
  ++FaultCount;
  if (draw() < 0.5)
    return crash();
  Host &host = Hosts[static_cast<std::size_t>(
      draw() * static_cast<double>(Hosts.size()))];
  const Duration span = fromSeconds(0.3 + 3 * draw());
  const double kind = draw();
  if (kind < 0.4) {
    host.IsDown = true;
    host.RestartAt = Now + span;
  } else if (kind < 0.7) {
    host.FrozenUntil = Now + span;
  } else {
    host.CutUntil = Now + span;
  }
  host.ExcusedUntil = std::max(host.ExcusedUntil, Now + span + StableWindow);
}

/// An upstream crashes, or all of a zone do, and start again at the same time.
void RejectionSimulation::crash() {
  const Upstream &first = Upstreams[static_cast<std::size_t>(
      draw() * static_cast<double>(Upstreams.size()))];
  const bool isWholeZone = draw() < 0.5;
  const Duration span = fromSeconds(0.5 + 2 * draw());
  for (Upstream &it : Upstreams)
    if (it.Record.Id == first.Record.Id ||
        (isWholeZone && it.Record.InZone == first.Record.InZone))
      stop(it, Now + span);
}

void RejectionSimulation::stop(Upstream &upstream, Instant startAt) {
  upstream.IsDown = true;
  upstream.StartAt = startAt;
  upstream.Running = 0;
  upstream.Waiting = 0;
  upstream.Rejections.clear();
}

void RejectionSimulation::changeState() {
  if (Now >= NextBrittleAt) {
    ++BrittleTimes;
    BrittleSince = Now;
    BrittleUntil = Now + fromSeconds(8 + 4 * draw());
    NextBrittleAt = BrittleUntil + fromSeconds(3 + 3 * draw());
    BearableRejections = static_cast<double>(static_cast<int>(2 + 14 * draw()));
    RoomWhileBrittle = static_cast<int>(4 * draw());
    CountedFailures = 0;
  }
  for (Upstream &it : Upstreams) {
    if (!it.IsDown || Now < it.StartAt)
      continue;
    it.IsDown = false;
    it.Record.StartedMs = toEpochMilliseconds(Now);
    for (Host &host : Hosts)
      if (!host.IsDown)
        host.Replicas->note(it.Record, Now, Now);
  }
}

int RejectionSimulation::waitingRoom() const {
  return isBrittle() && Now >= BrittleSince + StableWindow ? RoomWhileBrittle
                                                           : WaitingRoom;
}

bool RejectionSimulation::place(Call &call) {
  Host &host = Hosts[call.From];
  ReplicaRequest request;
  request.ForService = Service;
  request.OwnZone = host.Member.Zone;
  request.Hosts = host.View->hostCount();
  request.Seed = Random();
  request.Tried = call.Tried;
  const auto chosen = host.Replicas->choose(request, Now);
  if (!chosen)
    return false;
  host.Replicas->noteSent(chosen->Id, {}, Now);
  call.Tried.push_back(chosen->Id);
  const auto found =
      std::find_if(Upstreams.begin(), Upstreams.end(), [&](const Upstream &it) {
        return it.Record.Id == chosen->Id;
      });
  call.At = static_cast<std::size_t>(found - Upstreams.begin());
  call.State = CallState::UnderWay;
  call.SentAt = Now;
  call.NextAt = Now + fromSeconds(0.001 + 0.004 * draw());
  return true;
}

void RejectionSimulation::beginCalls() {
  const double possible = static_cast<double>(Upstreams.size()) * Slots /
                          MeanWorkSeconds * toSeconds(Tick);
  if (isBrittle())
    CallsPossible += possible * std::min(1.0, Plan.Load);
  const auto n = static_cast<int>(possible * Plan.Load + draw());
  for (int i = 0; i < n; ++i) {
    Call call;
    call.From =
        static_cast<std::size_t>(draw() * static_cast<double>(Hosts.size()));
    call.Process = Hosts[call.From].Incarnation;
    call.Work = fromSeconds(MeanWorkSeconds * 2 * draw());
    if (Hosts[call.From].isResponsive(Now) && place(call))
      Calls.push_back(std::move(call));
  }
}

/// The upstream fails; what it had is lost, and it starts again later.
void RejectionSimulation::fail(Upstream &upstream) {
  ++FailureCount;
  const auto excused =
      std::count_if(upstream.Rejections.begin(), upstream.Rejections.end(),
                    [](const Rejection &it) { return it.IsExcused; });
  if (2 * static_cast<std::size_t>(excused) < upstream.Rejections.size())
    CountedFailures += 1;
  if (CountedFailures >
      AllowedFailures +
          AllowedFailureShare * static_cast<double>(Upstreams.size()))
    Violation = "LIMIT: " + std::to_string(static_cast<int>(CountedFailures)) +
                " failures of " + std::to_string(Upstreams.size()) +
                " upstreams that bear " +
                std::to_string(static_cast<int>(BearableRejections)) + ", at " +
                std::to_string(toMilliseconds(Now - Start)) + " ms";
  stop(upstream, Now + fromSeconds(2 + 2 * draw()));
}

void RejectionSimulation::reject(Call &call) {
  Upstream &upstream = Upstreams[call.At];
  call.Result = SendResult::Rejected;
  call.State = CallState::Answering;
  call.NextAt = Now + fromSeconds(0.001 + 0.004 * draw());
  upstream.Rejections.push_back({Now, Now < Hosts[call.From].ExcusedUntil});
  while (Now - upstream.Rejections.front().At >= RejectionWindow)
    upstream.Rejections.pop_front();
  if (isBrittle() && Now >= BrittleSince + StableWindow &&
      static_cast<double>(upstream.Rejections.size()) > BearableRejections)
    fail(upstream);
}

void RejectionSimulation::arrive(Call &call) {
  Upstream &upstream = Upstreams[call.At];
  if (upstream.IsDown) {
    call.Result = SendResult::Broken;
    call.State = CallState::Answering;
    return;
  }
  call.StartedMs = upstream.Record.StartedMs;
  if (isBrittle())
    call.Stated = BearableRejections;
  if (upstream.Running < Slots)
    return run(call);
  if (upstream.Waiting >= waitingRoom())
    return reject(call);
  ++upstream.Waiting;
  call.State = CallState::Waiting;
}

void RejectionSimulation::run(Call &call) {
  ++Upstreams[call.At].Running;
  if (isBrittle())
    CallsRun += 1;
  call.State = CallState::Running;
  call.NextAt = Now + call.Work;
}

/// The response reaches the host. A rejected call is repeated once.
void RejectionSimulation::answer(Call &call) {
  Host &host = Hosts[call.From];
  const UpstreamId &id = Upstreams[call.At].Record.Id;
  call.IsDone = true;
  if (host.IsDown || host.Incarnation != call.Process)
    return;
  host.Replicas->noteEnded(id, {}, false, call.Result, Now);
  if (Plan.Without != RejectionOmission::Statements &&
      call.Result != SendResult::Broken)
    host.Replicas->statements().noteRejectionLimit(
        id, {call.Stated, call.Stated ? Now : call.SentAt});
  if (call.Result == SendResult::Rejected && call.Tried.size() < 2)
    call.IsDone = !place(call);
}

void RejectionSimulation::advance(Call &call) {
  Upstream &upstream = Upstreams[call.At];
  const bool isAtUpstream =
      call.State == CallState::Waiting || call.State == CallState::Running;
  if (isAtUpstream &&
      (upstream.IsDown || upstream.Record.StartedMs != call.StartedMs)) {
    call.Result = SendResult::Broken;
    call.State = CallState::Answering;
    call.NextAt = Now;
  }
  if (call.State == CallState::Waiting && upstream.Running < Slots) {
    --upstream.Waiting;
    return run(call);
  }
  if (call.State == CallState::Waiting || Now < call.NextAt)
    return;
  if (call.State == CallState::UnderWay)
    return arrive(call);
  if (call.State == CallState::Running) {
    --upstream.Running;
    call.Result = SendResult::Answered;
    call.State = CallState::Answering;
    call.NextAt = Now + fromSeconds(0.001 + 0.004 * draw());
    return;
  }
  if (Now >= Hosts[call.From].FrozenUntil)
    answer(call);
}

void RejectionSimulation::sendReports(std::size_t from) {
  Host &host = Hosts[from];
  host.sendReports(Now, [&](const std::vector<HostId> &to,
                            const FleetReport &report) {
    for (const HostId &it : to) {
      const std::size_t index = indexOfHost(Hosts, it);
      const bool isReachable = index < Hosts.size() && Now >= host.CutUntil &&
                               Now >= Hosts[index].CutUntil;
      if (isReachable)
        InFlightMessages.push_back(
            {Now + fromSeconds(0.001 + 0.03 * draw()), index, report});
    }
  });
  if (Plan.Without == RejectionOmission::Division)
    host.Replicas->statements().setSendingHosts(
        {host.Member.Host, {host.Member.Host}, false});
}

void RejectionSimulation::deliver() {
  for (const SimulatedMessage &it :
       takeDueMessages(InFlightMessages, Hosts, Now))
    Hosts[it.To].receive(it.Report, Now);
}

std::string RejectionSimulation::simulate(int length) {
  const Instant end = Start + seconds(length);
  for (; Now < end && Violation.empty(); Now += Tick) {
    injectFault();
    changeState();
    for (Host &it : Hosts)
      if (it.IsDown && Now >= it.RestartAt)
        startProcess(it);
    deliver();
    for (Call &it : Calls)
      advance(it);
    Calls.erase(std::remove_if(Calls.begin(), Calls.end(),
                               [](const Call &it) { return it.IsDone; }),
                Calls.end());
    beginCalls();
    for (std::size_t n = 0; n < Hosts.size(); ++n) {
      // Hosts report at different times.
      const Duration phase = Tick * ((n * 7) % (ReportEvery / Tick));
      if (Hosts[n].isResponsive(Now) &&
          (Now - Start + phase) % ReportEvery == Duration::zero())
        sendReports(n);
    }
  }
  return Violation;
}

} // namespace sorrelbay
