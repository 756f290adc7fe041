#include "StatementSimulation.h"
#include <algorithm>

namespace sorrelbay {

namespace {

constexpr Duration Tick = milliseconds(5);
const ServiceId Service("service");
constexpr int UpstreamCount = 6;
constexpr double CallsPerHost = 25;
/// The longest time that a call waits for a connection.
constexpr Duration ConnectTimeout = milliseconds(500);
/// The rule.
constexpr Duration Reaction = milliseconds(500);
constexpr int AllowedArrivals = 2;
constexpr Duration DrainTime = seconds(2);
/// An upstream that serves and gets no call for this long is unused. Ejections
/// last up to 12 s.
constexpr Duration UnusedAfter = seconds(15);

} // namespace

StatementSimulation::StatementSimulation(const StatementPlan &plan)
    : Plan(plan), Random(plan.Seed), Now(Start) {
  for (int n = 0; n < UpstreamCount; ++n) {
    Upstream upstream;
    upstream.Record.Id = UpstreamId("u" + std::to_string(n));
    upstream.Record.OfService = Service;
    upstream.Record.Address = upstream.Record.Id.text();
    upstream.Record.StartedMs = toEpochMilliseconds(Now);
    upstream.NextChangeAt = Now + fromSeconds(1 + 4 * draw());
    upstream.UsedAt = Now;
    Upstreams.push_back(std::move(upstream));
  }
  for (int n = 0; n < Plan.Hosts; ++n) {
    Host host;
    host.Id = HostId("h" + std::to_string(100 + n));
    host.ClockError = fromSeconds(0.4 * draw() - 0.2);
    Hosts.push_back(std::move(host));
  }
  for (Host &it : Hosts)
    startProcess(it);
}

double StatementSimulation::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

std::string StatementSimulation::time() const {
  return std::to_string(toMilliseconds(Now - Start)) + " ms";
}

/// Starts a new process without any state of the previous one.
void StatementSimulation::startProcess(Host &host) {
  host.IsDown = false;
  ++host.Incarnation;
  host.Replicas = std::make_unique<ReplicaTable>();
  host.Replicas->statements().setServingHosts(host.Id, {host.Id});
  for (const Upstream &it : Upstreams)
    if (!it.IsDown)
      host.Replicas->note(it.Record, Now);
}

bool StatementSimulation::isResponsive(const Host &host) const {
  return !host.IsDown && Now >= host.FrozenUntil;
}

/// Injects a fault about once in two seconds.
void StatementSimulation::injectFault() {
  if (!Plan.HasFaults || draw() > toSeconds(Tick) / 2)
    return;
  ++FaultCount;
  Host &host = Hosts[static_cast<std::size_t>(
      draw() * static_cast<double>(Hosts.size()))];
  const Duration span = fromSeconds(0.3 + 3 * draw());
  const double kind = draw();
  if (kind < 0.4) {
    Upstream &upstream = Upstreams[static_cast<std::size_t>(
        draw() * static_cast<double>(Upstreams.size()))];
    if (!upstream.IsDown)
      stop(upstream, Now + fromSeconds(0.2 + 3 * draw()));
    return;
  }
  if (kind < 0.6) {
    host.IsDown = true;
    host.RestartAt = Now + span;
  } else if (kind < 0.8) {
    host.FrozenUntil = Now + span;
  } else {
    host.CutUntil = Now + span;
  }
  host.DisturbedAt = std::max(host.DisturbedAt, Now + span);
  if (kind < 0.8)
    host.SuspendedAt = std::max(host.SuspendedAt, Now + span);
}

/// Ends the upstream's process; another one starts under the same id.
void StatementSimulation::stop(Upstream &upstream, Instant startAt) {
  upstream.IsDown = true;
  upstream.StartAt = startAt;
  upstream.RejectsUntil = {};
  upstream.FailsUntil = {};
  upstream.IsLeaving = false;
}

/// The upstream states in its responses that it leaves, and later does. Its
/// registration may never say so.
void StatementSimulation::beginLeaving(Upstream &upstream) {
  if (upstream.IsDown || upstream.IsLeaving)
    return;
  ++LeavingCount;
  upstream.IsLeaving = true;
  upstream.LeavesAt = Now + fromSeconds(2 + 6 * draw());
  if (draw() < 0.5)
    return;
  upstream.Record.IsLeaving = true;
  publish(upstream);
  upstream.Record.IsLeaving = false;
}

/// Upstreams begin to reject calls or to fail them, and start again.
void StatementSimulation::changeUpstreams() {
  for (Upstream &it : Upstreams) {
    if (it.IsDown && Now >= it.StartAt) {
      it.IsDown = false;
      it.Record.StartedMs = toEpochMilliseconds(Now);
      it.UsedAt = Now;
      publish(it);
    }
    if (it.IsLeaving && Now >= it.LeavesAt)
      stop(it, Now + fromSeconds(1 + 2 * draw()));
    if (Now < it.NextChangeAt)
      continue;
    it.NextChangeAt = Now + fromSeconds(1 + 6 * draw());
    if (draw() < 0.15)
      beginLeaving(it);
    else if (draw() < 0.6)
      it.RejectsUntil = Now + fromSeconds(0.2 + 3 * draw());
    else if (draw() < 0.5)
      it.FailsUntil = Now + fromSeconds(1 + 2 * draw());
    else
      publish(it);
  }
}

/// Each host learns of the upstream's record at some time. Now and then the
/// record arrives once more, from an older view.
void StatementSimulation::publish(const Upstream &upstream) {
  for (std::size_t n = 0; n < Hosts.size(); ++n) {
    const double late = draw() < 0.2 ? 3 * draw() : 0.1 * draw();
    Views.push_back(
        {Now + fromSeconds(late), n, Hosts[n].Incarnation, upstream.Record});
    if (draw() < 0.3)
      Views.push_back({Now + fromSeconds(late + draw()), n,
                       Hosts[n].Incarnation, upstream.Record});
  }
}

void StatementSimulation::applyViews() {
  const auto isDue = [&](const ViewChange &it) {
    return it.At <= Now && Now >= Hosts[it.To].FrozenUntil;
  };
  for (const ViewChange &it : Views) {
    Host &host = Hosts[it.To];
    if (!isDue(it) || host.IsDown || host.Incarnation != it.Incarnation)
      continue;
    const ReplicaRecord *known = host.Replicas->find(it.Record.Id);
    // A view never goes back.
    if (!known || known->StartedMs <= it.Record.StartedMs)
      host.Replicas->note(it.Record, Now,
                          fromEpochMilliseconds(it.Record.StartedMs) +
                              host.ClockError);
  }
  Views.erase(std::remove_if(Views.begin(), Views.end(), isDue), Views.end());
}

bool StatementSimulation::place(Call &call) {
  ReplicaRequest request;
  request.ForService = Service;
  request.Hosts = Plan.Hosts;
  request.Seed = Random();
  request.Tried = call.Tried;
  Host &host = Hosts[call.From];
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
  call.State = CallState::Connecting;
  // Most connections exist; others take up to the timeout.
  const double wait =
      draw() < 0.8 ? 0 : draw() * draw() * toSeconds(ConnectTimeout);
  call.NextAt = Now + fromSeconds(wait);
  return true;
}

void StatementSimulation::beginCalls() {
  const double wanted =
      CallsPerHost * static_cast<double>(Hosts.size()) * toSeconds(Tick);
  const auto n = static_cast<int>(wanted + draw());
  for (int i = 0; i < n; ++i) {
    Call call;
    call.BegunAt = Now;
    call.From =
        static_cast<std::size_t>(draw() * static_cast<double>(Hosts.size()));
    call.Incarnation = Hosts[call.From].Incarnation;
    if (isResponsive(Hosts[call.From]) && place(call))
      Calls.push_back(std::move(call));
  }
}

void StatementSimulation::send(Call &call) {
  Host &host = Hosts[call.From];
  const UpstreamId &id = Upstreams[call.At].Record.Id;
  const bool isChecked = Plan.Without != StatementOmission::CheckBeforeSending;
  if (isChecked && !host.Replicas->maySend(id, Now)) {
    ++WithdrawnCount;
    host.Replicas->noteEnded(id, {}, false, SendResult::Inconclusive, Now);
    if (!place(call))
      call.AttemptsLeft = 0;
    return;
  }
  checkSend(call);
  call.State = CallState::UnderWay;
  call.SentAt = Now;
  call.NextAt = Now + fromSeconds(0.001 + 0.004 * draw());
}

void StatementSimulation::checkSend(const Call &call) {
  const Upstream &upstream = Upstreams[call.At];
  const bool isPaused =
      std::any_of(Windows.begin(), Windows.end(), [&](const auto &it) {
        return it.IsKnown && it.Host == call.From &&
               it.Incarnation == call.Incarnation && it.At == call.At &&
               it.StartedMs == upstream.Record.StartedMs && Now < it.Until;
      });
  if (isPaused)
    Violation = "SENT: a call to " + upstream.Record.Id.text() + " at " +
                time() + " during a pause that its host knew of";
}

void StatementSimulation::countArrival(const Call &call) {
  const Host &host = Hosts[call.From];
  for (PauseWindow &it : Windows) {
    const bool isCounted = it.Host == call.From &&
                           it.Incarnation == call.Incarnation &&
                           it.At == call.At && it.StartedMs == call.StartedMs &&
                           Now >= it.AskedAt + Reaction && Now < it.Until &&
                           host.DisturbedAt < it.AskedAt;
    if (isCounted && ++it.Arrivals > AllowedArrivals)
      Violation = "BUDGET: " + std::to_string(it.Arrivals) + " calls of " +
                  host.Id.text() + " reached " +
                  Upstreams[call.At].Record.Id.text() + " at " + time() +
                  ", which had asked for a pause at " +
                  std::to_string(toMilliseconds(it.AskedAt - Start)) + " ms";
  }
}

void StatementSimulation::checkLeaving(const Call &call) {
  const auto passedOn =
      PassedOn.find({call.From, call.Incarnation, call.At, call.StartedMs});
  if (passedOn != PassedOn.end() &&
      call.BegunAt > passedOn->second + DrainTime &&
      Hosts[call.From].SuspendedAt < passedOn->second)
    Violation = "DRAIN: a call of " + Hosts[call.From].Id.text() + " reached " +
                Upstreams[call.At].Record.Id.text() + " at " + time() +
                ", which stated its leaving at " +
                std::to_string(toMilliseconds(passedOn->second - Start)) +
                " ms";
}

/// The call reaches its upstream, which responds after some time.
void StatementSimulation::arrive(Call &call) {
  Upstream &upstream = Upstreams[call.At];
  const Host &host = Hosts[call.From];
  call.State = CallState::Answering;
  if (upstream.IsDown || Now < host.CutUntil) {
    call.Reply = {SendResult::Broken, {}, false};
    call.NextAt = Now + fromSeconds(draw());
    return;
  }
  call.StartedMs = upstream.Record.StartedMs;
  upstream.UsedAt = Now;
  countArrival(call);
  checkLeaving(call);
  call.Reply = {};
  call.Reply.IsLeaving = upstream.IsLeaving;
  if (Now < upstream.FailsUntil) {
    call.Reply.Result = SendResult::Failed;
    call.NextAt = Now + fromSeconds(0.02 * draw());
    return;
  }
  if (Now >= upstream.RejectsUntil) {
    call.NextAt = Now + fromSeconds(0.02 + draw());
    return;
  }
  call.Reply.Result = SendResult::Rejected;
  call.NextAt = Now + fromSeconds(0.001 + 0.004 * draw());
  // Some rejections come without a time, or with one that can't be read.
  if (draw() < 0.2)
    return;
  const Duration pause = fromSeconds(draw() < 0.1 ? 0 : 0.2 + 5 * draw());
  call.Reply.Pause = pause;
  ++PauseCount;
  call.Reply.Window = PauseCount;
  Windows.push_back({call.From, call.Incarnation, call.At, call.StartedMs, Now,
                     Now + pause, 0, PauseCount});
}

void StatementSimulation::notePause(const Call &call, Host &host) {
  if (!call.Reply.Pause || Plan.Without == StatementOmission::Pauses)
    return;
  for (PauseWindow &it : Windows)
    it.IsKnown = it.IsKnown || it.Number == call.Reply.Window;
  host.Replicas->statements().notePause(Upstreams[call.At].Record.Id,
                                        {call.SentAt, Now, *call.Reply.Pause});
}

void StatementSimulation::noteLeaving(const Call &call, Host &host) {
  if (!call.Reply.IsLeaving)
    return;
  PassedOn.try_emplace({call.From, call.Incarnation, call.At, call.StartedMs},
                       Now);
  if (Plan.Without != StatementOmission::Leaving)
    host.Replicas->statements().noteLeaving(Upstreams[call.At].Record.Id,
                                            call.SentAt, Now);
}

/// The response reaches the host. A rejected or failed call is repeated.
void StatementSimulation::receive(Call &call) {
  Host &host = Hosts[call.From];
  const Upstream &upstream = Upstreams[call.At];
  const bool hasEnded =
      upstream.IsDown || upstream.Record.StartedMs != call.StartedMs;
  // Few responses of a process that has ended still arrive.
  if (hasEnded && draw() < 0.8)
    call.Reply = {SendResult::Broken, {}, false};
  notePause(call, host);
  noteLeaving(call, host);
  host.Replicas->noteEnded(Upstreams[call.At].Record.Id, {}, false,
                           call.Reply.Result, Now);
  --call.AttemptsLeft;
  if (call.Reply.Result == SendResult::Answered || call.AttemptsLeft <= 0 ||
      !place(call))
    call.AttemptsLeft = 0;
}

void StatementSimulation::advance(Call &call) {
  const Host &host = Hosts[call.From];
  if (host.IsDown || host.Incarnation != call.Incarnation) {
    call.AttemptsLeft = 0;
    return;
  }
  if (Now < call.NextAt)
    return;
  if (call.State == CallState::UnderWay)
    return arrive(call);
  // A host that is frozen or cut off reads nothing until that ends.
  if (Now < host.FrozenUntil || Now < host.CutUntil)
    return;
  if (call.State == CallState::Connecting)
    return send(call);
  receive(call);
}

void StatementSimulation::checkUse() {
  for (Upstream &it : Upstreams) {
    const bool isServing = !it.IsDown && !it.IsLeaving &&
                           Now >= it.RejectsUntil && Now >= it.FailsUntil;
    const bool isPaused =
        std::any_of(Windows.begin(), Windows.end(), [&](const auto &window) {
          return &it == &Upstreams[window.At] && Now < window.Until;
        });
    if (!isServing || isPaused)
      it.UsedAt = std::max(it.UsedAt, Now);
    if (Now - it.UsedAt > UnusedAfter)
      Violation = "UNUSED: " + it.Record.Id.text() + " at " + time();
  }
}

std::string StatementSimulation::simulate(int length) {
  const Instant end = Start + seconds(length);
  for (; Now < end && Violation.empty(); Now += Tick) {
    injectFault();
    changeUpstreams();
    for (Host &it : Hosts)
      if (it.IsDown && Now >= it.RestartAt)
        startProcess(it);
    applyViews();
    for (std::size_t n = 0; n < Calls.size(); ++n)
      advance(Calls[n]);
    Calls.erase(
        std::remove_if(Calls.begin(), Calls.end(),
                       [](const Call &it) { return it.AttemptsLeft <= 0; }),
        Calls.end());
    beginCalls();
    Windows.erase(
        std::remove_if(Windows.begin(), Windows.end(),
                       [&](const PauseWindow &it) { return Now > it.Until; }),
        Windows.end());
    checkUse();
  }
  return Violation;
}

} // namespace sorrelbay
