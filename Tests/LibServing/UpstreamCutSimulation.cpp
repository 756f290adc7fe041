#include "UpstreamCutSimulation.h"
#include <algorithm>

namespace sorrelbay {

namespace {

constexpr Duration Tick = milliseconds(10);
constexpr Duration ReportEvery = milliseconds(250);
constexpr Duration ProbeEvery = milliseconds(50);
const ServiceId Engines("engines");
const ServiceId Desks("desks");
constexpr double CallsPerHost = 25;
constexpr int CallersPerHost = 10;
constexpr Duration ConnectTimeout = milliseconds(250);
constexpr Duration KeepAliveTimeout = seconds(4);
/// A call whose bytes are not acknowledged fails after this time.
constexpr Duration UnacknowledgedLimit = seconds(2);
constexpr Duration Deadline = seconds(1);
constexpr int MaxFailedConnects = 3;
/// A host that has failed to connect this often relays the call.
constexpr int ConnectsBeforeRelay = 2;
/// The rule.
constexpr Duration StableWindow = seconds(3);
constexpr double LeastServedShare = 2.0 / 3;
constexpr double AllowedFailures = 10;
constexpr double AllowedFailureShare = 0.02;
/// A cut is noticed within this time, if there are calls that show it.
constexpr Duration NoticeTime = seconds(1);
constexpr int CallsThatShowACut = 8;
/// No call fails that begins within this time after the end of a cut.
constexpr Duration CheckedAfterCut = seconds(3);
/// Hosts that start together know each other after this time. Before, they
/// relay calls to the few that they know.
constexpr Duration DiscoveryTime = milliseconds(1500);
/// Relayed calls from which on their spread is checked.
constexpr int ManyRelayedCalls = 200;
constexpr double MostOfMeanLoad = 2;

} // namespace

UpstreamCutSimulation::UpstreamCutSimulation(const UpstreamCutPlan &plan)
    : Plan(plan), Random(plan.Seed), Now(Start) {
  const int engines = 2 * Plan.Hosts;
  const int desks = std::max(4, Plan.Hosts / 2);
  for (int n = 0; n < engines + desks; ++n) {
    ReplicaRecord record;
    record.Id = UpstreamId("u" + std::to_string(100 + n));
    record.OfService = n < engines ? Engines : Desks;
    record.InZone = ZoneId("z" + std::to_string(n % Plan.Zones));
    record.Address = record.Id.text();
    record.StartedMs = 1;
    Upstreams.push_back(record);
  }
  for (int n = 0; n < Plan.Hosts; ++n) {
    Host host;
    host.Member = simulatedMember(n, Plan.Zones);
    host.Member.CallerAddress = host.Member.Host.text();
    if (Plan.Measures.RelaysCalls)
      host.Member.RelayAddress = host.Member.Host.text();
    Registered.push_back(host.Member);
    Hosts.push_back(std::move(host));
  }
  for (Host &it : Hosts)
    startProcess(it);
  for (int n = 0; n < Plan.Hosts * CallersPerHost; ++n) {
    Caller caller;
    caller.TimeToLive = seconds(n % 3 == 0 ? 6 : 2);
    caller.FetchedAt = Now - fromSeconds(toSeconds(caller.TimeToLive) * draw());
    for (const Host &it : Hosts)
      caller.Addresses.push_back(it.Member.CallerAddress);
    Callers.push_back(std::move(caller));
  }
  planCuts();
}

double UpstreamCutSimulation::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

void UpstreamCutSimulation::violate(const std::string &what) {
  if (Violation.empty())
    Violation =
        what + " at " + std::to_string(toMilliseconds(Now - Start)) + " ms";
}

std::set<std::size_t> UpstreamCutSimulation::cutHosts(int number) {
  std::vector<std::size_t> all;
  for (std::size_t n = 0; n < Hosts.size(); ++n)
    all.push_back(n);
  std::shuffle(all.begin(), all.end(), Random);
  std::size_t count = all.size();
  if (Plan.Extent == CutExtent::ThirdOfHosts)
    count = all.size() / 3;
  if (Plan.Extent == CutExtent::OneService)
    count = all.size() / 2;
  if (Plan.Extent == CutExtent::AllButOne)
    count = all.size() - 1;
  if (Plan.Extent != CutExtent::Zone)
    return {all.begin(), all.begin() + static_cast<long>(count)};
  std::set<std::size_t> out;
  const ZoneId zone("z" + std::to_string(number % Plan.Zones));
  for (std::size_t n = 0; n < Hosts.size(); ++n)
    if (Hosts[n].Member.Zone == zone)
      out.insert(n);
  return out;
}

/// A long cut, a shorter one a while after it, and one that follows shortly.
void UpstreamCutSimulation::planCuts() {
  Instant at =
      Start + (Plan.BeginsAtStart ? Duration::zero() : fromSeconds(6 + draw()));
  const double lengths[] = {10 + 4 * draw(), 6 + 4 * draw(), 4 + 3 * draw()};
  const double gaps[] = {6 + 2 * draw(), 0.5 + draw(), 0};
  for (int n = 0; n < 3; ++n) {
    Cut cut;
    cut.From = at;
    cut.Until = at + fromSeconds(lengths[n]);
    cut.Hosts = cutHosts(n);
    if (Plan.Extent == CutExtent::OneService)
      cut.Service = n == 1 ? Engines : Desks;
    at = cut.Until + fromSeconds(gaps[n]);
    Cuts.push_back(std::move(cut));
  }
  End = at + CheckedAfterCut + Deadline;
}

void UpstreamCutSimulation::startProcess(Host &host) {
  host.Member.UnreachableServices.clear();
  host.startProcess(Registered, Random(), Now);
  host.Paths = UpstreamReachability();
  host.Relays = RelayPeers();
  host.Failures = DeferredFailures();
  host.Idle.clear();
  for (const ReplicaRecord &it : Upstreams)
    host.Replicas->note(it, Now);
}

/// Kills a host about once in four seconds.
void UpstreamCutSimulation::injectKill() {
  if (!Plan.HasKills || draw() > toSeconds(Tick) / 4)
    return;
  Host &host = Hosts[static_cast<std::size_t>(
      draw() * static_cast<double>(Hosts.size()))];
  host.IsDown = true;
  host.RestartAt = Now + fromSeconds(0.3 + 2 * draw());
}

const UpstreamCutSimulation::Cut *
UpstreamCutSimulation::cutOf(std::size_t host, const ServiceId &service,
                             Instant at) const {
  for (const Cut &it : Cuts)
    if (it.Hosts.count(host) != 0 && at >= it.From && at < it.Until &&
        (it.Service.empty() || it.Service == service))
      return &it;
  return nullptr;
}

bool UpstreamCutSimulation::isConnectable(std::size_t host,
                                          const ServiceId &service) const {
  return cutOf(host, service, Now) == nullptr;
}

/// Resets the open connections on paths that are cut now.
void UpstreamCutSimulation::resetConnections() {
  if (Plan.Manner != CutManner::Reset)
    return;
  for (std::size_t n = 0; n < Hosts.size(); ++n)
    for (const ReplicaRecord &it : Upstreams)
      if (cutOf(n, it.OfService, Now))
        Hosts[n].Idle.erase(it.Id);
  for (Call &it : Calls) {
    const bool isOpen =
        it.State == CallState::UnderWay || it.State == CallState::Answering;
    if (isOpen && !it.IsDone && cutOf(it.Worker, it.Service, Now))
      failSend(it);
  }
}

/// Updates what the host reports about itself; reports a change at once.
void UpstreamCutSimulation::updateMember(Host &host) {
  const std::set<ServiceId> unreachable = host.Paths.unreachable();
  if (unreachable == host.Member.UnreachableServices)
    return;
  for (const ServiceId &service : unreachable) {
    if (host.Member.UnreachableServices.count(service) != 0)
      continue;
    for (const ReplicaRecord &it : Upstreams)
      if (it.OfService == service)
        host.Idle.erase(it.Id);
    host.Failures.discard(service);
    host.Replicas->resetHealth(service);
  }
  host.Member.UnreachableServices = unreachable;
  sendReports(indexOfHost(Hosts, host.Member.Host));
}

void UpstreamCutSimulation::sendReports(std::size_t from) {
  Hosts[from].sendReports(
      Now, [&](const std::vector<HostId> &to, const FleetReport &report) {
        for (const HostId &it : to)
          InFlightMessages.push_back({Now + fromSeconds(0.001 + 0.03 * draw()),
                                      indexOfHost(Hosts, it), report});
      });
}

void UpstreamCutSimulation::deliver() {
  for (const SimulatedMessage &it :
       takeDueMessages(InFlightMessages, Hosts, Now))
    Hosts[it.To].receive(it.Report, Now);
}

void UpstreamCutSimulation::lookUp(Caller &caller) {
  const auto at =
      static_cast<std::size_t>(draw() * static_cast<double>(Hosts.size()));
  const Host &host = Hosts[at];
  if (host.IsDown)
    return;
  if (Plan.Measures.LeavesLookups) {
    caller.Addresses = lookUpAddresses(host.Member, *host.View, Now).Addresses;
    if (2 * caller.Addresses.size() < Hosts.size() && !Plan.HasKills &&
        Now > Start + StableWindow)
      violate("LED: callers to " + std::to_string(caller.Addresses.size()) +
              " hosts");
  } else {
    caller.Addresses.clear();
    for (const Host &it : Hosts)
      if (!it.IsDown)
        caller.Addresses.push_back(it.Member.CallerAddress);
  }
  caller.FetchedAt = Now;
  caller.Failed.clear();
}

std::optional<std::size_t> UpstreamCutSimulation::chooseHost(Caller &caller) {
  if (Now - caller.FetchedAt >= caller.TimeToLive)
    lookUp(caller);
  std::vector<std::size_t> usable;
  for (const std::string &it : caller.Addresses)
    if (caller.Failed.count(it) == 0)
      usable.push_back(indexOfHost(Hosts, HostId(it)));
  while (!usable.empty()) {
    const auto n =
        static_cast<std::size_t>(draw() * static_cast<double>(usable.size()));
    if (!Hosts[usable[n]].IsDown)
      return usable[n];
    caller.Failed.insert(Hosts[usable[n]].Member.CallerAddress);
    usable.erase(usable.begin() + static_cast<long>(n));
  }
  return std::nullopt;
}

void UpstreamCutSimulation::beginCalls() {
  const double wanted =
      CallsPerHost * static_cast<double>(Hosts.size()) * toSeconds(Tick);
  const auto n = static_cast<int>(wanted + draw());
  for (int i = 0; i < n; ++i) {
    Call call;
    call.BegunAt = Now;
    call.Caller =
        static_cast<std::size_t>(draw() * static_cast<double>(Callers.size()));
    call.Service = draw() < 0.75 ? Engines : Desks;
    begin(call);
  }
  Calls.insert(Calls.end(), Begun.begin(), Begun.end());
  Begun.clear();
}

void UpstreamCutSimulation::begin(Call call) {
  const auto host = chooseHost(Callers[call.Caller]);
  if (!host)
    return;
  call.Entry = *host;
  call.Worker = *host;
  call.EntryProcess = Hosts[*host].Incarnation;
  call.WorkerProcess = call.EntryProcess;
  for (Cut &it : Cuts)
    if (Now >= it.From && Now < it.Until &&
        (it.Service.empty() || it.Service == call.Service))
      ++it.Calls[*host];
  place(call);
  if (!call.IsDone)
    Begun.push_back(call);
}

void UpstreamCutSimulation::place(Call &call) {
  Host &worker = Hosts[call.Worker];
  const bool isRelayed = call.Worker != call.Entry;
  const bool isLost = worker.Paths.isUnreachable(call.Service);
  if (!isRelayed) {
    if ((isLost || call.FailedConnects >= ConnectsBeforeRelay) && relay(call))
      return;
    if (chooseUpstream(call))
      return;
    if (call.FailedConnects == 0 || !relay(call))
      finish(call, false);
    return;
  }
  if (!isLost && chooseUpstream(call))
    return;
  // The peer declines the call, which its host then places elsewhere.
  call.Worker = call.Entry;
  call.WorkerProcess = call.EntryProcess;
  place(call);
}

bool UpstreamCutSimulation::relay(Call &call) {
  Host &entry = Hosts[call.Entry];
  if (!Plan.Measures.RelaysCalls)
    return false;
  const auto peer = entry.Relays.choose(call.Service, *entry.View,
                                        call.TriedPeers, Random(), Now);
  if (!peer)
    return false;
  const Cut *cut = cutOf(call.Entry, call.Service, Now);
  // A host whose open connections go on reaches the upstreams.
  if (Plan.Extent == CutExtent::AllUpstreams &&
      Plan.Manner != CutManner::RefuseNew && cut &&
      Now - cut->From > 2 * NoticeTime)
    violate("RELAYED: a call although no host reaches the upstreams");
  entry.Relays.noteSent(peer->Host);
  call.TriedPeers.push_back(peer->Host);
  call.State = CallState::Relaying;
  call.Worker = indexOfHost(Hosts, peer->Host);
  call.WorkerProcess = Hosts[call.Worker].Incarnation;
  call.NextAt = Now + (Hosts[call.Worker].IsDown ? ConnectTimeout
                                                 : Duration(milliseconds(3)));
  return true;
}

void UpstreamCutSimulation::onRelayed(Call &call) {
  Host &entry = Hosts[call.Entry];
  const HostId peer = Hosts[call.Worker].Member.Host;
  if (Hosts[call.Worker].IsDown ||
      Hosts[call.Worker].Incarnation != call.WorkerProcess) {
    entry.Relays.noteEnded(peer, false, Now);
    call.Worker = call.Entry;
    call.WorkerProcess = call.EntryProcess;
    return place(call);
  }
  entry.Relays.noteEnded(peer, true, Now);
  ++RelayedCalls;
  for (Cut &it : Cuts)
    if (Now >= it.From && Now < it.Until && Now >= Start + DiscoveryTime)
      ++it.RelayedTo[call.Worker];
  call.FailedConnects = 0;
  call.Tried.clear();
  place(call);
}

bool UpstreamCutSimulation::chooseUpstream(Call &call) {
  Host &host = Hosts[call.Worker];
  ReplicaRequest request;
  request.ForService = call.Service;
  request.OwnZone = host.Member.Zone;
  request.Hosts = host.View->hostCount();
  request.Seed = Random();
  request.Tried = call.Tried;
  const auto chosen = host.Replicas->choose(request, Now);
  if (!chosen)
    return false;
  host.Replicas->noteSent(chosen->Id, {}, Now);
  call.Upstream = chosen->Id;
  call.Tried.push_back(chosen->Id);
  call.State = CallState::Connecting;
  call.WillFail = false;
  std::vector<Instant> &idle = host.Idle[chosen->Id];
  while (!idle.empty() && Now - idle.back() > KeepAliveTimeout)
    idle.pop_back();
  call.IsNewConnection = idle.empty();
  if (!idle.empty()) {
    // A connection that was open during a long silence may have been closed by
    // the other side.
    for (const Cut &it : Cuts)
      if (Plan.Manner == CutManner::Hang && idle.back() < it.From &&
          Now >= it.Until && it.Hosts.count(call.Worker) != 0 &&
          (it.Service.empty() || it.Service == call.Service))
        call.WillFail = draw() < 0.5;
    idle.pop_back();
    call.NextAt = Now;
    return true;
  }
  call.WillFail = !isConnectable(call.Worker, call.Service);
  const bool isTimeout = call.WillFail && Plan.Manner == CutManner::Hang;
  call.NextAt = Now + (isTimeout ? ConnectTimeout : Duration(milliseconds(3)));
  return true;
}

/// Records whether a connection could be opened.
void UpstreamCutSimulation::noteReachability(std::size_t host,
                                             const ServiceId &service,
                                             const UpstreamId &upstream,
                                             bool isConnected) {
  const auto n = std::count_if(
      Upstreams.begin(), Upstreams.end(),
      [&](const ReplicaRecord &it) { return it.OfService == service; });
  Hosts[host].Paths.noteConnect(service, upstream, isConnected,
                                static_cast<std::size_t>(n), Now);
  updateMember(Hosts[host]);
}

void UpstreamCutSimulation::onConnected(Call &call) {
  if (call.IsNewConnection) {
    const bool isConnected =
        !call.WillFail && isConnectable(call.Worker, call.Service);
    noteReachability(call.Worker, call.Service, call.Upstream, isConnected);
    if (!isConnected) {
      endSend(call, SendResult::Broken);
      if (++call.FailedConnects <= MaxFailedConnects ||
          call.Worker != call.Entry)
        return place(call);
      if (!relay(call))
        finish(call, false);
      return;
    }
  }
  send(call);
}

void UpstreamCutSimulation::send(Call &call) {
  call.State = CallState::UnderWay;
  call.SentAt = Now;
  call.NextAt = Now + milliseconds(2);
  call.IsWaiting = true;
  Hosts[call.Worker].Paths.noteSent(call.Service, Now);
}

/// The call reaches its upstream, unless its bytes are held up.
void UpstreamCutSimulation::onArrival(Call &call) {
  const Cut *cut = cutOf(call.Worker, call.Service, Now);
  const Instant limit =
      std::min(call.SentAt + UnacknowledgedLimit, call.BegunAt + Deadline);
  const bool isHeldUp = cut && Plan.Manner != CutManner::RefuseNew;
  if (call.WillFail || isHeldUp) {
    const Instant delivered =
        call.WillFail ? limit : cut->Until + milliseconds(200);
    call.WillFail = delivered >= limit;
    call.State = call.WillFail ? CallState::Answering : CallState::UnderWay;
    call.NextAt = std::min(delivered, limit);
    return;
  }
  if (++call.Runs > 1)
    violate("TWICE: a call ran more than once");
  call.State = CallState::Answering;
  call.NextAt = Now + fromSeconds(0.015 + 0.2 * draw());
}

void UpstreamCutSimulation::onResponse(Call &call) {
  if (call.WillFail)
    return failSend(call);
  const Cut *cut = cutOf(call.Worker, call.Service, Now);
  if (cut && Plan.Manner != CutManner::RefuseNew) {
    const Instant limit = call.BegunAt + Deadline;
    call.NextAt = std::min(cut->Until + milliseconds(200), limit);
    call.WillFail = call.NextAt >= limit;
    return;
  }
  Host &host = Hosts[call.Worker];
  host.Paths.noteReceived(call.Service, Now);
  host.Idle[call.Upstream].push_back(Now);
  endSend(call, SendResult::Answered);
  finish(call, true);
}

void UpstreamCutSimulation::failSend(Call &call) {
  Host &host = Hosts[call.Worker];
  endSend(call, SendResult::Broken);
  host.Paths.noteBroken(call.Service, Now);
  const bool isEvidence = !Plan.Measures.DefersFailures ||
                          !host.Paths.wasUnreachable(call.Service, call.SentAt);
  if (isEvidence)
    host.Failures.add(
        {call.Service, VersionId("v"), RouteId("r"), call.Upstream}, Now);
  finish(call, false);
}

void UpstreamCutSimulation::endSend(Call &call, SendResult result) {
  Host &host = Hosts[call.Worker];
  if (call.IsWaiting)
    host.Paths.noteWaitEnded(call.Service, call.SentAt);
  call.IsWaiting = false;
  const bool isOwnFault = result == SendResult::Broken &&
                          host.Paths.wasUnreachable(call.Service, call.BegunAt);
  host.Replicas->noteEnded(call.Upstream, {}, false,
                           isOwnFault ? SendResult::Inconclusive : result, Now);
}

void UpstreamCutSimulation::finish(Call &call, bool isServed) {
  call.IsDone = true;
  if (!isServed)
    Callers[call.Caller].Failed.insert(Hosts[call.Entry].Member.CallerAddress);
  for (Cut &it : Cuts) {
    if (!it.Service.empty() && it.Service != call.Service)
      continue;
    const bool isCutHost = it.Hosts.count(call.Entry) != 0;
    if (call.BegunAt >= it.From + StableWindow && call.BegunAt < it.Until) {
      ++(isCutHost ? it.Tries : it.OtherTries);
      if (isServed)
        ++(isCutHost ? it.Served : it.OtherServed);
      checkRule(it);
    }
    const bool isAfterCut = isCutHost && call.BegunAt >= it.Until &&
                            call.BegunAt < it.Until + CheckedAfterCut;
    if (!isServed && isAfterCut && !Plan.HasKills &&
        !cutOf(call.Entry, call.Service, call.BegunAt) &&
        !cutOf(call.Entry, call.Service, Now))
      violate("ENDED: a call failed at " +
              Hosts[call.Entry].Member.Host.text() + " after the end of a cut");
  }
}

void UpstreamCutSimulation::checkRule(const Cut &cut) {
  if (Plan.Extent == CutExtent::AllUpstreams)
    return;
  const int failed = cut.Tries - cut.Served;
  const int all = cut.Tries + cut.OtherTries;
  if (cut.OtherTries == 0 || cut.Tries == 0)
    return;
  const double share = static_cast<double>(cut.Served) / cut.Tries;
  const double others = static_cast<double>(cut.OtherServed) / cut.OtherTries;
  if (share < LeastServedShare * others &&
      failed > AllowedFailures + AllowedFailureShare * all)
    violate("RECOVER: cut hosts served " + std::to_string(cut.Served) + " of " +
            std::to_string(cut.Tries) + " first tries, the others " +
            std::to_string(cut.OtherServed) + " of " +
            std::to_string(cut.OtherTries));
}

void UpstreamCutSimulation::checkNoticed(const Cut &cut) {
  if (Plan.Manner == CutManner::RefuseNew || Plan.HasKills ||
      Now != cut.From + NoticeTime)
    return;
  for (const std::size_t it : cut.Hosts) {
    const auto calls = cut.Calls.find(it);
    if (calls == cut.Calls.end() || calls->second < CallsThatShowACut)
      continue;
    const ServiceId &service = cut.Service.empty() ? Engines : cut.Service;
    if (!Hosts[it].Paths.isUnreachable(service))
      violate("NOTICED: not by " + Hosts[it].Member.Host.text());
  }
}

void UpstreamCutSimulation::checkSpread(const Cut &cut) {
  const std::size_t others = Hosts.size() - cut.Hosts.size();
  if (Plan.HasKills || others < 2)
    return;
  int sum = 0;
  int most = 0;
  for (const auto &[host, n] : cut.RelayedTo) {
    sum += n;
    most = std::max(most, n);
  }
  if (sum >= ManyRelayedCalls &&
      most * static_cast<double>(others) > MostOfMeanLoad * sum)
    violate("SPREAD: one host got " + std::to_string(most) + " of " +
            std::to_string(sum) + " relayed calls");
}

void UpstreamCutSimulation::probe(std::size_t host) {
  for (const ServiceId &service : {Engines, Desks}) {
    std::map<UpstreamId, ZoneId> upstreams;
    for (const ReplicaRecord &it : Upstreams)
      if (it.OfService == service)
        upstreams[it.Id] = it.InZone;
    for (const UpstreamId &it :
         Hosts[host].Paths.takeProbes(service, upstreams, Now)) {
      Probe probe;
      probe.Host = host;
      probe.Process = Hosts[host].Incarnation;
      probe.Service = service;
      probe.Upstream = it;
      probe.IsConnected = isConnectable(host, service);
      const bool isTimeout =
          !probe.IsConnected && Plan.Manner == CutManner::Hang;
      probe.At = Now + (isTimeout ? ConnectTimeout : Duration(milliseconds(3)));
      Probes.push_back(std::move(probe));
    }
  }
}

void UpstreamCutSimulation::endProbes() {
  std::vector<Probe> due;
  std::vector<Probe> later;
  for (Probe &it : Probes)
    (Now >= it.At ? due : later).push_back(std::move(it));
  Probes = std::move(later);
  for (const Probe &it : due) {
    Host &host = Hosts[it.Host];
    if (host.IsDown || host.Incarnation != it.Process)
      continue;
    noteReachability(it.Host, it.Service, it.Upstream, it.IsConnected);
    if (it.IsConnected)
      host.Idle[it.Upstream].push_back(Now);
  }
}

/// Only cut hosts fail sends here, so none may count against a version.
void UpstreamCutSimulation::countFailures(std::size_t host) {
  if (Plan.Extent != CutExtent::AllUpstreams &&
      !Hosts[host].Failures.takeDue(Hosts[host].Paths, Now).empty())
    violate("JUDGED: a version, by failures of " +
            Hosts[host].Member.Host.text());
}

void UpstreamCutSimulation::advance(Call &call) {
  const auto isGone = [&](std::size_t host, const IncarnationId &process) {
    return Hosts[host].IsDown || Hosts[host].Incarnation != process;
  };
  if (call.IsDone)
    return;
  if (isGone(call.Entry, call.EntryProcess)) {
    call.IsDone = true;
    return;
  }
  if (call.State != CallState::Relaying && call.Worker != call.Entry &&
      isGone(call.Worker, call.WorkerProcess))
    return finish(call, false);
  if (Now < call.NextAt)
    return;
  switch (call.State) {
  case CallState::Relaying:
    return onRelayed(call);
  case CallState::Connecting:
    return onConnected(call);
  case CallState::UnderWay:
    return onArrival(call);
  case CallState::Answering:
    return onResponse(call);
  }
}

std::string UpstreamCutSimulation::simulate() {
  for (; Now < End && (Violation.empty() || Plan.GoesOnAfterViolation);
       Now += Tick) {
    injectKill();
    for (Host &it : Hosts)
      if (it.IsDown && Now >= it.RestartAt)
        startProcess(it);
    deliver();
    resetConnections();
    endProbes();
    for (Call &it : Calls)
      advance(it);
    Calls.erase(std::remove_if(Calls.begin(), Calls.end(),
                               [](const Call &it) { return it.IsDone; }),
                Calls.end());
    beginCalls();
    for (std::size_t n = 0; n < Hosts.size(); ++n) {
      if (Hosts[n].IsDown)
        continue;
      // Hosts report at different times.
      const Duration phase = Tick * ((n * 7) % (ReportEvery / Tick));
      if ((Now - Start + phase) % ProbeEvery == Duration::zero())
        probe(n);
      if ((Now - Start + phase) % ReportEvery == Duration::zero())
        sendReports(n);
      countFailures(n);
    }
    for (const Cut &it : Cuts) {
      checkNoticed(it);
      if (Now >= it.Until && Now < it.Until + Tick)
        checkSpread(it);
    }
  }
  for (const Cut &it : Cuts) {
    FailedTries += it.Tries - it.Served;
    CountedTries += it.Tries;
  }
  return Violation;
}

} // namespace sorrelbay
