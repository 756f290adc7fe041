#include "PromptCrashSimulation.h"
#include <algorithm>

namespace sorrelbay {

namespace {

constexpr Duration Tick = milliseconds(10);
constexpr Duration ReportEvery = milliseconds(250);
constexpr Duration PassOnInterval = milliseconds(20);
const ServiceId EngineService("engines");
const std::string FirstFatal = "f1";
const std::string SecondFatal = "f2";
const std::string Victim = "victim";
/// Calls a second for each host, and of the victim over all.
constexpr double CallsPerHost = 8;
constexpr double VictimCalls = 0.5;
constexpr int Subjects = 60;
constexpr double HotShare = 0.6;
constexpr double HotShareInSeries = 0.95;
/// An answer is past its begin after this time.
constexpr Duration BeginTime = milliseconds(60);
constexpr Duration ConnectTimeout = milliseconds(250);
constexpr Duration SilenceLimit = milliseconds(500);
/// After so long callers give up a stream that is silent.
constexpr Duration SilentTime = seconds(2);
constexpr Duration RunTime = seconds(30);
constexpr Duration FatalFrom = seconds(4);
/// Of reports, those that are late and those that are lost.
constexpr double LateShare = 0.08;
constexpr double LostShare = 0.1;
/// The rule.
constexpr std::size_t CrashesUntilBound = 5;
constexpr Duration NoticeTime = seconds(3);
constexpr int AllowedSends = 3;
constexpr std::size_t CallCrashesUntilBound = 3;
constexpr double AllowedRejections = 0.05;
/// A caller sends a call again for this time.
constexpr Duration Patience = seconds(10);
/// An engine crashes after so long for other reasons, under long calls.
constexpr Duration LifeBetweenCrashes = seconds(12);

std::string fingerprintOf(std::uint64_t call) {
  return CallSuspectPrefix + std::to_string(call);
}

} // namespace

PromptCrashSimulation::PromptCrashSimulation(const PromptCrashPlan &plan)
    : Plan(plan), Random(plan.Seed), Now(Start), End(Start + RunTime) {
  const int engines = std::max(4, 2 * Plan.Hosts);
  for (int n = 0; n < engines; ++n) {
    Engine engine;
    engine.Record.Id = UpstreamId("e" + std::to_string(100 + n));
    engine.Record.OfService = EngineService;
    engine.Record.InZone = ZoneId("z" + std::to_string(n % Plan.Zones));
    engine.Record.StartedMs = 1;
    Engines.push_back(engine);
  }
  for (int n = 0; n < Plan.Hosts; ++n) {
    Host host;
    host.Member = simulatedMember(n, Plan.Zones);
    Registered.push_back(host.Member);
    Hosts.push_back(std::move(host));
  }
  for (std::size_t n = 0; n < Hosts.size(); ++n)
    startProcess(n);
  const bool isOfParts = Plan.Fatal != FatalTraffic::None &&
                         Plan.Fatal != FatalTraffic::OneCall &&
                         Plan.Fatal != FatalTraffic::TwoCalls;
  if (isOfParts)
    Fatal.insert(FirstFatal);
  if (Plan.Fatal == FatalTraffic::TwoParts)
    Fatal.insert(SecondFatal);
  FatalRate = 0.5 + 4 * draw();
  QueueTime = 0.05 + draw();
}

double PromptCrashSimulation::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

std::size_t PromptCrashSimulation::drawIndex(std::size_t size) {
  return static_cast<std::size_t>(draw() * static_cast<double>(size));
}

void PromptCrashSimulation::violate(const std::string &what) {
  if (Violation.empty())
    Violation =
        what + " at " + std::to_string(toMilliseconds(Now - Start)) + " ms";
}

void PromptCrashSimulation::startProcess(std::size_t host) {
  Host &it = Hosts[host];
  it.startProcess(Registered, Random(), Now);
  it.Quarantine->setUpstreams(EngineService, enginesUp());
  it.HasReadStore = false;
  it.InTouchFrom = Now + NoticeTime;
}

std::size_t PromptCrashSimulation::enginesUp() const {
  return static_cast<std::size_t>(
      std::count_if(Engines.begin(), Engines.end(),
                    [](const Engine &it) { return it.IsUp; }));
}

void PromptCrashSimulation::kill(std::size_t host, Duration downTime) {
  for (auto &[call, crashes] : CrashedUnderCall)
    for (CallCrash &it : crashes)
      if (it.Process == Hosts[host].Incarnation && it.LostAt == Instant{})
        it.LostAt = Now;
  Hosts[host].IsDown = true;
  Hosts[host].RestartAt = Now + downTime;
}

void PromptCrashSimulation::trouble() {
  for (std::size_t n = 0; n < Hosts.size(); ++n) {
    Host &it = Hosts[n];
    if (it.IsDown && Now >= it.RestartAt)
      startProcess(n);
    // A new process serves once it has read the quarantines.
    if (!it.IsDown && !it.HasReadStore && Now >= StoreAwayUntil && !isCut(n)) {
      it.Quarantine->merge(Stored, Now);
      it.HasReadStore = true;
    }
  }
  if (Plan.Trouble == HostTrouble::Kills && draw() < toSeconds(Tick) / 3)
    kill(drawIndex(Hosts.size()), fromSeconds(0.3 + 2 * draw()));
  if (Plan.Trouble == HostTrouble::Freezes && draw() < toSeconds(Tick)) {
    Host &it = Hosts[drawIndex(Hosts.size())];
    it.FrozenUntil = Now + fromSeconds(1 + 4 * draw());
    it.InTouchFrom = it.FrozenUntil + NoticeTime;
  }
  if (FirstCrashAt == Instant{} || PlannedTroubles.empty() ||
      Now < PlannedTroubles.front())
    return;
  PlannedTroubles.erase(PlannedTroubles.begin());
  if (Plan.Trouble == HostTrouble::AllKilled)
    for (std::size_t n = 0; n < Hosts.size(); ++n)
      kill(n, fromSeconds(0.3 + draw()));
  if (Plan.Trouble == HostTrouble::StoreAway)
    StoreAwayUntil = Now + seconds(10);
  if (Plan.Trouble == HostTrouble::Cuts)
    for (std::size_t n = 0; n < Hosts.size(); n += 3) {
      Hosts[n].CutUntil = Now + seconds(6);
      Hosts[n].InTouchFrom = Hosts[n].CutUntil + NoticeTime;
    }
}

/// The host that watches the store writes what it lacks.
void PromptCrashSimulation::writeStore() {
  if (Now < StoreAwayUntil)
    return;
  for (std::size_t n = 0; n < Hosts.size(); ++n) {
    Host &it = Hosts[n];
    if (it.IsDown || isCut(n) || !it.HasReadStore ||
        !it.View->isFleetLeader(it.Member, Now))
      continue;
    const CrashKnowledge known = it.Quarantine->durableKnowledge();
    Stored.Crashes = known.Crashes;
    for (const auto &[key, mark] : known.Quarantines) {
      QuarantineMark &stored = Stored.Quarantines[key];
      stored.DeclaredAt = std::max(stored.DeclaredAt, mark.DeclaredAt);
      stored.ReleasedAt = std::max(stored.ReleasedAt, mark.ReleasedAt);
      stored.Crashes = std::max(stored.Crashes, mark.Crashes);
    }
  }
}

void PromptCrashSimulation::sendReports(std::size_t from) {
  Hosts[from].sendReports(Now, [&](const std::vector<HostId> &to,
                                   const FleetReport &report) {
    for (const HostId &it : to) {
      const std::size_t host = indexOfHost(Hosts, it);
      if (draw() < LostShare || isCut(from) != isCut(host) || isCut(from))
        continue;
      const double delay = draw() < LateShare ? 1.5 * draw() : 0.03 * draw();
      InFlightMessages.push_back(
          {Now + fromSeconds(0.001 + delay), host, report});
    }
  });
}

void PromptCrashSimulation::deliver() {
  for (const SimulatedMessage &it :
       takeDueMessages(InFlightMessages, Hosts, Now))
    if (!isCut(it.To))
      receive(it);
}

/// An aggregator passes on what is new about crashes at once.
void PromptCrashSimulation::receive(const SimulatedMessage &message) {
  Host &host = Hosts[message.To];
  const std::uint64_t known = host.Quarantine ? host.Quarantine->revision() : 0;
  host.receive(message.Report, Now);
  const bool isPassedOn = Plan.CallersReturn && !host.IsDown &&
                          host.Quarantine->revision() != known &&
                          host.View->isAggregatedByZone() &&
                          host.View->aggregates(host.Member, Now);
  if (isPassedOn && Now - host.PassedOnAt >= PassOnInterval) {
    host.PassedOnAt = Now;
    sendReports(message.To);
  }
}

PromptCrashSimulation::Call PromptCrashSimulation::drawCall() {
  Call call;
  call.Id = ++LastCallId;
  call.Host = drawIndex(Hosts.size());
  const double hotShare =
      Plan.Other == OtherCrashes::Series ? HotShareInSeries : HotShare;
  call.Prompt.push_back({draw() < hotShare ? "hot" : "warm", 1000});
  // Some subjects are asked for often, most rarely.
  const auto subject = static_cast<int>(Subjects * draw() * draw() * draw());
  call.Prompt.push_back({"s" + std::to_string(subject), 200});
  call.Prompt.push_back({"own" + std::to_string(call.Id), 100});
  return call;
}

/// The fatal and the long calls begin once; then their callers come back.
void PromptCrashSimulation::beginFatalCalls() {
  int n = Plan.Fatal == FatalTraffic::OneCall ? 1 : 0;
  n = Plan.Fatal == FatalTraffic::TwoCalls ? 2 : n;
  for (; n > 0; --n) {
    Call call = drawCall();
    call.IsSound = false;
    call.IsPersistent = true;
    beginCall(std::move(call));
  }
}

void PromptCrashSimulation::beginLongCalls() {
  for (int n = 0; n < Plan.LongCalls; ++n) {
    Call call = drawCall();
    call.IsPersistent = true;
    LongCallIds.insert(call.Id);
    beginCall(std::move(call));
  }
}

void PromptCrashSimulation::beginCall(Call call) {
  call.Process = Hosts[call.Host].Incarnation;
  place(call);
  if (!call.IsDone)
    Calls.push_back(std::move(call));
  else if (call.IsPersistent)
    returnLater(call, Now);
}

/// The call's caller sends it again, to another host.
void PromptCrashSimulation::returnLater(const Call &call, Instant crashedAt) {
  const bool isComingBack =
      call.IsPersistent ||
      (Plan.CallersReturn && crashedAt - call.FirstSentAt < Patience);
  if (!isComingBack)
    return;
  Call next = call;
  next.IsDone = false;
  next.IsPastBegin = false;
  next.Host =
      Hosts.size() == 1
          ? 0
          : (call.Host + 1 + drawIndex(Hosts.size() - 1)) % Hosts.size();
  const double pause =
      Plan.Manner.IsPausing ? 0.3 + draw() : 0.004 + 0.01 * draw();
  Returning.emplace_back(crashedAt + fromSeconds(pause), std::move(next));
}

void PromptCrashSimulation::comeBack() {
  std::vector<std::pair<Instant, Call>> due;
  std::vector<std::pair<Instant, Call>> later;
  for (auto &it : Returning)
    (it.first <= Now ? due : later).push_back(std::move(it));
  Returning = std::move(later);
  for (auto &[at, call] : due) {
    if (call.IsSound)
      ComingBack.insert(call.Id);
    if (call.IsSound && isRejected(call))
      RejectedComingBack.insert(call.Id);
    beginCall(std::move(call));
  }
}

void PromptCrashSimulation::beginCalls() {
  std::vector<Call> begun;
  const double sound =
      CallsPerHost * static_cast<double>(Hosts.size()) * toSeconds(Tick);
  for (auto n = static_cast<int>(sound + draw()); n > 0; --n)
    begun.push_back(drawCall());
  if (Now == Start + FatalFrom)
    beginFatalCalls();
  if (Now == Start + FatalFrom)
    beginLongCalls();
  if (Plan.Fatal == FatalTraffic::WithVictimsPart &&
      draw() < VictimCalls * toSeconds(Tick)) {
    Call call = drawCall();
    call.Prompt[1].Id = Victim;
    begun.push_back(std::move(call));
  }
  if (!Fatal.empty() && Now >= Start + FatalFrom &&
      draw() < FatalRate * toSeconds(Tick)) {
    Call call = drawCall();
    call.IsSound = false;
    // Each is sent to another host, so that each crash is seen by another.
    call.Host = LastCallId % Hosts.size();
    const bool isSecond = Plan.Fatal == FatalTraffic::TwoParts && draw() < 0.5;
    const std::string &part = isSecond ? SecondFatal : FirstFatal;
    const bool isFirst = draw() < 0.5;
    if (Plan.Fatal == FatalTraffic::WithVictimsPart)
      call.Prompt[1].Id = Victim;
    call.Prompt.insert(call.Prompt.begin() + (isFirst ? 0 : 1), {part, 300});
    begun.push_back(std::move(call));
  }
  for (Call &it : begun)
    beginCall(std::move(it));
}

bool PromptCrashSimulation::isRejected(const Call &call) const {
  ServingCall sent;
  sent.Prompt = call.Prompt;
  sent.Fingerprint = fingerprintOf(call.Id);
  const Host &host = Hosts[call.Host];
  return !Plan.IsUnguarded && host.Quarantine &&
         host.Quarantine->matchingCall(EngineService, sent) != nullptr;
}

void PromptCrashSimulation::place(Call &call) {
  call.IsDone = true;
  Host &host = Hosts[call.Host];
  if (!host.isResponsive(Now) || !host.HasReadStore ||
      host.Incarnation != call.Process)
    return;
  const bool isRejectedHere = isRejected(call);
  if (call.IsSound && call.Sends == 0 && FirstCrashAt != Instant{}) {
    ++SoundCalls;
    RejectedSoundCalls += isRejectedHere ? 1 : 0;
  }
  if (isRejectedHere)
    return;
  std::vector<std::size_t> up;
  for (std::size_t n = 0; n < Engines.size(); ++n)
    if (Engines[n].IsUp)
      up.push_back(n);
  if (up.empty())
    return;
  call.IsDone = false;
  call.Engine = up[drawIndex(up.size())];
  call.SentAt = Now;
  call.BeginsAt = Now + fromSeconds(0.02 + QueueTime * draw());
  call.EndsAt = call.BeginsAt + fromSeconds(0.1 + 1.4 * draw());
  if (LongCallIds.count(call.Id) != 0)
    call.EndsAt = call.BeginsAt + fromSeconds(5 + 5 * draw());
  if (!call.IsSound && Plan.Manner.IsAfterEvents)
    call.BeginsAt = call.EndsAt;
  if (call.Sends == 0)
    call.FirstSentAt = Now;
  ++call.Sends;
  if (!call.IsSound)
    checkRule(call);
}

/// From when on hosts in touch can know of the crash; empty if all who knew
/// were killed before they had reported it.
std::optional<Instant>
PromptCrashSimulation::knownFrom(const CallCrash &crash) const {
  const Host &observer = Hosts[crash.Host];
  const Instant reported =
      std::max(crash.At, observer.InTouchFrom - NoticeTime);
  if (crash.LostAt == Instant{})
    return reported;
  const bool hasSurvivor =
      std::any_of(Hosts.begin(), Hosts.end(), [&](const Host &it) {
        return !it.IsDown && it.ProcessStartedAt <= crash.At;
      });
  if (!hasSurvivor || crash.LostAt - crash.At < NoticeTime)
    return std::nullopt;
  return crash.At;
}

/// No host sends a call on under which three engines have ended.
void PromptCrashSimulation::checkCallRule(const Call &call) {
  std::vector<Instant> known;
  for (const CallCrash &it : CrashedUnderCall[call.Id])
    if (const auto from = knownFrom(it))
      known.push_back(*from);
  std::sort(known.begin(), known.end());
  if (known.size() < CallCrashesUntilBound ||
      Now <= known[CallCrashesUntilBound - 1] + NoticeTime)
    return;
  violate("BUDGET: a call is sent on, " + std::to_string(known.size()) +
          " engines ended under it");
}

std::size_t PromptCrashSimulation::crashesOfCall() const {
  std::size_t most = 0;
  for (const auto &[call, crashes] : CrashedUnderCall)
    most = std::max(most, crashes.size());
  return most;
}

int PromptCrashSimulation::rejectedLongCalls() const {
  return static_cast<int>(std::count_if(
      LongCallIds.begin(), LongCallIds.end(),
      [&](std::uint64_t it) { return RejectedComingBack.count(it) != 0; }));
}

/// Sound calls that lost an engine are hardly ever rejected.
void PromptCrashSimulation::checkComingBack() {
  if (static_cast<double>(RejectedComingBack.size()) >
      AllowedRejections * static_cast<double>(ComingBack.size()) + 2)
    violate("LOST: " + std::to_string(RejectedComingBack.size()) + " of " +
            std::to_string(ComingBack.size()) +
            " sound calls that came back were rejected");
}

void PromptCrashSimulation::checkRule(const Call &call) {
  ++FatalSends;
  const Host &host = Hosts[call.Host];
  if (Now < host.InTouchFrom)
    return;
  if (call.IsPersistent)
    return checkCallRule(call);
  for (const PromptPart &it : call.Prompt) {
    const auto crashes = CrashedUnder.find(it.Id);
    if (crashes == CrashedUnder.end() ||
        crashes->second.size() < CrashesUntilBound ||
        Now <= crashes->second[CrashesUntilBound - 1] + NoticeTime)
      continue;
    if (++LateSends[it.Id] > AllowedSends)
      violate("BUDGET: calls with " + it.Id + " are sent on, " +
              std::to_string(crashes->second.size()) + " engines ended");
  }
}

void PromptCrashSimulation::advanceCalls() {
  for (std::size_t n = 0; n < Calls.size(); ++n) {
    Call &it = Calls[n];
    if (it.IsDone)
      continue;
    Host &host = Hosts[it.Host];
    if (host.IsDown || host.Incarnation != it.Process) {
      it.IsDone = true;
      if (it.IsPersistent)
        returnLater(it, Now);
      continue;
    }
    if (!it.IsSound && Now >= it.BeginsAt) {
      for (const PromptPart &part : it.Prompt)
        if (Fatal.count(part.Id) != 0)
          CrashedUnder[part.Id].push_back(Now);
      if (it.IsPersistent)
        CrashedUnderCall[it.Id].push_back({Now, it.Host, it.Process, {}});
      it.IsPastBegin = Plan.Manner.IsAfterEvents;
      crash(it.Engine);
      continue;
    }
    if (it.IsSound && !it.IsPastBegin && Now >= it.BeginsAt + BeginTime) {
      it.IsPastBegin = true;
      host.Quarantine->noteSurvived(EngineService, it.Prompt, Now);
    }
    it.IsDone = Now >= it.EndsAt;
    if (it.IsDone)
      host.Quarantine->noteAnswered(EngineService, fingerprintOf(it.Id), Now);
  }
  Calls.erase(std::remove_if(Calls.begin(), Calls.end(),
                             [](const Call &it) { return it.IsDone; }),
              Calls.end());
}

/// Ends the engine and the calls that it runs. Each host sees the crash by its
/// own calls.
void PromptCrashSimulation::crash(std::size_t engine) {
  Engine &crashed = Engines[engine];
  if (!crashed.IsUp)
    return;
  ++CrashCount;
  crashed.IsUp = false;
  crashed.UpAt = Now + fromSeconds(2 + 3 * draw());
  if (FirstCrashAt == Instant{}) {
    FirstCrashAt = Now;
    PlannedTroubles = {Now + fromSeconds(6 * draw()),
                       Now + fromSeconds(8 + 6 * draw())};
  }
  std::map<std::size_t, Sighting> byHost;
  for (Call &it : Calls) {
    if (it.IsDone || it.Engine != engine)
      continue;
    it.IsDone = true;
    Sighting &sighting = byHost[it.Host];
    sighting.Host = it.Host;
    sighting.Process = it.Process;
    sighting.Crash.Suspects[fingerprintOf(it.Id)] = {it.SentAt, it.Id};
    if (!Plan.RetriesCalls || it.Sends >= 2 || it.IsPastBegin)
      returnLater(it, Now + (Plan.IsSilent ? SilentTime : Duration{}));
    if (it.IsPastBegin)
      continue;
    for (const std::string &part : sharedParts(it.Prompt)) {
      SuspectSend &suspect = sighting.Crash.Suspects[part];
      if (suspect.SentAt <= it.SentAt)
        suspect = {it.SentAt, it.Id};
    }
    if (Plan.RetriesCalls && it.Sends < 2)
      sighting.Retries.push_back(it);
  }
  for (auto &[host, sighting] : byHost) {
    sighting.Crash.Upstream = crashed.Record.Id;
    sighting.Crash.StartedMs = crashed.Record.StartedMs;
    sighting.Crash.Service = EngineService;
    sighting.Crash.At = Now;
    sighting.At = Now + fromSeconds(0.002 + 0.01 * draw());
    if (Plan.IsSilent)
      sighting.At += SilenceLimit + ConnectTimeout + fromSeconds(0.25 * draw());
    Sightings.push_back(std::move(sighting));
  }
}

/// Hosts learn of the crashes.
void PromptCrashSimulation::see() {
  std::vector<Sighting> due;
  std::vector<Sighting> later;
  for (Sighting &it : Sightings)
    (it.At <= Now && Now >= Hosts[it.Host].FrozenUntil ? due : later)
        .push_back(std::move(it));
  Sightings = std::move(later);
  for (Sighting &it : due) {
    Host &host = Hosts[it.Host];
    if (host.IsDown || host.Incarnation != it.Process)
      continue;
    host.Quarantine->noteCrash(it.Crash, Now);
    sendReports(it.Host);
    for (Call &call : it.Retries) {
      place(call);
      if (!call.IsDone)
        Calls.push_back(call);
    }
  }
}

void PromptCrashSimulation::injectCrashes() {
  const Duration since = Now - Start;
  if (Plan.Other == OtherCrashes::ZoneAtOnce)
    for (const Duration at : {seconds(6), seconds(14)})
      for (std::size_t n = 0; n < Engines.size(); ++n)
        if (Engines[n].Record.InZone == ZoneId("z0") &&
            since == at + Tick * (n % 20))
          crash(n);
  const double perSecond =
      Plan.LongCalls == 0 ? 1
                          : std::min(1.0, static_cast<double>(Engines.size()) /
                                              toSeconds(LifeBetweenCrashes));
  if (Plan.Other == OtherCrashes::Series && since > seconds(5) &&
      draw() < perSecond * toSeconds(Tick))
    crash(drawIndex(Engines.size()));
}

void PromptCrashSimulation::restartEngines() {
  for (Engine &it : Engines)
    if (!it.IsUp && Now >= it.UpAt) {
      it.IsUp = true;
      ++it.Record.StartedMs;
    }
}

/// No sound part is quarantined, and hardly a sound call was rejected.
void PromptCrashSimulation::checkParts() {
  for (const Host &host : Hosts) {
    if (host.IsDown)
      continue;
    for (const auto &[key, mark] : host.Quarantine->quarantines()) {
      const bool hasFatal =
          std::any_of(key.Parts.begin(), key.Parts.end(),
                      [&](const auto &it) { return Fatal.count(it) != 0; });
      if (mark.isInForce() && !hasFatal && !isCallSuspect(key.Parts.front()))
        violate("SOUND: " + key.Parts.front() + " is quarantined");
    }
  }
  if (RejectedSoundCalls > AllowedRejections * SoundCalls + 2)
    violate("LOST: " + std::to_string(RejectedSoundCalls) + " of " +
            std::to_string(SoundCalls) + " sound calls were rejected");
}

std::string PromptCrashSimulation::simulate() {
  for (; Now < End && Violation.empty(); Now += Tick) {
    trouble();
    restartEngines();
    comeBack();
    deliver();
    injectCrashes();
    see();
    beginCalls();
    advanceCalls();
    for (std::size_t n = 0; n < Hosts.size(); ++n) {
      const Duration phase = Tick * (n * 7 % 25);
      if (!Hosts[n].isResponsive(Now) ||
          (Now - Start + phase) % ReportEvery != Duration{})
        continue;
      Hosts[n].Quarantine->setUpstreams(EngineService, enginesUp());
      Hosts[n].Quarantine->tick(Now);
      sendReports(n);
    }
    if ((Now - Start) % ReportEvery == Duration{})
      writeStore();
  }
  checkParts();
  checkComingBack();
  return Violation;
}

} // namespace sorrelbay
