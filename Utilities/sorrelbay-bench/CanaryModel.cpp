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
constexpr Duration GoodLatency = milliseconds(200);
constexpr Duration LateLatency = milliseconds(900);
constexpr unsigned TicksPerFullReport = 10;
constexpr Duration RunAfterVeto = seconds(30);
// The load of a replica is measured over this span.
constexpr Duration LoadWindow = seconds(5);
// Share of the normal load from which on a fault with OnlyUnderLoad is active.
constexpr double NearNormalLoadShare = 0.6;

/// A simulated daemon.
struct Daemon {
  EvidenceSource Self;
  RolloutKnowledge Knowledge;
  std::unique_ptr<Rollout> OwnRollout;
  PeerFreshness Freshness;
  unsigned IncarnationNumber = 0;
  unsigned Ticks = 0;
  bool IsPaused = false;
  std::vector<std::function<void()>> Deferred;
  /// The last report sent to the peers; null once it is out of date.
  std::shared_ptr<const RolloutKnowledge> LastReport;
};

struct Event {
  Instant At;
  std::uint64_t Order;
  std::function<void()> Action;
};

bool operator<(const Event &a, const Event &b) {
  return std::tie(a.At, a.Order) > std::tie(b.At, b.Order);
}

/// Draws the outcomes of calls, in the same way for the product and the
/// baselines.
class UpstreamModel {
public:
  UpstreamModel(const CanaryScenario &scenario, std::mt19937_64 &random)
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

  bool isFaultActive(const ModelRoute &route, Instant now) const {
    const CanaryFault &fault = Scenario.Fault;
    if (fault.isNone() || elapsedShare(now) < fault.From)
      return false;
    return fault.OnRoute.empty() || fault.OnRoute == route.Id;
  }

  double elapsedShare(Instant now) const {
    return toSeconds(now - Start) / toSeconds(Scenario.Deadline);
  }

  /// Draws the outcome of a call to the new version, whose calls are spread
  /// over `replicas` replicas.
  UpstreamOutcome callNew(const ModelRoute &route, Instant now,
                          std::size_t replicas, bool &isHarmed) {
    const bool isLoaded = isNearNormalLoad(replicas, now);
    const CanaryFault &fault = Scenario.Fault;
    const bool isFaultVisible =
        isFaultActive(route, now) && (!fault.OnlyUnderLoad || isLoaded);
    if (!isFaultVisible)
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
    const double part = elapsedShare(now);
    const bool isSlow = part >= Scenario.SlowFrom && part < Scenario.SlowUntil;
    const double late = isSlow ? Scenario.SlowLateness : Scenario.BaseLateRate;
    const double chance = draw();
    if (chance < Scenario.BaseFailureRate)
      return UpstreamOutcome::Failed;
    return chance < Scenario.BaseFailureRate + late ? UpstreamOutcome::Late
                                                    : UpstreamOutcome::Good;
  }

  const std::vector<UpstreamId> &replicas() const { return Replicas; }

private:
  const CanaryScenario &Scenario;
  std::mt19937_64 &Random;
  std::vector<UpstreamId> Replicas;
  std::deque<Instant> Sent;

  /// Whether the calls to the new version, spread evenly over `replicas`
  /// replicas, bring each of these near its normal load.
  bool isNearNormalLoad(std::size_t replicas, Instant now) {
    Sent.push_back(now);
    while (Sent.front() + LoadWindow < now)
      Sent.pop_front();
    const double normal = Scenario.CallsPerSecond * toSeconds(LoadWindow) /
                          static_cast<double>(Scenario.Replicas);
    const double each =
        static_cast<double>(Sent.size()) / static_cast<double>(replicas);
    return each >= NearNormalLoadShare * normal;
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

/// Simulates one rollout with the product's decision code in every daemon.
class RolloutRun {
public:
  RolloutRun(const CanaryScenario &scenario, std::uint64_t seed,
             const CanaryVariant &variant, const RolloutSettings &settings)
      : Scenario(scenario), Variant(variant), Settings(settings), Random(seed),
        Calls(scenario, Random), Plan(planOf(scenario)),
        ReferenceJudge(NewVersion, OldVersion, idsOf(Plan), settings.Judge),
        Daemons(scenario.Hosts) {
    if (!variant.JudgesPerRoute) {
      Plan.Routes.resize(1);
      Plan.Routes.front().Id = RouteId("any");
    }
  }

  RolloutResult run() {
    for (std::size_t n = 0; n < Daemons.size(); ++n) {
      startDaemon(n);
      tick(n);
    }
    scheduleNextCall();
    if (Scenario.Restarts > 0 || Scenario.Pauses > 0)
      scheduleProcessFaults();
    const Instant end = Start + Scenario.Deadline + Scenario.After;
    while (!Events.empty() && Events.top().At <= end && !isOver()) {
      const Event event = Events.top();
      Events.pop();
      Now = event.At;
      event.Action();
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
  UpstreamModel Calls;
  RolloutPlan Plan;
  CanaryJudge ReferenceJudge;
  EvidencePool ReferenceEvidence;
  std::vector<Daemon> Daemons;
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  Instant Now = Start;
  // The times at which each daemon counted its calls, in order.
  std::map<EvidenceSource, std::vector<Instant>> RecordedAt;
  std::optional<Instant> EvidenceAt;
  Instant LastSent = Start;
  bool HasReferenceVeto = false;
  std::optional<Instant> VetoAt;
  bool IsFullInTime = false;
  RolloutResult Result;

  bool isOver() const {
    return Scenario.EndsWhenRolledBack && VetoAt &&
           Now > *VetoAt + RunAfterVeto;
  }

  static std::vector<RouteId> idsOf(const RolloutPlan &plan) {
    std::vector<RouteId> out;
    for (const Route &it : plan.Routes)
      out.push_back(it.Id);
    return out;
  }

  void at(Instant when, std::function<void()> daemonAction) {
    Events.push({when, Order++, std::move(daemonAction)});
  }

  /// Runs the function now, or once the daemon resumes if it is paused. Drops
  /// it if the daemon was restarted in the meantime.
  void runOnDaemon(std::size_t n, unsigned incarnationNumber,
                   std::function<void()> daemonAction) {
    Daemon &daemon = Daemons[n];
    if (daemon.IncarnationNumber != incarnationNumber)
      return;
    if (daemon.IsPaused)
      daemon.Deferred.push_back(std::move(daemonAction));
    else
      daemonAction();
  }

  void startDaemon(std::size_t n) {
    Daemon &daemon = Daemons[n];
    ++daemon.IncarnationNumber;
    const HostId host("127.0.0." + std::to_string(n + 1));
    daemon.Self = {host,
                   IncarnationId(std::to_string(daemon.IncarnationNumber))};
    daemon.Knowledge = {};
    daemon.Freshness = {};
    daemon.OwnRollout = std::make_unique<Rollout>(Plan, host, Settings);
    daemon.IsPaused = false;
    daemon.Deferred.clear();
    daemon.LastReport = nullptr;
  }

  void update(Daemon &daemon) {
    const RolloutState before = daemon.OwnRollout->state();
    const bool isFull = daemon.OwnRollout->isAtFullShare();
    if (isFull && Now <= Start + Scenario.Deadline)
      IsFullInTime = true;
    if (!Variant.JudgesAfterFullShare && isFull &&
        daemon.Knowledge.Vetoes.empty())
      return;
    daemon.OwnRollout->confirmKnowledgeUntil(
        Variant.ChecksStaleness ? daemon.Freshness.knownUntil(peers())
                                : Now + hours(1));
    daemon.OwnRollout->update(daemon.Knowledge, Now);
    noteVeto(daemon);
    const bool hasStateChanged = before != daemon.OwnRollout->state();
    if (hasStateChanged)
      daemon.LastReport = nullptr;
    if (hasStateChanged && !daemon.Knowledge.Vetoes.empty())
      gossipToPeers(indexOf(daemon));
  }

  /// At the first veto, determines when the last of the calls that it is based
  /// on was counted by any daemon.
  void noteVeto(const Daemon &daemon) {
    if (VetoAt || daemon.Knowledge.Vetoes.empty())
      return;
    VetoAt = Now;
    Result.IsRolledBackForDeadline =
        daemon.Knowledge.Vetoes.begin()->second.Reason ==
        RollbackReason::Deadline;
    EvidenceAt = Start;
    for (const auto &[source, counts] : daemon.Knowledge.Evidence.sources()) {
      std::uint64_t calls = 0;
      for (const auto &it : counts)
        calls += it.second.Calls;
      if (calls > 0)
        EvidenceAt = std::max(*EvidenceAt, RecordedAt[source][calls - 1]);
    }
  }

  std::size_t peers() const { return Daemons.size() - 1; }

  std::size_t indexOf(const Daemon &daemon) const {
    return static_cast<std::size_t>(&daemon - Daemons.data());
  }

  void tick(std::size_t n) {
    const unsigned incarnationNumber = Daemons[n].IncarnationNumber;
    runOnDaemon(n, incarnationNumber, [this, n] {
      ++Daemons[n].Ticks;
      Daemons[n].LastReport = nullptr;
      update(Daemons[n]);
      gossipToPeers(n);
    });
    at(Now + Scenario.GossipPeriod, [this, n] { tick(n); });
  }

  void gossipToPeers(std::size_t n) {
    const auto gossipReport = currentReport(Daemons[n]);
    for (std::size_t to = 0; to < Daemons.size(); ++to)
      if (to != n)
        gossip(n, to, gossipReport);
  }

  /// The report that the daemon sends to its peers: its own part of its rollout
  /// state, and at every tenth tick the whole state.
  std::shared_ptr<const RolloutKnowledge> currentReport(Daemon &daemon) const {
    if (daemon.LastReport != nullptr)
      return daemon.LastReport;
    auto gossipReport = std::make_shared<RolloutKnowledge>(
        daemon.Ticks % TicksPerFullReport == 0
            ? daemon.Knowledge
            : ownPart(daemon.Knowledge, daemon.Self));
    if (!Variant.PoolsEvidence)
      gossipReport->Evidence = {};
    daemon.LastReport = std::move(gossipReport);
    return daemon.LastReport;
  }

  void gossip(std::size_t from, std::size_t to,
              const std::shared_ptr<const RolloutKnowledge> &gossipReport) {
    const Instant sentAt = Now;
    const unsigned incarnationNumber = Daemons[from].IncarnationNumber;
    sendMessage(to, Daemons[to].IncarnationNumber,
                [this, from, to, gossipReport, sentAt, incarnationNumber] {
                  receive(to, *gossipReport);
                  const auto replyReport = currentReport(Daemons[to]);
                  sendMessage(from, incarnationNumber,
                              [this, from, to, replyReport, sentAt] {
                                Daemons[from].Freshness.answered(
                                    Daemons[to].Self.Host, sentAt);
                                receive(from, *replyReport);
                              });
                });
  }

  void receive(std::size_t n, const RolloutKnowledge &gossipReport) {
    Daemon &daemon = Daemons[n];
    const std::size_t vetoes = daemon.Knowledge.Vetoes.size();
    if (!merge(daemon.Knowledge, gossipReport))
      return;
    daemon.LastReport = nullptr;
    // A veto is handled at once; evidence waits for the next tick.
    if (daemon.Knowledge.Vetoes.size() != vetoes)
      update(daemon);
  }

  /// Delivers a message, which may be lost, delayed or duplicated.
  void sendMessage(std::size_t to, unsigned incarnationNumber,
                   const std::function<void()> &daemonAction) {
    if (Calls.draw() < Scenario.GossipLost)
      return;
    const int copies = Calls.draw() < Scenario.GossipRepeated ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const double part = 0.2 + 0.8 * Calls.draw();
      at(Now + fromSeconds(toSeconds(Scenario.GossipDelay) * part),
         [this, to, incarnationNumber, daemonAction] {
           runOnDaemon(to, incarnationNumber, daemonAction);
         });
    }
  }

  void scheduleNextCall() {
    std::exponential_distribution<> gap(Scenario.CallsPerSecond);
    at(Now + fromSeconds(gap(Random)), [this] {
      call();
      scheduleNextCall();
    });
  }

  void call() {
    const std::size_t n = Random() % Daemons.size();
    const ModelRoute route = Calls.drawRoute();
    const std::string key = std::to_string(Random());
    if (Now <= Start + Scenario.Deadline)
      ++Result.Calls;
    // The sockets of a paused host still accept calls. The host serves them
    // when it resumes, before it reads its peers' messages.
    runOnDaemon(n, Daemons[n].IncarnationNumber,
                [this, n, route, key] { serve(Daemons[n], route, key); });
  }

  void serve(Daemon &daemon, const ModelRoute &route, const std::string &key) {
    const VersionShares shares = daemon.OwnRollout->shares();
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
        outcome == UpstreamOutcome::Late ? LateLatency : GoodLatency;
    const std::size_t n = indexOf(daemon);
    const unsigned incarnationNumber = daemon.IncarnationNumber;
    at(Now + latency, [this, n, incarnationNumber, version, route, outcome] {
      runOnDaemon(n, incarnationNumber, [this, n, version, route, outcome] {
        record(Daemons[n], {version, route.Id}, outcome);
      });
    });
  }

  std::size_t newReplicas(const Daemon &daemon) const {
    if (!Variant.PacksReplicas)
      return Scenario.Replicas;
    return canaryReplicas(Calls.replicas(), daemon.OwnRollout->callShare(),
                          Plan.ReplicaShare)
        .size();
  }

  void noteSent(const Daemon &daemon, const ModelRoute &route) {
    if (Now <= Start + Scenario.Deadline)
      ++Result.CallsToNew;
    if (Calls.isFaultActive(route, Now))
      ++Result.CallsToFault;
    LastSent = Now;
    if (!daemon.Knowledge.Vetoes.empty())
      ++Result.SentAgainstVeto;
  }

  void record(Daemon &daemon, const EvidenceKey &key, UpstreamOutcome outcome) {
    ReferenceEvidence.record(daemon.Self, key, outcome);
    RecordedAt[daemon.Self].push_back(Now);
    if (!HasReferenceVeto && ReferenceJudge.observe(ReferenceEvidence)) {
      HasReferenceVeto = true;
      Result.CallsBeforeReferenceVeto = Result.CallsToFault;
    }
    EvidenceKey recordedKey = key;
    if (!Variant.JudgesPerRoute)
      recordedKey.OnRoute = Plan.Routes.front().Id;
    daemon.Knowledge.Evidence.record(daemon.Self, recordedKey, outcome);
    daemon.LastReport = nullptr;
    if (outcome != UpstreamOutcome::Good)
      update(daemon);
  }

  void scheduleProcessFaults() {
    at(Now + seconds(1), [this] {
      for (std::size_t n = 0; n < Daemons.size(); ++n) {
        if (Calls.draw() < Scenario.Restarts)
          startDaemon(n);
        else if (!Daemons[n].IsPaused && Calls.draw() < Scenario.Pauses)
          pause(n);
      }
      scheduleProcessFaults();
    });
  }

  void pause(std::size_t n) {
    Daemons[n].IsPaused = true;
    const unsigned incarnationNumber = Daemons[n].IncarnationNumber;
    const double part = Calls.draw();
    at(Now + fromSeconds(toSeconds(Scenario.MaxEventGap) * part),
       [this, n, incarnationNumber] {
         if (Daemons[n].IncarnationNumber == incarnationNumber)
           resumeDaemon(n);
       });
  }

  void resumeDaemon(std::size_t n) {
    Daemon &daemon = Daemons[n];
    daemon.IsPaused = false;
    const auto waiting = std::exchange(daemon.Deferred, {});
    for (const auto &it : waiting)
      it();
  }

  void finish(const Daemon &daemon) {
    const RolloutStatus status = daemon.OwnRollout->status();
    Result.ForcedSteps = std::max(Result.ForcedSteps, status.ForcedSteps);
    Result.IsRolledBack |= !daemon.Knowledge.Vetoes.empty();
    Result.IsInTime = IsFullInTime && !Result.IsRolledBack;
  }
};

} // namespace

RolloutResult runRollout(const CanaryScenario &scenario, std::uint64_t seed,
                         const CanaryVariant &variant,
                         const RolloutSettings &settings) {
  return RolloutRun(scenario, seed, variant, settings).run();
}

RolloutResult runBaseline(const CanaryScenario &scenario, std::uint64_t seed,
                          const BaselinePolicy &policy) {
  std::mt19937_64 random(seed);
  UpstreamModel calls(scenario, random);
  std::exponential_distribution<> gap(scenario.CallsPerSecond);
  RolloutResult result;
  EvidenceCount seen;
  double share = 0;
  for (Instant now = Start; now < Start + scenario.Deadline;
       now += fromSeconds(gap(random))) {
    ++result.Calls;
    const ModelRoute &route = calls.drawRoute();
    share = result.IsRolledBack ? 0 : policy.Share(calls.elapsedShare(now));
    if (calls.draw() >= share) {
      calls.callOld(now);
      continue;
    }
    ++result.CallsToNew;
    if (calls.isFaultActive(route, now))
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
  CanaryScenario tablonModel;
  tablonModel.Deployment = "tablon-sur/model";
  tablonModel.Policy = DeadlinePolicy::InTime;
  tablonModel.Routes = {{RouteId("chat"), true, 0.6},
                        {RouteId("quote"), true, 0.25},
                        {RouteId("tag"), true, 0.15}};
  CanaryScenario tablonDesk = tablonModel;
  tablonDesk.Deployment = "tablon-sur/desk";
  tablonDesk.Replicas = 4;
  tablonDesk.CallsPerSecond = 16;
  tablonDesk.Routes = {{RouteId("lookup"), true, 0.7},
                       {RouteId("booking"), false, 0.3}};
  CanaryScenario caltagironeModel = tablonModel;
  caltagironeModel.Deployment = "caltagirone/model";
  caltagironeModel.Policy = DeadlinePolicy::Safe;
  caltagironeModel.Hosts = 7;
  caltagironeModel.Replicas = 12;
  caltagironeModel.CallsPerSecond = 24;
  caltagironeModel.GossipDelay = milliseconds(8);
  caltagironeModel.Routes = {{RouteId("alarm"), true, 0.5},
                             {RouteId("keeper"), true, 0.35},
                             {RouteId("summary"), true, 0.15}};
  CanaryScenario caltagironeDesk = caltagironeModel;
  caltagironeDesk.Deployment = "caltagirone/desk";
  caltagironeDesk.Replicas = 4;
  caltagironeDesk.CallsPerSecond = 16;
  caltagironeDesk.Routes = {{RouteId("status"), true, 0.5},
                            {RouteId("acknowledge"), true, 0.25},
                            {RouteId("dispatch"), false, 0.25}};
  return {tablonModel, tablonDesk, caltagironeModel, caltagironeDesk};
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
