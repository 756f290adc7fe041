#include "CanaryModel.h"
#include "LibDecision/PeerFreshness.h"
#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <utility>

namespace sorrelbay {

namespace {

const VersionId NewVersion("new");
const VersionId OldVersion("old");
const Instant Start = Instant(hours(24));
constexpr Duration UsualLatency = milliseconds(200);
constexpr Duration LateLatency = milliseconds(900);
constexpr unsigned TicksToTellAll = 10;
constexpr Duration AfterVeto = seconds(30);
// Load is measured over this span.
constexpr Duration LoadWindow = seconds(5);
// An overloaded replica for a fault that shows only under load.
constexpr double NearNormalLoad = 0.6;

/// One daemon of the model.
struct Daemon {
  EvidenceSource Self;
  RolloutKnowledge Knowledge;
  std::unique_ptr<Rollout> Part;
  PeerFreshness Freshness;
  unsigned Lives = 0;
  unsigned Ticks = 0;
  bool IsPaused = false;
  std::vector<std::function<void()>> Waiting;
  /// What it last told the others; empty once that is out of date.
  std::shared_ptr<const RolloutKnowledge> Said;
};

struct Event {
  Instant At;
  std::uint64_t Order;
  std::function<void()> Do;
};

bool operator<(const Event &a, const Event &b) {
  return std::tie(a.At, a.Order) > std::tie(b.At, b.Order);
}

/// Draws what becomes of a call, for the model and the baselines alike.
class Upstreams {
public:
  Upstreams(const CanaryScenario &scenario, std::mt19937_64 &random)
      : Scenario(scenario), Random(random) {
    for (std::size_t n = 0; n < scenario.Replicas; ++n)
      Replicas.emplace_back("127.0.0.1:" + std::to_string(n));
  }

  double draw() { return std::uniform_real_distribution<>()(Random); }

  const ModelRoute &drawRoute() {
    double rest = draw();
    for (const ModelRoute &it : Scenario.Routes) {
      rest -= it.Part;
      if (rest < 0)
        return it;
    }
    return Scenario.Routes.back();
  }

  bool faultIsOn(const ModelRoute &route, Instant now) const {
    const CanaryFault &fault = Scenario.Fault;
    if (fault.isNone() || passed(now) < fault.From)
      return false;
    return fault.OnRoute.empty() || fault.OnRoute == route.Id;
  }

  double passed(Instant now) const {
    return toSeconds(now - Start) / toSeconds(Scenario.Deadline);
  }

  /// The outcome of a call to the new version, sent to one of so many replicas.
  UpstreamOutcome callNew(const ModelRoute &route, Instant now,
                          std::size_t replicas, bool &isHarmed) {
    const bool isLoaded = load(replicas, now);
    const CanaryFault &fault = Scenario.Fault;
    const bool shows =
        faultIsOn(route, now) && (!fault.OnlyUnderLoad || isLoaded);
    if (!shows)
      return callOld(now);
    isHarmed = true;
    const double chance = draw();
    if (chance < fault.FailureRate)
      return UpstreamOutcome::Failed;
    if (chance < fault.FailureRate + fault.LateRate)
      return UpstreamOutcome::Late;
    isHarmed = false;
    return callOld(now);
  }

  UpstreamOutcome callOld(Instant now) {
    const double part = passed(now);
    const bool isSlow = part >= Scenario.SlowFrom && part < Scenario.SlowUntil;
    const double late = isSlow ? Scenario.SlowLateness : Scenario.UsualLateness;
    const double chance = draw();
    if (chance < Scenario.UsualFailures)
      return UpstreamOutcome::Failed;
    return chance < Scenario.UsualFailures + late ? UpstreamOutcome::Late
                                                  : UpstreamOutcome::Good;
  }

  const std::vector<UpstreamId> &replicas() const { return Replicas; }

private:
  const CanaryScenario &Scenario;
  std::mt19937_64 &Random;
  std::vector<UpstreamId> Replicas;
  std::deque<Instant> Sent;

  /// Whether the new version's calls, spread evenly over so many replicas,
  /// bring each near its normal load.
  bool load(std::size_t replicas, Instant now) {
    Sent.push_back(now);
    while (Sent.front() + LoadWindow < now)
      Sent.pop_front();
    const double normal = Scenario.CallsPerSecond * toSeconds(LoadWindow) /
                          static_cast<double>(Scenario.Replicas);
    const double each =
        static_cast<double>(Sent.size()) / static_cast<double>(replicas);
    return each >= NearNormalLoad * normal;
  }
};

RolloutPlan planOf(const CanaryScenario &scenario) {
  RolloutPlan plan;
  plan.New = NewVersion;
  plan.Old = OldVersion;
  plan.Policy = scenario.Policy;
  plan.Deadline = Start + scenario.Deadline;
  plan.ReplicaShare = 1.0 / static_cast<double>(scenario.Replicas);
  for (const ModelRoute &it : scenario.Routes)
    plan.Routes.push_back(
        {it.Id, ServiceId("service"), it.Repeatable, 0, {}, {}});
  return plan;
}

/// One move with the product's decisions in every daemon.
class MoveRun {
public:
  MoveRun(const CanaryScenario &scenario, std::uint64_t seed,
          const CanaryVariant &variant, const RolloutSettings &settings)
      : Scenario(scenario), Variant(variant), Settings(settings), Random(seed),
        Calls(scenario, Random), Plan(planOf(scenario)),
        AllSeeing(NewVersion, OldVersion, idsOf(Plan), settings.Judge),
        Daemons(scenario.Hosts) {
    if (!variant.JudgesPerRoute) {
      Plan.Routes.resize(1);
      Plan.Routes.front().Id = RouteId("any");
    }
  }

  MoveResult run() {
    for (std::size_t n = 0; n < Daemons.size(); ++n) {
      startDaemon(n);
      tick(n);
    }
    nextCall();
    if (Scenario.Restarts > 0 || Scenario.Pauses > 0)
      nextTrouble();
    const Instant end = Start + Scenario.Deadline + Scenario.After;
    while (!Events.empty() && Events.top().At <= end && !isOver()) {
      const Event event = Events.top();
      Events.pop();
      Now = event.At;
      event.Do();
    }
    for (const Daemon &it : Daemons)
      finish(it);
    if (EvidenceAt)
      Result.LastAfterEvidence = std::max(Duration{}, LastSent - *EvidenceAt);
    if (VetoAt)
      Result.LastAfterVeto = std::max(Duration{}, LastSent - *VetoAt);
    return Result;
  }

private:
  const CanaryScenario &Scenario;
  CanaryVariant Variant;
  RolloutSettings Settings;
  std::mt19937_64 Random;
  Upstreams Calls;
  RolloutPlan Plan;
  CanaryJudge AllSeeing;
  EvidencePool AllEvidence;
  std::vector<Daemon> Daemons;
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  Instant Now = Start;
  // When each daemon counted its calls, in order.
  std::map<EvidenceSource, std::vector<Instant>> Counted;
  std::optional<Instant> EvidenceAt;
  Instant LastSent = Start;
  bool IsSeen = false;
  std::optional<Instant> VetoAt;
  bool IsFullInTime = false;
  MoveResult Result;

  bool isOver() const {
    return Scenario.EndsWhenRolledBack && VetoAt && Now > *VetoAt + AfterVeto;
  }

  static std::vector<RouteId> idsOf(const RolloutPlan &plan) {
    std::vector<RouteId> out;
    for (const Route &it : plan.Routes)
      out.push_back(it.Id);
    return out;
  }

  void at(Instant when, std::function<void()> what) {
    Events.push({when, Order++, std::move(what)});
  }

  /// Does it now, or when the daemon goes on, if it is paused; never, if the
  /// daemon was restarted meanwhile.
  void onDaemon(std::size_t n, unsigned life, std::function<void()> what) {
    Daemon &daemon = Daemons[n];
    if (daemon.Lives != life)
      return;
    if (daemon.IsPaused)
      daemon.Waiting.push_back(std::move(what));
    else
      what();
  }

  void startDaemon(std::size_t n) {
    Daemon &daemon = Daemons[n];
    ++daemon.Lives;
    const HostId host("127.0.0." + std::to_string(n + 1));
    daemon.Self = {host, IncarnationId(std::to_string(daemon.Lives))};
    daemon.Knowledge = {};
    daemon.Freshness = {};
    daemon.Part = std::make_unique<Rollout>(Plan, host, Settings);
    daemon.IsPaused = false;
    daemon.Waiting.clear();
    daemon.Said = nullptr;
  }

  void update(Daemon &daemon) {
    const RolloutState before = daemon.Part->state();
    const bool isFull = daemon.Part->isAtFullShare();
    if (isFull && Now <= Start + Scenario.Deadline)
      IsFullInTime = true;
    if (!Variant.JudgesAfterFullShare && isFull &&
        daemon.Knowledge.Vetoes.empty())
      return;
    daemon.Part->refreshed(Variant.MindsStaleness
                               ? daemon.Freshness.knownUntil(peers())
                               : Now + hours(1));
    daemon.Part->update(daemon.Knowledge, Now);
    noteVeto(daemon);
    const bool isNews = before != daemon.Part->state();
    if (isNews)
      daemon.Said = nullptr;
    if (isNews && !daemon.Knowledge.Vetoes.empty())
      askAll(indexOf(daemon));
  }

  /// At the first veto, the time at which the last of the calls that it rests
  /// on was counted somewhere.
  void noteVeto(const Daemon &daemon) {
    if (VetoAt || daemon.Knowledge.Vetoes.empty())
      return;
    VetoAt = Now;
    Result.IsForDeadline = daemon.Knowledge.Vetoes.begin()->second.Reason ==
                           RollbackReason::Deadline;
    EvidenceAt = Start;
    for (const auto &[source, counts] : daemon.Knowledge.Evidence.sources()) {
      std::uint64_t calls = 0;
      for (const auto &it : counts)
        calls += it.second.Calls;
      if (calls > 0)
        EvidenceAt = std::max(*EvidenceAt, Counted[source][calls - 1]);
    }
  }

  std::size_t peers() const { return Daemons.size() - 1; }

  std::size_t indexOf(const Daemon &daemon) const {
    return static_cast<std::size_t>(&daemon - Daemons.data());
  }

  void tick(std::size_t n) {
    const unsigned life = Daemons[n].Lives;
    onDaemon(n, life, [this, n] {
      ++Daemons[n].Ticks;
      Daemons[n].Said = nullptr;
      update(Daemons[n]);
      askAll(n);
    });
    at(Now + Scenario.GossipEvery, [this, n] { tick(n); });
  }

  void askAll(std::size_t n) {
    const auto said = say(Daemons[n]);
    for (std::size_t to = 0; to < Daemons.size(); ++to)
      if (to != n)
        ask(n, to, said);
  }

  /// What a daemon tells the others; all it knows at every tenth tick.
  std::shared_ptr<const RolloutKnowledge> say(Daemon &daemon) const {
    if (daemon.Said != nullptr)
      return daemon.Said;
    auto said = std::make_shared<RolloutKnowledge>(
        daemon.Ticks % TicksToTellAll == 0
            ? daemon.Knowledge
            : ownPart(daemon.Knowledge, daemon.Self));
    if (!Variant.PoolsEvidence)
      said->Evidence = {};
    daemon.Said = std::move(said);
    return daemon.Said;
  }

  void ask(std::size_t from, std::size_t to,
           const std::shared_ptr<const RolloutKnowledge> &said) {
    const Instant askedAt = Now;
    const unsigned life = Daemons[from].Lives;
    post(to, Daemons[to].Lives, [this, from, to, said, askedAt, life] {
      receive(to, *said);
      const auto answer = say(Daemons[to]);
      post(from, life, [this, from, to, answer, askedAt] {
        Daemons[from].Freshness.answered(Daemons[to].Self.Host, askedAt);
        receive(from, *answer);
      });
    });
  }

  void receive(std::size_t n, const RolloutKnowledge &said) {
    Daemon &daemon = Daemons[n];
    const std::size_t vetoes = daemon.Knowledge.Vetoes.size();
    if (!merge(daemon.Knowledge, said))
      return;
    daemon.Said = nullptr;
    // Evidence waits for the next tick; a veto does not.
    if (daemon.Knowledge.Vetoes.size() != vetoes)
      update(daemon);
  }

  /// A message that may be lost, late or repeated.
  void post(std::size_t to, unsigned life, const std::function<void()> &what) {
    if (Calls.draw() < Scenario.GossipLost)
      return;
    const int copies = Calls.draw() < Scenario.GossipRepeated ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const double part = 0.2 + 0.8 * Calls.draw();
      at(Now + fromSeconds(toSeconds(Scenario.GossipDelay) * part),
         [this, to, life, what] { onDaemon(to, life, what); });
    }
  }

  void nextCall() {
    std::exponential_distribution<> gap(Scenario.CallsPerSecond);
    at(Now + fromSeconds(gap(Random)), [this] {
      call();
      nextCall();
    });
  }

  void call() {
    const std::size_t n = Random() % Daemons.size();
    const ModelRoute route = Calls.drawRoute();
    const std::string key = std::to_string(Random());
    if (Now <= Start + Scenario.Deadline)
      ++Result.Calls;
    // A paused host's sockets still take calls; they are served when it goes
    // on, before it reads what its peers have sent.
    onDaemon(n, Daemons[n].Lives,
             [this, n, route, key] { serve(Daemons[n], route, key); });
  }

  void serve(Daemon &daemon, const ModelRoute &route, const std::string &key) {
    const VersionShares shares = daemon.Part->shares();
    const VersionId version = chooseVersion(shares, key, route.Repeatable, Now);
    bool isHarmed = false;
    UpstreamOutcome outcome = UpstreamOutcome::Good;
    if (version == NewVersion) {
      noteSent(daemon, route);
      outcome = Calls.callNew(route, Now, newReplicas(daemon), isHarmed);
    } else {
      outcome = Calls.callOld(Now);
    }
    if (isHarmed)
      ++Result.Harmed;
    const Duration latency =
        outcome == UpstreamOutcome::Late ? LateLatency : UsualLatency;
    const std::size_t n = indexOf(daemon);
    const unsigned life = daemon.Lives;
    at(Now + latency, [this, n, life, version, route, outcome] {
      onDaemon(n, life, [this, n, version, route, outcome] {
        record(Daemons[n], {version, route.Id}, outcome);
      });
    });
  }

  std::size_t newReplicas(const Daemon &daemon) const {
    if (!Variant.PacksReplicas)
      return Scenario.Replicas;
    return canaryReplicas(Calls.replicas(), daemon.Part->callShare(),
                          Plan.ReplicaShare)
        .size();
  }

  void noteSent(const Daemon &daemon, const ModelRoute &route) {
    if (Now <= Start + Scenario.Deadline)
      ++Result.CallsToNew;
    if (Calls.faultIsOn(route, Now))
      ++Result.CallsToFault;
    LastSent = Now;
    if (!daemon.Knowledge.Vetoes.empty())
      ++Result.SentAgainstVeto;
  }

  void record(Daemon &daemon, const EvidenceKey &key, UpstreamOutcome outcome) {
    AllEvidence.record(daemon.Self, key, outcome);
    Counted[daemon.Self].push_back(Now);
    if (!IsSeen && AllSeeing.observe(AllEvidence)) {
      IsSeen = true;
      Result.CallsWhenSeen = Result.CallsToFault;
    }
    EvidenceKey known = key;
    if (!Variant.JudgesPerRoute)
      known.OnRoute = Plan.Routes.front().Id;
    daemon.Knowledge.Evidence.record(daemon.Self, known, outcome);
    daemon.Said = nullptr;
    if (outcome != UpstreamOutcome::Good)
      update(daemon);
  }

  void nextTrouble() {
    at(Now + seconds(1), [this] {
      for (std::size_t n = 0; n < Daemons.size(); ++n) {
        if (Calls.draw() < Scenario.Restarts)
          startDaemon(n);
        else if (!Daemons[n].IsPaused && Calls.draw() < Scenario.Pauses)
          pause(n);
      }
      nextTrouble();
    });
  }

  void pause(std::size_t n) {
    Daemons[n].IsPaused = true;
    const unsigned life = Daemons[n].Lives;
    const double part = Calls.draw();
    at(Now + fromSeconds(toSeconds(Scenario.MaxEventGap) * part),
       [this, n, life] {
         if (Daemons[n].Lives == life)
           goOn(n);
       });
  }

  void goOn(std::size_t n) {
    Daemon &daemon = Daemons[n];
    daemon.IsPaused = false;
    const auto waiting = std::exchange(daemon.Waiting, {});
    for (const auto &it : waiting)
      it();
  }

  void finish(const Daemon &daemon) {
    const RolloutStatus status = daemon.Part->status();
    Result.ForcedSteps = std::max(Result.ForcedSteps, status.ForcedSteps);
    Result.IsRolledBack |= !daemon.Knowledge.Vetoes.empty();
    Result.IsInTime = IsFullInTime && !Result.IsRolledBack;
  }
};

} // namespace

MoveResult runMove(const CanaryScenario &scenario, std::uint64_t seed,
                   const CanaryVariant &variant,
                   const RolloutSettings &settings) {
  return MoveRun(scenario, seed, variant, settings).run();
}

MoveResult runBaseline(const CanaryScenario &scenario, std::uint64_t seed,
                       const BaselinePolicy &policy) {
  std::mt19937_64 random(seed);
  Upstreams calls(scenario, random);
  std::exponential_distribution<> gap(scenario.CallsPerSecond);
  MoveResult result;
  EvidenceCount seen;
  double share = 0;
  for (Instant now = Start; now < Start + scenario.Deadline;
       now += fromSeconds(gap(random))) {
    ++result.Calls;
    const ModelRoute &route = calls.drawRoute();
    share = result.IsRolledBack ? 0 : policy.Share(calls.passed(now));
    if (calls.draw() >= share) {
      calls.callOld(now);
      continue;
    }
    ++result.CallsToNew;
    if (calls.faultIsOn(route, now))
      ++result.CallsToFault;
    bool isHarmed = false;
    const UpstreamOutcome outcome =
        calls.callNew(route, now, scenario.Replicas, isHarmed);
    if (isHarmed)
      ++result.Harmed;
    ++seen.Calls;
    if (outcome == UpstreamOutcome::Failed)
      ++seen.Failures;
    if (outcome == UpstreamOutcome::Late)
      ++seen.Late;
    result.IsRolledBack = policy.IsBad(seen);
  }
  result.IsInTime = !result.IsRolledBack && share >= 1;
  return result;
}

std::vector<CanaryScenario> deploymentScenarios() {
  CanaryScenario model;
  model.Deployment = "tablon-sur/model";
  model.Policy = DeadlinePolicy::InTime;
  model.Routes = {{RouteId("chat"), true, 0.6},
                  {RouteId("quote"), true, 0.25},
                  {RouteId("tag"), true, 0.15}};
  CanaryScenario desk = model;
  desk.Deployment = "tablon-sur/desk";
  desk.Replicas = 4;
  desk.CallsPerSecond = 16;
  desk.Routes = {{RouteId("lookup"), true, 0.7},
                 {RouteId("booking"), false, 0.3}};
  CanaryScenario night = model;
  night.Deployment = "caltagirone/model";
  night.Policy = DeadlinePolicy::Safe;
  night.Hosts = 7;
  night.Replicas = 12;
  night.CallsPerSecond = 24;
  night.GossipDelay = milliseconds(8);
  night.Routes = {{RouteId("alarm"), true, 0.5},
                  {RouteId("keeper"), true, 0.35},
                  {RouteId("summary"), true, 0.15}};
  CanaryScenario alarms = night;
  alarms.Deployment = "caltagirone/desk";
  alarms.Replicas = 4;
  alarms.CallsPerSecond = 16;
  alarms.Routes = {{RouteId("status"), true, 0.5},
                   {RouteId("acknowledge"), true, 0.25},
                   {RouteId("dispatch"), false, 0.25}};
  return {model, desk, night, alarms};
}

std::vector<CanaryFault> faultsOf(const CanaryScenario &scenario) {
  const RouteId rare = scenario.Routes.back().Id;
  return {{"5% failures", 0.05, 0, 0, false, {}},
          {"50% failures", 0.5, 0, 0, false, {}},
          {"5% failures later", 0.05, 0, 0.5, false, {}},
          {"10% failures under load", 0.1, 0, 0, true, {}},
          {"20% failures on one route", 0.2, 0, 0, false, rare},
          {"20% late", 0, 0.2, 0, false, {}}};
}

} // namespace sorrelbay
