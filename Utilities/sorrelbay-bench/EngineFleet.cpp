#include "EngineFleet.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

namespace {

const ServiceId Service("model");
constexpr Duration Tick = milliseconds(5);
constexpr Duration ReportInterval = milliseconds(250);
constexpr Duration StartupTime = seconds(4);
constexpr double SpanSeconds = 2;
/// The part of its remaining time that a caller waits at most to return.
constexpr int ReturnDivisor = 3;
/// The logarithm's standard score above which a tenth of the sizes lie.
constexpr double LargestTenthScore = 1.2816;
/// Calls that arrive within this time after a burst count as part of it.
constexpr Duration BurstTail = seconds(1);

ZoneId zoneName(int zone) { return ZoneId("zone" + std::to_string(zone)); }

ScalingBounds boundsOf(const EngineFleetPlan &plan) {
  ScalingBounds bounds;
  bounds.MinReplicas = 1;
  bounds.MaxReplicas = plan.EnginesPerZone * 2;
  bounds.StartupTime = StartupTime;
  bounds.ReclaimablePrice = 0.22;
  return bounds;
}

EngineShape shapeOf(const EngineProfile &profile) {
  EngineShape shape;
  shape.Slots = profile.Slots;
  shape.MemoryTokens = profile.MemoryTokens;
  return shape;
}

} // namespace

std::vector<PromptKind> mixedPrompts(double perSecond) {
  return {
      {"long", perSecond * 0.26, 2900, 3800, 250, 50, milliseconds(1000), 1},
      {"middle", perSecond * 0.35, 1800, 550, 40, 25, milliseconds(800), 0},
      {"short", perSecond * 0.39, 550, 170, 40, 280, milliseconds(600), 2}};
}

EngineFleetPlan studiosPlan(double burst) {
  EngineFleetPlan plan;
  plan.Make = {125, 3.27, 0.08, 62, 1024, 12, 440000};
  plan.OrdersByPriority = true;
  plan.Hosts = 68;
  plan.Zones = 4;
  plan.EnginesPerZone = 16;
  plan.Seconds = 24;
  plan.SizeSpread = 0.2;
  plan.Kinds = {{"drafts", 166, 6610, 5382, 20, 40, milliseconds(1500), 2},
                {"replies", 83, 826, 0, 1, 40, milliseconds(400), 0},
                {"tags", 347, 2368, 0, 1, 40, milliseconds(400), 1}};
  plan.Load = {{0, 1}, {10, burst}, {17, 1}};
  plan.LoadKind = 0;
  plan.Table.Engines.Partition.ShortPromptTime = milliseconds(50);
  return plan;
}

double CallTally::firstTokenMs(double p) const {
  if (FirstTokenMs.empty())
    return 0;
  std::vector<double> sorted = FirstTokenMs;
  std::sort(sorted.begin(), sorted.end());
  return sorted[static_cast<std::size_t>(
      p * static_cast<double>(sorted.size() - 1))];
}

double EngineFleetResult::worstSpan() const {
  double worst = 1;
  for (const CallTally &it : BySpan)
    worst = std::min(worst, it.inTimeShare());
  return worst;
}

EngineFleet::EngineFleet(const EngineFleetPlan &plan)
    : Plan(plan), Random(plan.Seed),
      Replicas(boundsOf(plan), shapeOf(plan.Make), plan.Replicas) {
  std::vector<PromptRoute> routes;
  for (const PromptKind &it : plan.Kinds)
    routes.push_back({Service, RouteId(it.Name), it.CallerTime});
  for (int n = 0; n < plan.Hosts; ++n) {
    Hosts.push_back(std::make_unique<Host>(plan.Table));
    Hosts.back()->Waits.setRoutes(routes);
  }
  for (int n = 0; n < plan.EnginesPerZone; ++n)
    for (int zone = 0; zone < plan.Zones; ++zone)
      addEngine(zone, true);
  Engines.front().SlowdownFactor = plan.FirstEngineSlowdown;
  Result.ByKind.resize(plan.Kinds.size());
  Result.ByKindInBurst.resize(plan.Kinds.size());
  Result.LargestByKind.resize(plan.Kinds.size());
  Result.BySpan.resize(
      static_cast<std::size_t>(std::ceil(plan.Seconds / SpanSeconds)));
}

void EngineFleet::addEngine(int zone, bool isReclaimable) {
  Engine engine;
  engine.Id = UpstreamId("engine" + std::to_string(EnginesCreated++));
  engine.Zone = zone;
  engine.IsReclaimable = isReclaimable;
  publishRecord(engine);
  Engines.push_back(std::move(engine));
}

void EngineFleet::publishRecord(const Engine &engine) {
  ReplicaRecord record;
  record.Id = engine.Id;
  record.OfService = Service;
  record.InZone = zoneName(engine.Zone);
  record.Slots = Plan.Make.Slots;
  record.IsLeaving = engine.IsLeaving;
  record.IsReclaimable = engine.IsReclaimable;
  for (const auto &host : Hosts)
    host->Table.note(record, Now);
}

double EngineFleet::currentLoadFactor(std::size_t kind) const {
  double loadFactor = 1;
  if (Plan.LoadKind.value_or(kind) != kind)
    return loadFactor;
  for (const LoadStep &it : Plan.Load)
    if (Now - Start >= fromSeconds(it.AtSeconds))
      loadFactor = it.LoadFactor;
  return loadFactor;
}

bool EngineFleet::isInBurst() const {
  for (std::size_t n = 0; n < Plan.Load.size(); ++n) {
    const bool isLast = n + 1 == Plan.Load.size();
    if (Plan.Load[n].LoadFactor > 1 &&
        Now - Start >= fromSeconds(Plan.Load[n].AtSeconds) &&
        (isLast ||
         Now - Start < fromSeconds(Plan.Load[n + 1].AtSeconds) + BurstTail))
      return true;
  }
  return false;
}

std::vector<CallTally *> EngineFleet::talliesOf(const Call &call) {
  std::vector<CallTally *> out{
      &Result.All, &Result.ByKind[call.Kind], &Result.BySpan[call.Span],
      call.IsRepeat ? &Result.Repeats : &Result.FirstTries};
  if (call.IsLarge)
    out.push_back(&Result.LargestByKind[call.Kind]);
  if (call.IsInBurst)
    out.push_back(&Result.ByKindInBurst[call.Kind]);
  return out;
}

void EngineFleet::arrive(std::size_t kind) {
  const PromptKind &it = Plan.Kinds[kind];
  Call call;
  call.Kind = kind;
  call.Deadline = Now + it.CallerTime;
  std::lognormal_distribution<double> size(
      -Plan.SizeSpread * Plan.SizeSpread / 2, Plan.SizeSpread);
  const double factor = size(Random);
  const auto own =
      std::max<std::int64_t>(1, std::llround(it.OwnTokens * factor));
  call.IsLarge = std::log(factor) > LargestTenthScore * Plan.SizeSpread -
                                        Plan.SizeSpread * Plan.SizeSpread / 2;
  call.Tokens = own + it.SharedTokens;
  const auto conversation =
      Random() % static_cast<std::uint64_t>(it.Conversations);
  if (it.SharedTokens > 0)
    call.Prompt.push_back(
        {it.Name + std::to_string(conversation), it.SharedTokens});
  // A prompt without a shared part is a conversation of its own.
  call.Prompt.push_back(
      {it.SharedTokens > 0 ? "own" : "own" + std::to_string(Random()), own});
  call.OutputTokens =
      std::max(1, static_cast<int>(it.OutputTokens * size(Random)));
  placeCall(std::move(call));
}

void EngineFleet::returnCallers() {
  while (!Returns.empty() && Returns.begin()->first <= Now) {
    Call call = std::move(Returns.begin()->second);
    Returns.erase(Returns.begin());
    placeCall(std::move(call));
  }
}

bool EngineFleet::canEndInTime(Host &host, const Call &call,
                               const ReplicaChoice &choice) {
  const int priority = Plan.Kinds[call.Kind].Priority;
  const auto estimated = [this](Duration time) {
    return fromSeconds(toSeconds(time) * Plan.EstimateFactor);
  };
  const Duration wait =
      host.Times.firstToken(Service, priority, estimated(choice.Wait));
  if (wait > host.Waits.maxWait(Service))
    return false;
  const Duration firstToken =
      host.Times.firstToken(Service, priority, estimated(choice.FirstToken));
  return Now + firstToken +
             host.Times.shortestOutput(Service, call.OutputTokens) <=
         call.Deadline;
}

/// Records how long the call took. One that its caller has left would have
/// taken at least as long.
void EngineFleet::noteTimes(Engine &engine, const Call &call, bool isWhole) {
  if (call.Choice.Id != engine.Id || (!isWhole && Now <= call.Deadline))
    return;
  Host &host = *Hosts[call.Host];
  const int priority = Plan.Kinds[call.Kind].Priority;
  const Duration expected =
      fromSeconds(toSeconds(call.Choice.FirstToken) * Plan.EstimateFactor);
  if (call.FirstAt == Instant{}) {
    if (Now - call.SentAt > host.Times.firstToken(Service, priority, expected))
      host.Times.noteFirstToken(Service, priority, expected, Now - call.SentAt);
    return;
  }
  const Duration took = Now - call.FirstAt;
  if (isWhole || took > host.Times.output(Service, call.OutputTokens))
    host.Times.noteOutput(Service, call.OutputTokens, took);
}

void EngineFleet::refuse(const Call &call, Duration returnAfter) {
  Result.Decisions.push_back({CallCount, UpstreamId(), Now});
  for (CallTally *tally : talliesOf(call))
    ++tally->Refused;
  if (!Plan.DoCallersReturn || call.IsRepeat)
    return;
  Call repeat = call;
  repeat.IsRepeat = true;
  Returns.emplace(
      Now + std::min(returnAfter, (call.Deadline - Now) / ReturnDivisor),
      std::move(repeat));
}

void EngineFleet::placeCall(Call call) {
  const PromptKind &it = Plan.Kinds[call.Kind];
  ++CallCount;
  call.Host = Random() % Hosts.size();
  call.Span = static_cast<std::size_t>(toSeconds(Now - Start) / SpanSeconds);
  call.SentAt = Now;
  call.IsInBurst = isInBurst();
  call.OutputTokensLeft = call.OutputTokens;
  for (CallTally *tally : talliesOf(call))
    ++tally->OfferedCount;

  Host &host = *Hosts[call.Host];
  ReplicaRequest request;
  request.ForService = Service;
  request.Prompt = call.Prompt;
  request.PromptTokens = call.Tokens;
  request.Seed = Random();
  request.Hosts = Plan.Hosts;
  const auto choice = host.Table.choose(request, Now);
  if (!choice) {
    finish(Engines.front(), call, false);
    return;
  }
  const EngineModel &model = host.Table.modelOf(Service);
  const double prefillMs =
      model.prefillTime(static_cast<double>(choice->TokensToPrefill));
  host.Demand.note(Service, prefillMs, Now);
  if (host.Table.engines().isShort(Service, call.Tokens))
    host.ShortDemand.note(
        Service, host.Table.engines().steadyPrefillTime(Service, call.Tokens),
        Now);
  if (Plan.RefusesLateCalls && model.hasEnoughSamples() &&
      !canEndInTime(host, call, *choice))
    return refuse(call, choice->Wait);
  Result.Decisions.push_back({CallCount, choice->Id, Now});
  host.Waits.noteSent(Service, RouteId(it.Name),
                      fromSeconds(prefillMs / 1000) +
                          host.Times.output(Service, call.OutputTokens));
  call.Choice = *choice;
  call.Work = {choice->TokensToPrefill, call.Tokens};
  host.Table.noteSent(choice->Id, call.Work, Now);
  host.Table.notePrompt(choice->Id, call.Prompt, Now);
  const auto engine =
      std::find_if(Engines.begin(), Engines.end(),
                   [&](const Engine &it) { return it.Id == choice->Id; });
  if (!Plan.OrdersByPriority) {
    engine->Prefilling.push_back(std::move(call));
    return;
  }
  const auto behind = std::find_if(
      engine->Waiting.begin(), engine->Waiting.end(), [&](const Call &waiting) {
        return Plan.Kinds[waiting.Kind].Priority > it.Priority;
      });
  engine->Waiting.insert(behind, std::move(call));
}

/// Returns the prompt tokens that the engine has to prefill, and adds the
/// shared parts of the prompt to its cache.
double EngineFleet::tokensUncached(Engine &engine, const Call &call) {
  double left = static_cast<double>(call.Tokens);
  for (std::size_t n = 0; n + 1 < call.Prompt.size(); ++n) {
    const PromptPart &part = call.Prompt[n];
    const auto [it, isNew] =
        engine.Cached.emplace(part.Id, std::make_pair(Now, part.Tokens));
    it->second.first = Now;
    if (!isNew) {
      left -= static_cast<double>(part.Tokens);
      continue;
    }
    Result.RecomputedSharedTokens += part.Tokens;
    engine.CachedTokens += part.Tokens;
  }
  while (engine.CachedTokens > Plan.Make.MemoryTokens) {
    const auto oldest = std::min_element(
        engine.Cached.begin(), engine.Cached.end(),
        [](const auto &a, const auto &b) { return a.second < b.second; });
    engine.CachedTokens -= oldest->second.second;
    engine.Cached.erase(oldest);
  }
  return left;
}

void EngineFleet::emitFirstToken(Engine &engine, Call &call) {
  call.FirstAt = Now + fromSeconds(Plan.Make.FirstMs / 1000);
  Host &host = *Hosts[call.Host];
  host.Table.noteFirstByte(engine.Id, call.Work);
  const FirstTokenSample firstTokenSample{call.Choice.TokensToPrefill +
                                              call.Choice.TokensAhead,
                                          call.FirstAt - call.SentAt};
  host.Table.noteFirstToken(engine.Id, firstTokenSample, Now);
  host.Times.noteFirstToken(
      Service, Plan.Kinds[call.Kind].Priority,
      fromSeconds(toSeconds(call.Choice.FirstToken) * Plan.EstimateFactor),
      call.FirstAt - call.SentAt);
}

void EngineFleet::finish(Engine &engine, Call &call, bool isWhole) {
  const bool hasFirst = call.FirstAt != Instant{};
  if (call.Choice.Id == engine.Id)
    Hosts[call.Host]->Table.noteEnded(
        engine.Id, call.Work, hasFirst,
        isWhole ? SendResult::Answered : SendResult::Broken, Now);
  const bool isInTime =
      isWhole && call.FirstAt - call.SentAt <= Plan.Kinds[call.Kind].Target;
  noteTimes(engine, call, isWhole);
  const bool isAnswered = isWhole && Now <= call.Deadline;
  Result.TokensOfWork += call.TokensDone;
  Result.TokensInVain += isAnswered ? 0 : call.TokensDone;
  for (CallTally *tally : talliesOf(call)) {
    tally->Answered += isAnswered ? 1 : 0;
    ++(isInTime ? tally->InTime : isWhole ? tally->Late : tally->Failed);
    if (hasFirst)
      tally->FirstTokenMs.push_back(toSeconds(call.FirstAt - call.SentAt) *
                                    1000);
  }
}

/// Ends the calls whose callers have left, as engines do when the connection
/// closes.
void EngineFleet::abandon(std::list<Call> &calls, Engine &engine) {
  for (auto it = calls.begin(); it != calls.end();) {
    if (it->Deadline >= Now) {
      ++it;
      continue;
    }
    finish(engine, *it, false);
    it = calls.erase(it);
  }
}

/// Moves waiting calls to free slots, those of the highest priority first.
void EngineFleet::startWaiting(Engine &engine) {
  while (!engine.Waiting.empty() &&
         engine.Prefilling.size() + engine.Decoding.size() <
             static_cast<std::size_t>(Plan.Make.Slots))
    engine.Prefilling.splice(engine.Prefilling.end(), engine.Waiting,
                             engine.Waiting.begin());
}

/// Simulates one step of the engine: decodes a token for each running stream
/// and prefills up to one chunk of the waiting prompts in order.
void EngineFleet::step(Engine &engine) {
  for (auto *calls : {&engine.Waiting, &engine.Prefilling, &engine.Decoding})
    abandon(*calls, engine);
  for (auto it = engine.Decoding.begin(); it != engine.Decoding.end();) {
    ++Tokens;
    ++it->TokensDone;
    if (--it->OutputTokensLeft > 0) {
      ++it;
      continue;
    }
    finish(engine, *it, true);
    it = engine.Decoding.erase(it);
  }
  startWaiting(engine);
  double tokenBudget = Plan.Make.Chunk;
  double prefilledTokens = 0;
  auto it = engine.Prefilling.begin();
  while (it != engine.Prefilling.end() && tokenBudget > 0 &&
         engine.Decoding.size() < static_cast<std::size_t>(Plan.Make.Slots)) {
    if (it->PromptTokensLeft < 0)
      it->PromptTokensLeft = tokensUncached(engine, *it);
    const double part = std::min(tokenBudget, it->PromptTokensLeft);
    it->PromptTokensLeft -= part;
    it->TokensDone += part;
    tokenBudget -= part;
    prefilledTokens += part;
    if (it->PromptTokensLeft > 0)
      break;
    emitFirstToken(engine, *it);
    engine.Decoding.push_back(std::move(*it));
    it = engine.Prefilling.erase(it);
  }
  if (engine.Decoding.empty() && prefilledTokens == 0)
    return;
  const double stepMs =
      engine.SlowdownFactor *
      (Plan.Make.StepMs + prefilledTokens / Plan.Make.TokensPerMs +
       Plan.Make.StepMsPerStream * static_cast<double>(engine.Decoding.size()));
  TotalTokenMs += stepMs * static_cast<double>(engine.Decoding.size());
  engine.StepEnds = std::max(engine.StepEnds, Now) + fromSeconds(stepMs / 1000);
}

void EngineFleet::removeEngine(Engine &engine, bool isLost) {
  for (auto *calls : {&engine.Waiting, &engine.Prefilling, &engine.Decoding})
    for (Call &it : *calls)
      finish(engine, it, !isLost);
  for (const auto &host : Hosts)
    host->Table.remove(engine.Id);
}

void EngineFleet::exchangePeerReports() {
  for (std::size_t from = 0; from < Hosts.size(); ++from)
    for (std::size_t to = 0; to < Hosts.size(); ++to) {
      if (from == to)
        continue;
      const SourceId source(std::to_string(from));
      Hosts[to]->Table.notePeer(source, Hosts[from]->Table.ownWork());
      Hosts[to]->Demand.notePeer(source, Hosts[from]->Demand.own(Now));
      Hosts[to]->ShortDemand.notePeer(source,
                                      Hosts[from]->ShortDemand.own(Now));
    }
}

void EngineFleet::updateReserved() {
  ShortPromptLoad load;
  load.Hosts = Plan.Hosts;
  for (const auto &host : Hosts) {
    load.Demand = host->ShortDemand.total(Service, Now);

    host->Table.updateReserved(Service, load, Now);
  }
}

bool EngineFleet::lacksReclaimableHosts(int zone) const {
  return std::any_of(Plan.ZoneReclaims.begin(), Plan.ZoneReclaims.end(),
                     [&](const ZoneReclaim &it) {
                       const double at = toSeconds(Now - Start);
                       return it.Zone == zone && at >= it.AtSeconds &&
                              at < it.AtSeconds + it.UnavailableSeconds;
                     });
}

/// Marks the reclaimable engines of zones with a reclaim notice as leaving, and
/// removes them when the notice expires.
void EngineFleet::reclaimZones() {
  for (const ZoneReclaim &zoneReclaim : Plan.ZoneReclaims) {
    const double at = toSeconds(Now - Start) - zoneReclaim.AtSeconds;
    for (auto it = Engines.begin(); it != Engines.end();) {
      const bool isInReclaimedZone =
          it->Zone == zoneReclaim.Zone && it->IsReclaimable;
      if (isInReclaimedZone && at >= 0 && !it->IsLeaving) {
        it->IsLeaving = true;
        publishRecord(*it);
      }
      if (isInReclaimedZone && it->IsLeaving &&
          at >= zoneReclaim.NoticeSeconds &&
          at < zoneReclaim.NoticeSeconds + 1) {
        removeEngine(*it, true);
        it = Engines.erase(it);
      } else {
        ++it;
      }
    }
  }
}

void EngineFleet::setCount(const ReplicaOrder &order) {
  int replicaCount = 0;
  for (Engine &it : Engines)
    if (zoneName(it.Zone) == order.Zone && !it.IsLeaving &&
        it.IsReclaimable == order.IsReclaimable &&
        ++replicaCount > order.Count) {
      it.IsLeaving = true;
      publishRecord(it);
    }
  const int zone = std::stoi(order.Zone.text().substr(4));
  for (; replicaCount < order.Count; ++replicaCount)
    addEngine(zone, order.IsReclaimable);
}

void EngineFleet::scale() {
  std::map<ZoneId, ZoneReplicas> replicasByZone;
  for (int zone = 0; zone < Plan.Zones; ++zone)
    replicasByZone[zoneName(zone)].HasReclaimNotice = false;
  for (const Engine &it : Engines) {
    ZoneReplicas &zone = replicasByZone[zoneName(it.Zone)];
    if (it.IsLeaving)
      zone.HasReclaimNotice =
          zone.HasReclaimNotice ||
          (it.IsReclaimable && lacksReclaimableHosts(it.Zone));
    else
      ++(it.IsReclaimable ? zone.Reclaimable : zone.OnDemand);
  }
  const auto work = Hosts.front()->Table.serviceWork(Service, Now);
  ServiceLoad load;
  load.OpenCalls = work.Calls;
  load.OpenTokens = work.Tokens;
  load.EngineSeconds = Hosts.front()->Demand.total(Service, Now);
  for (const ReplicaOrder &it :
       Replicas.orders(Service, replicasByZone, load, Now)) {
    const int zone = std::stoi(it.Zone.text().substr(4));
    const ZoneReplicas &zoneReplicas = replicasByZone[it.Zone];
    const bool isMore = it.Count > (it.IsReclaimable ? zoneReplicas.Reclaimable
                                                     : zoneReplicas.OnDemand);
    if (it.IsReclaimable && isMore && lacksReclaimableHosts(zone)) {
      Replicas.noteResult(it, CloudResult::NoneAvailable, Now);
      continue;
    }
    Replicas.noteResult(it, CloudResult::Accepted, Now);
    if (isMore)
      Orders.push_back({Now + StartupTime, it});
    else
      setCount(it);
  }
}

EngineFleetResult EngineFleet::play() {
  const Instant end = Start + seconds(Plan.Seconds);
  Instant reportAt = Now;
  for (; Now < end; Now += Tick) {
    for (std::size_t kind = 0; kind < Plan.Kinds.size(); ++kind) {
      const double mean = Plan.Kinds[kind].PerSecond * currentLoadFactor(kind) *
                          toSeconds(Tick);
      for (int n = std::poisson_distribution<int>(mean)(Random); n > 0; --n)
        arrive(kind);
    }
    returnCallers();
    reclaimZones();
    for (Engine &it : Engines)
      while (
          it.StepEnds <= Now &&
          !(it.Waiting.empty() && it.Prefilling.empty() && it.Decoding.empty()))
        step(it);
    for (auto it = Engines.begin(); it != Engines.end();) {
      const bool hasDrained = it->IsLeaving && it->Waiting.empty() &&
                              it->Prefilling.empty() && it->Decoding.empty() &&
                              Engines.size() > 1;
      if (hasDrained)
        removeEngine(*it, false);
      it = hasDrained ? Engines.erase(it) : std::next(it);
    }
    Result.EngineSeconds +=
        static_cast<double>(Engines.size()) * toSeconds(Tick);
    while (!Orders.empty() && Orders.front().At <= Now) {
      setCount(Orders.front().Order);
      Orders.pop_front();
    }
    if (Now < reportAt)
      continue;
    reportAt += ReportInterval;
    exchangePeerReports();
    updateReserved();
    if (Plan.IsScaled)
      scale();
  }
  for (Engine &engine : Engines)
    for (auto *calls : {&engine.Waiting, &engine.Prefilling, &engine.Decoding})
      for (Call &it : *calls)
        finish(engine, it, it.FirstAt != Instant{});
  Result.Reserved = Hosts.front()->Table.engines().reserved(Service);
  Result.MeanTokenMs =
      Tokens == 0 ? 0 : TotalTokenMs / static_cast<double>(Tokens);
  return Result;
}

} // namespace sorrelbay
