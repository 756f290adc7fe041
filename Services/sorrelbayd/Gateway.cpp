#include "Gateway.h"
#include "GatewayCall.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include "LibServing/RetryBudgetShare.h"
#include "LibServing/StopPolicy.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <future>

namespace sorrelbay {

namespace {

/// Interval of the periodic work, which sends a report to peers.
constexpr Duration TickInterval = milliseconds(250);
/// A longer delay of the periodic work is logged.
constexpr Duration MaxLoopDelay = milliseconds(500);
/// Characters of a list of hosts that are logged.
constexpr std::size_t MaxLoggedHosts = 300;
/// Most addresses in the response to an address lookup.
constexpr std::size_t MaxLookupAddresses = 64;
/// How long callers cache an address from a lookup, unless AddressTimeToLive is
/// shorter.
constexpr Duration LookupTimeToLive = seconds(2);
/// While the host stops, connections are closed after this time without a
/// request. The time lets callers look up the addresses again, without this
/// host, before their connections close.
constexpr Duration IdleTimeoutWhileStopping = milliseconds(1200);
/// The bound on the age of the view of quarantines and operators' requests. A
/// host that receives no relayed changes queries the store after half of it,
/// and has to act by an operator's request within 10 s.
constexpr Duration OperatorChanges = seconds(16);
/// Time by which a watch may return late.
constexpr Duration WatchDelay = milliseconds(400);
/// What a relayed call's header has more than the caller's.
constexpr std::size_t MaxEnvelopeBytes = 8UL * 1024;
constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;

} // namespace

Gateway::Gateway(GatewaySettings settings, const MakeHooks &makeHooks)
    : Work(boost::asio::make_work_guard(Loop)),
      State(Loop, std::move(settings), makeHooks(Loop)), Duties(State),
      Usage(State, Duties), Orders(State, Duties),
      ServiceRollouts(State, Duties),
      Fleet(State, {[this] { return localMember(); },
                    [this](ReportScope scope) {
                      return ServiceRollouts.encodedKnowledge(scope);
                    },
                    [this](const std::string &encoded) {
                      ServiceRollouts.mergePeerKnowledge(encoded, bootNow());
                    },
                    [this](const RelayedChanges &relayed) {
                      applyRelayedChanges(relayed);
                    }}),
      Upstreams(State), Reserved(State), Secret(State),
      StoredQuarantines(State), Requests(State), TickTimer(Loop) {
  State.Replicas.setRegions(State.Settings.RegionOf);
  State.Self = [this] { return Fleet.self(); };
  State.NotifyPeers = [this] { Fleet.publishPromptly(); };
  State.VersionFor = [this](const ServiceId &service,
                            const std::string &callId) {
    return ServiceRollouts.versionFor(service, callId, bootNow());
  };
  State.RecordOutcome = [this](const ServiceId &service,
                               const VersionId &version, const RouteId &route,
                               UpstreamOutcome outcome) {
    ServiceRollouts.record(service, version, route, outcome);
  };
  State.NoteConnect = [this](const ServiceId &service,
                             const UpstreamId &upstream, ConnectResult result) {
    Upstreams.noteConnect(service, upstream, result);
  };
  State.Crashes.setHooks(
      {[this](const UpstreamCrash &crash) {
         State.Failures.mergeCrash(crash.Upstream);
         State.Quarantine.noteCrash(crash, State.Time.at(bootNow()));
         Fleet.publishCrashes();
       },
       [this](const ServiceId &service, const std::string &fingerprint) {
         State.Quarantine.noteAnswered(service, fingerprint,
                                       State.Time.at(bootNow()));
       },
       [this](const ServiceId &service, const std::vector<PromptPart> &prompt) {
         State.Quarantine.noteSurvived(service, prompt,
                                       State.Time.at(bootNow()));
       }});
  State.WatchForSilence = [this] { Upstreams.watchForSilence(); };
  State.IsRolloutTarget = [this](const ServiceId &service,
                                 const VersionId &version) {
    return ServiceRollouts.isTarget(service, version);
  };
  State.IsRollingOut = [this](const ServiceId &service) {
    return ServiceRollouts.isRollingOut(service);
  };
}

Gateway::~Gateway() {
  Loop.stop();
  if (Worker.joinable())
    Worker.join();
}

/// The limits of the plan in force on what callers send.
HttpLimits Gateway::callLimits() const {
  HttpLimits limits;
  if (!State.Plan)
    return limits;
  const CallLimits &planLimits = State.Plan->plan().Limits;
  limits.MaxHeaderBytes = planLimits.MaxHeaderBytes;
  limits.MaxBodyBytes = planLimits.MaxBodyBytes;
  limits.ReadTimeout = planLimits.HeaderTimeout;
  limits.IdleTimeout = planLimits.IdleTimeout;
  return limits;
}

void Gateway::listen() {
  AsyncHttpServerHooks callers;
  callers.Limits = [this] { return callLimits(); };
  callers.Handle = [this](std::shared_ptr<HttpExchange> exchange) {
    GatewayCall::serve(State, std::move(exchange));
  };
  Callers = std::make_unique<AsyncHttpServer>(Loop, State.Settings.CallerListen,
                                              callers);

  AsyncHttpServerHooks readiness;
  readiness.Limits = [] { return HttpLimits{}; };
  readiness.Handle = [this](const std::shared_ptr<HttpExchange> &exchange) {
    const bool isProbe = State.Hooks.IsReadinessProbe(exchange->request());
    const Instant now = bootNow();
    const int status = isReady(now) && !isHeld(now) ? Ok : Unavailable;
    exchange->respond(isProbe ? status : NotFound, {}, "");
  };
  Readiness = std::make_unique<AsyncHttpServer>(
      Loop, State.Settings.ReadinessListen, readiness);

  AsyncHttpServerHooks addresses = readiness;
  addresses.Handle = [this](const std::shared_ptr<HttpExchange> &exchange) {
    if (!State.Hooks.IsAddressLookup(exchange->request()))
      return exchange->respond(NotFound, {}, "");
    respondToAddressLookup(*exchange);
  };
  Addresses = std::make_unique<AsyncHttpServer>(
      Loop, State.Settings.AddressListen, addresses);
  listenForRelayedCalls();
  Fleet.listen();
}

void Gateway::listenForRelayedCalls() {
  if (State.Settings.RelayListen.empty())
    return;
  AsyncHttpServerHooks hooks;
  hooks.Limits = [this] {
    HttpLimits limits = callLimits();
    limits.MaxHeaderBytes += MaxEnvelopeBytes;
    return limits;
  };
  hooks.Handle = [this](std::shared_ptr<HttpExchange> exchange) {
    GatewayCall::serveRelayed(State, std::move(exchange));
  };
  RelayedCallers = std::make_unique<AsyncHttpServer>(
      Loop, State.Settings.RelayListen, hooks);
}

void Gateway::listenForMetrics() {
  if (State.Settings.MetricsListen.empty())
    return;
  AsyncHttpServerHooks hooks;
  hooks.Limits = [] { return HttpLimits{}; };
  hooks.Handle = [this](const std::shared_ptr<HttpExchange> &exchange) {
    State.Counts.setOpenCalls(Callers->openRequests());
    State.Counts.setUpstreamConnectionCounts(State.Client.counts());
    State.Counts.setBundleGeneration(State.Plan ? State.Plan->plan().Version
                                                : 0);
    State.Counts.setFleetCost(Fleet.cost());
    setUpstreamLoadMetrics(State, bootNow());
    if (State.Plan)
      for (const ServingService &it : State.Plan->plan().Services) {
        State.Counts.setEngineDemand(it.Name.text(),
                                     State.Demand.total(it.Name, bootNow()));
        State.Counts.setWaitingCalls(it.Name.text(),
                                     State.Waiting.waiting(it.Name));
        State.Counts.setShortPrompts(
            it.Name.text(), State.ShortDemand.total(it.Name, bootNow()),
            State.Replicas.engines().reserved(it.Name));
        State.Counts.setQuarantines(it.Name.text(),
                                    State.Quarantine.inForce(it.Name));
      }
    exchange->respond(Ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                      State.Counts.render());
  };
  MetricsServer = std::make_unique<AsyncHttpServer>(
      Loop, State.Settings.MetricsListen, hooks);
}

void Gateway::watchStore() {
  const ResourceWatcherSettings settings = watcherSettingsFor(
      std::min(State.Settings.Bounds.PlanInForce, State.Settings.Bounds.Drain));
  // Changes may be relayed by another host and be as old as MaxStaleWaits
  // allows.
  State.LongestPlanAge =
      settings.WaitLimit * settings.MaxStaleWaits + WatchDelay;
  ResourceWatcherHooks plans;
  plans.OnObject = [this](const Resource &object) { applyPlan(object); };
  plans.OnRemoved = [](const std::string &) {};
  // Keys may have been removed by a plan that can't be read.
  plans.OnConfirmed = [this](Instant begun) {
    if (!IsNewestPlanRefused)
      State.PlanConfirmedAt = begun;
  };
  Plans = makeWatcher(ResourceKind::Plan, settings, plans);
  ResourceWatcherHooks replicas;
  replicas.OnObject = [this](const Resource &object) { applyReplica(object); };
  replicas.OnRemoved = [this](const std::string &name) {
    UpstreamChanges.noteGone(UpstreamId(name), Fleet.isFleetLeader(bootNow()),
                             bootNow(),
                             State.Replicas.workAt(UpstreamId(name)));
    if (const ReplicaRecord *it = State.Replicas.find(UpstreamId(name)))
      State.Client.forget(it->Address);
    State.Replicas.remove(UpstreamId(name));
  };
  replicas.OnConfirmed = [this](Instant begun) {
    State.ReplicasConfirmedAt = begun;
    State.Replicas.noteConfirmed(begun);
  };
  Replicas = makeWatcher(ResourceKind::Replicas, settings, replicas);
  ResourceWatcherHooks rolloutHooks;
  rolloutHooks.OnObject = [this](const Resource &object) {
    ServiceRollouts.applyOrder(object);
  };
  rolloutHooks.OnRemoved = [this](const std::string &name) {
    ServiceRollouts.remove(name);
  };
  rolloutHooks.OnConfirmed = [](Instant) {};
  RolloutOrders = makeWatcher(
      ResourceKind::Moves,
      rareChangeSettingsFor(State.Settings.Bounds.TrialEnd), rolloutHooks);
  Quarantines =
      makeWatcher(ResourceKind::Quarantines,
                  rareChangeSettingsFor(OperatorChanges), quarantineHooks());
  Plans->start();
  Replicas->start();
  RolloutOrders->start();
  Quarantines->start();
  if (State.Settings.Bounds.Evacuation > Duration::zero())
    watchEvacuations();
}

/// The callbacks of the watcher of the quarantines' kind, which has one object
/// for the quarantines and one for the requests of operators.
ResourceWatcherHooks Gateway::quarantineHooks() {
  ResourceWatcherHooks hooks = StoredQuarantines.watcherHooks();
  hooks.OnObject = [this, toQuarantines = hooks.OnObject](const Resource &it) {
    toQuarantines(it);
    Requests.apply(it);
  };
  hooks.OnRemoved = [this,
                     toQuarantines = hooks.OnRemoved](const std::string &name) {
    toQuarantines(name);
    Requests.remove(name);
  };
  return hooks;
}

void Gateway::watchEvacuations() {
  ResourceWatcherHooks hooks;
  hooks.OnObject = [this](const Resource &order) {
    const ZoneId zone(order.Name);
    if (State.Replicas.isEvacuated(zone))
      return;
    LogLine(Severity::Warning, "zone evacuated")
        .field("zone", order.Name)
        .field("revision", static_cast<std::int64_t>(order.Revision));
    State.Replicas.beginEvacuation(zone);
  };
  hooks.OnRemoved = [this](const std::string &name) {
    LogLine(Severity::Info, "evacuation over").field("zone", name);
    State.Replicas.endEvacuation(ZoneId(name), bootNow());
  };
  hooks.OnConfirmed = [this](Instant begun) {
    State.EvacuationsConfirmedAt = begun;
  };
  Evacuations = makeWatcher(
      ResourceKind::Evacuations,
      rareChangeSettingsFor(State.Settings.Bounds.Evacuation), hooks);
  Evacuations->start();
}

std::unique_ptr<ResourceWatcher>
Gateway::makeWatcher(ResourceKind kind, const ResourceWatcherSettings &settings,
                     ResourceWatcherHooks hooks) {
  hooks.OnWatched = [this, kind](std::uint64_t from,
                                 const ResourceChanges &changes,
                                 Instant begun) {
    Fleet.relayChanges(kind, from, changes, begun);
  };
  hooks.IsPolling = [this] { return Fleet.isFleetLeader(bootNow()); };
  hooks.IsUnreached = [this] { return State.Reachability.isUnreached(); };
  hooks.IsProber = [kind] { return kind == ResourceKind::Plan; };
  return std::make_unique<ResourceWatcher>(Loop, State.Hooks.Store, kind,
                                           settings, std::move(hooks));
}

void Gateway::applyRelayedChanges(const RelayedChanges &relayed) {
  const Instant now = bootNow();
  if (relayed.Kind == ResourceKind::Plan)
    Plans->receive(relayed, now);
  else if (relayed.Kind == ResourceKind::Replicas)
    Replicas->receive(relayed, now);
  else if (relayed.Kind == ResourceKind::Moves)
    RolloutOrders->receive(relayed, now);
  else if (relayed.Kind == ResourceKind::Quarantines)
    Quarantines->receive(relayed, now);
  else if (relayed.Kind == ResourceKind::Evacuations && Evacuations)
    Evacuations->receive(relayed, now);
}

/// The routes whose calls have prompts.
static std::vector<PromptRoute> promptRoutes(const ServingPlan &plan) {
  std::vector<PromptRoute> out;
  for (const ServingRoute &route : plan.Routes)
    if (route.IsStream)
      for (const WeightedService &service : route.ServiceWeights)
        if (service.Weight > 0)
          out.push_back({service.Name, route.Name, route.Timeout});
  return out;
}

void Gateway::applyPlan(const Resource &object) {
  try {
    ServingPlan plan = State.Hooks.ReadPlan(object);
    const std::uint64_t version = plan.Version;
    IsNewestPlanRefused = IsNewestPlanRefused && object.Name != PlanObject;
    if (State.Plan && version < State.Plan->plan().Version) {
      LogLine(Severity::Warning, "ignoring a plan older than the one in force")
          .field("version", static_cast<std::int64_t>(version));
      return;
    }
    State.PromptWaits.setRoutes(promptRoutes(plan));
    for (const ServingService &it : plan.Services)
      State.Replicas.setColdRate(it.Name, it.ColdRate);
    State.Refused.noteParts(ResourceKind::Plan, object, plan.Refused);
    State.Plan = std::make_shared<const PlanIndex>(std::move(plan));
    PlanObject = object.Name;
    updateRetryBudgets();
    LogLine(Severity::Info, "plan in force")
        .field("version", static_cast<std::int64_t>(version))
        .field("revision", static_cast<std::int64_t>(object.Revision))
        .field("view_age_ms", State.PlanConfirmedAt == Instant{}
                                  ? 0
                                  : toMilliseconds(State.planAge(bootNow())))
        .field("routes",
               static_cast<std::int64_t>(State.Plan->plan().Routes.size()));
  } catch (const Error &error) {
    State.Refused.note(ResourceKind::Plan);
    IsNewestPlanRefused = IsNewestPlanRefused || object.Name == PlanObject;
    LogLine(Severity::Error, "plan refused")
        .field("object", object.Name)
        .field("revision", static_cast<std::int64_t>(object.Revision))
        .field("why", error.what());
  }
}

void Gateway::applyReplica(const Resource &object) {
  try {
    const ReplicaRecord record = State.Hooks.ReadReplica(object);
    const ReplicaRecord *known = State.Replicas.find(record.Id);
    if (!known || known->IsLeaving != record.IsLeaving)
      UpstreamChanges.noteState(record, object.Revision,
                                Fleet.isFleetLeader(bootNow()), bootNow(),
                                State.Replicas.workAt(record.Id));
    std::optional<Instant> startedAt;
    if (record.StartedMs != 0 &&
        (!known || known->StartedMs != record.StartedMs))
      startedAt =
          State.Time.bootTimeOf(fromEpochMilliseconds(record.StartedMs));
    State.Replicas.note(record, bootNow(), startedAt);
  } catch (const Error &error) {
    State.Refused.note(ResourceKind::Replicas);
    LogLine(Severity::Warning, "upstream entry refused")
        .field("object", object.Name)
        .field("revision", static_cast<std::int64_t>(object.Revision))
        .field("why", error.what());
    State.Replicas.remove(UpstreamId(object.Name));
  }
}

/// Does the work, and logs an exception that ends it.
static void runIsolated(const char *name, const std::function<void()> &work) {
  try {
    work();
  } catch (const std::exception &error) {
    LogLine(Severity::Error, "periodic work fault")
        .field("part", name)
        .field("why", error.what());
  }
}

void Gateway::repeat(boost::asio::steady_timer &timer, Duration interval,
                     std::function<void()> work) {
  timer.expires_after(interval);
  timer.async_wait([this, &timer, interval,
                    work = std::move(work)](boost::system::error_code ec) {
    if (ec)
      return;
    runIsolated("periodic work", work);
    repeat(timer, interval, work);
  });
}

void Gateway::noteTick(Instant now) {
  if (State.TickedAt != Instant{} &&
      now - State.TickedAt > TickInterval + MaxLoopDelay)
    LogLine(Severity::Warning, "event loop delayed")
        .field("late_ms", toMilliseconds(now - State.TickedAt - TickInterval));
  if (State.wasStalled(now))
    State.StallEndedAt = now;
  State.TickedAt = now;
}

void Gateway::tickViews(Instant now) {
  for (ResourceWatcher *it :
       {Plans.get(), Replicas.get(), RolloutOrders.get(), Quarantines.get()})
    it->tick(now);
  if (Evacuations)
    Evacuations->tick(now);
}

void Gateway::tickQuarantines(Instant now) {
  if (State.Plan)
    for (const ServingService &it : State.Plan->plan().Services)
      State.Quarantine.setUpstreams(
          it.Name, static_cast<std::size_t>(State.Replicas.ready(it.Name)));
  State.Crashes.tick();
  State.Quarantine.tick(State.Time.at(now));
  State.Crashes.withdraw(State.Quarantine);
}

/// A fault in one part, such as input that nobody expected, must not end the
/// others: a host that sends no reports and renews no lease serves nobody.
void Gateway::tick() {
  const Instant now = bootNow();
  noteTick(now);
  const std::pair<const char *, std::function<void()>> parts[] = {
      {"views", [&] { tickViews(now); }},
      {"hosts",
       [&] {
         State.Replicas.setHosts(State.Settings.Host, State.Fleet.allHosts());
       }},
      {"duties", [&] { Duties.tick(now); }},
      {"usage", [&] { Usage.tick(now); }},
      {"replica orders", [&] { Orders.tick(now); }},
      {"rollouts", [&] { ServiceRollouts.tick(now); }},
      {"retry budgets", [&] { updateRetryBudgets(); }},
      {"upstreams", [&] { Upstreams.tick(now); }},
      {"reserved engines", [&] { Reserved.tick(now); }},
      {"quarantines", [&] { tickQuarantines(now); }},
      {"stored quarantines",
       [&] { StoredQuarantines.tick(Fleet.isFleetLeader(now), now); }},
      {"operator requests", [&] { Requests.tick(now); }},
      {"fleet", [&] { Fleet.tick(now); }},
      {"store calls", [&] { State.logStoreCalls(now); }},
      {"load", [&] { State.LoadLog.log(now); }},
      {"upstream changes", [&] { UpstreamChanges.logLeftOut(now); }},
  };
  for (const auto &[name, work] : parts)
    runIsolated(name, work);
}

void Gateway::updateRetryBudgets() {
  if (!State.Plan)
    return;
  const GatewayBounds &bounds = State.Settings.Bounds;
  const RetryBudgetShare part = retryBudgetShare(
      bounds.RetryShare, bounds.RetrySlack, State.Fleet.hostCount());
  for (const ServingService &it : State.Plan->plan().Services) {
    const auto [budget, isNew] = State.RetryBudgets.try_emplace(
        it.Name, part.Share, part.MaxBalance, part.Begin);
    budget->second.setMaxBalance(part.MaxBalance);
  }
}

FleetMember Gateway::localMember() const {
  const Instant now = bootNow();
  FleetMember self;
  self.CallerAddress = Callers->address();
  self.IsReady = isReady(now);
  self.IsLeaving = State.isStopping();
  self.IsStoreUnreachable = State.Reachability.isStoreUnreachable(now);
  if (RelayedCallers && !State.RelaySecret.empty())
    self.RelayAddress = RelayedCallers->address();
  self.UnreachableServices = State.Paths.unreachable();
  Duties.addLeaseTo(self, now);
  return self;
}

bool Gateway::isReady(Instant now) const {
  if (State.isStopping() || !State.Plan)
    return false;
  const GatewayBounds &bounds = State.Settings.Bounds;
  const bool hasKeys = !State.Plan->needsKeys() || !bounds.KeysFailClosed ||
                       State.planAge(now) < bounds.KeyRemoval;
  return State.knowsUpstreams() && hasKeys;
}

/// Logs the hosts that address lookups leave out, when they change.
void Gateway::logHostsLeftOut(const AddressLookup &lookup) {
  std::string leftOut;
  for (const HostId &it : lookup.LeftOut)
    leftOut += (leftOut.empty() ? "" : ",") + it.text();
  if (leftOut == State.HostsLeftOut)
    return;
  State.HostsLeftOut = leftOut;
  LogLine(Severity::Info, "address lookups changed")
      .field("left_out", leftOut.substr(0, MaxLoggedHosts))
      .field("named", static_cast<std::int64_t>(lookup.Addresses.size()));
}

AddressLookup Gateway::lookUp(Instant now) const {
  return lookUpAddresses(Fleet.self(), State.Fleet, now,
                         State.Requests.heldHosts(State.Time.at(now)));
}

/// Whether operators hold this host and address lookups leave it out. It then
/// gets no new connections, which a host that reports to be ready would be
/// expected to get.
bool Gateway::isHeld(Instant now) const {
  const HostId &self = State.Settings.Host;
  if (!State.Requests.isHostHeld(self, State.Time.at(now)))
    return false;
  const std::vector<HostId> leftOut = lookUp(now).LeftOut;
  return std::find(leftOut.begin(), leftOut.end(), self) != leftOut.end();
}

void Gateway::respondToAddressLookup(HttpExchange &exchange) {
  AddressLookup lookup = lookUp(bootNow());
  logHostsLeftOut(lookup);
  std::vector<std::string> &addresses = lookup.Addresses;
  if (addresses.size() > MaxLookupAddresses) {
    std::shuffle(addresses.begin(), addresses.end(), State.Random);
    addresses.resize(MaxLookupAddresses);
  }
  const Duration lookupTimeToLive =
      std::min(LookupTimeToLive, State.Settings.Bounds.AddressTimeToLive);
  exchange.respond(addresses.empty() ? Unavailable : Ok,
                   {{"Content-Type", "application/json"}},
                   State.Hooks.AddressesBody(addresses, lookupTimeToLive));
}

void Gateway::start() {
  listen();
  listenForMetrics();
  watchStore();
  if (RelayedCallers)
    Secret.start();
  Fleet.start();
  repeat(TickTimer, TickInterval, [this] { tick(); });
  Worker = std::thread([this] {
    while (!Loop.stopped()) {
      try {
        Loop.run();
      } catch (const std::exception &error) {
        // An exception in the handling of one call must not stop the event
        // loop.
        LogLine(Severity::Error, "event loop fault").field("why", error.what());
      }
    }
  });
  LogLine(Severity::Info, "started")
      .field("callers", Callers->address())
      .field("peers", Fleet.address())
      .field("incarnation", State.Incarnation.text());
}

void Gateway::stop() {
  const Instant begun = bootNow();
  LogLine(Severity::Info, "stopping")
      .field("grace_ms", toMilliseconds(State.Settings.Bounds.Grace));
  std::promise<void> left;
  boost::asio::post(Loop, [this, &left] {
    State.StoppingSince = bootNow();
    Fleet.publish(bootNow());
    Callers->beginClosing(IdleTimeoutWhileStopping);
    if (RelayedCallers)
      RelayedCallers->beginClosing(IdleTimeoutWhileStopping);
    Fleet.leave();
    left.set_value();
  });
  left.get_future().wait();
  const Duration grace = State.Settings.Bounds.Grace;
  const Instant until = begun + grace - stopMargin(grace);
  const Duration shortestStop = LookupTimeToLive;
  while (bootNow() < until) {
    std::this_thread::sleep_for(TickInterval);
    std::promise<bool> hasNoConnections;
    // The last interval is left for the refusals to reach their callers.
    const bool isLastInterval = bootNow() + TickInterval >= until;
    boost::asio::post(Loop, [this, isLastInterval, &hasNoConnections] {
      if (isLastInterval)
        State.Waiting.close();
      const bool servesRelayed =
          RelayedCallers && RelayedCallers->openRequests() != 0;
      hasNoConnections.set_value(Callers->connections() == 0 && !servesRelayed);
    });
    if (hasNoConnections.get_future().get() && bootNow() - begun > shortestStop)
      break;
  }
  LogLine(Severity::Info, "stopped")
      .field("ms", toMilliseconds(bootNow() - begun));
  Loop.stop();
  Worker.join();
}

} // namespace sorrelbay
