#include "LibDecision/Admission.h"
#include "EventQueue.h"
#include "Experiment.h"
#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace sorrelbay {

namespace {

struct Deployment {
  const char *Name;
  int Replicas;
  int EntryHosts;
};

const Deployment Deployments[] = {{"Tablón Sur", 9, 6}, {"Caltagirone", 12, 7}};

/// A source of calls of one team and priority.
struct LoadSource {
  const char *Team;
  /// Offered load as a share of the capacity of all engines.
  double Load;
  int Priority;
  Duration Deadline;
  bool IsSmall;
};

/// Offers twice the capacity: two large teams send most of it, three small
/// teams stay below an equal share, and one of these also sends alarms of high
/// priority.
const LoadSource LoadSources[] = {
    {"large 1", 0.95, 0, milliseconds(1500), false},
    {"large 2", 0.70, 0, milliseconds(1500), false},
    {"small 1", 0.10, 0, milliseconds(1500), true},
    {"small 2", 0.10, 0, milliseconds(1500), true},
    {"small 3", 0.10, 0, milliseconds(1500), true},
    {"small 3", 0.05, 9, milliseconds(1000), true},
};

constexpr double MeanService = 0.25;
constexpr Duration OneWayLatency = milliseconds(1);
constexpr Duration SimulatedSpan = minutes(5);
constexpr Duration WarmUp = minutes(1);
constexpr Duration AdmissionTickPeriod = milliseconds(50);
constexpr int MaxCallAttempts = 4;
/// Delay after which a caller retries a call that had no response by its
/// deadline.
constexpr Duration CallerRetryDelay = milliseconds(500);
/// Call slots per engine, divided among the entry hosts: enough to keep the
/// engines busy, and few enough that a call that was sent starts soon.
constexpr double CallSlotsPerReplica = 1.5;

struct Call {
  std::uint64_t Id = 0;
  std::size_t From = 0;
  std::size_t EntryHost = 0;
  int Attempt = 1;
  double ServiceSeconds = 0;
  Instant ArrivedAt;
  Instant Deadline;
};

/// A simulated engine, which processes prompts one after the other.
struct SimulatedEngine {
  Instant FreeAt{};
};

/// The queue of calls at one entry host, as a policy handles its events.
struct EntryQueue {
  std::function<std::vector<AdmissionAction>(const QueuedCall &, Instant)>
      Arrive;
  std::function<std::vector<AdmissionAction>(std::uint64_t, Instant)> Finish;
  std::function<std::vector<AdmissionAction>(Instant)> Tick;
  /// Handles a caller's disconnect.
  std::function<std::vector<AdmissionAction>(std::uint64_t, Instant)> Cancel;
};

int callSlotsOf(const Deployment &deployment) {
  return std::max(1,
                  static_cast<int>(CallSlotsPerReplica * deployment.Replicas /
                                   deployment.EntryHosts));
}

EntryQueue fifoQueue(const Deployment &deployment, bool dropsDisconnected) {
  struct State {
    std::deque<std::uint64_t> WaitingCalls;
    int FreeSlots;
  };
  const auto state = std::make_shared<State>();
  state->FreeSlots = callSlotsOf(deployment);
  const auto startNext = [state] {
    std::vector<AdmissionAction> actions;
    while (state->FreeSlots > 0 && !state->WaitingCalls.empty()) {
      actions.push_back({AdmissionKind::Start, state->WaitingCalls.front(),
                         AdmissionRefusalCause::None, Duration{}});
      state->WaitingCalls.pop_front();
      --state->FreeSlots;
    }
    return actions;
  };
  return {[state, startNext](const QueuedCall &call, Instant) {
            state->WaitingCalls.push_back(call.Id);
            return startNext();
          },
          [state, startNext](std::uint64_t, Instant) {
            ++state->FreeSlots;
            return startNext();
          },
          [](Instant) { return std::vector<AdmissionAction>(); },
          [state, dropsDisconnected](std::uint64_t id, Instant) {
            if (dropsDisconnected)
              state->WaitingCalls.erase(std::remove(state->WaitingCalls.begin(),
                                                    state->WaitingCalls.end(),
                                                    id),
                                        state->WaitingCalls.end());
            return std::vector<AdmissionAction>();
          }};
}

EntryQueue admissionQueue(const Deployment &deployment) {
  AdmissionSettings settings;
  settings.CallSlots = callSlotsOf(deployment);
  settings.InitialDrainRate =
      deployment.Replicas / MeanService / deployment.EntryHosts;
  const auto admission = std::make_shared<Admission>(settings);
  return {[admission](const QueuedCall &call, Instant at) {
            return admission->arrive(call, at);
          },
          [admission](std::uint64_t id, Instant at) {
            return admission->finish(id, at);
          },
          [admission](Instant at) { return admission->tick(at); },
          [admission](std::uint64_t id, Instant at) {
            return admission->cancel(id, at);
          }};
}

struct Policy {
  const char *Name;
  std::function<EntryQueue(const Deployment &)> Make;
};

struct Outcome {
  double UsefulSeconds = 0;
  std::array<int, std::size(LoadSources)> OfferedCount{};
  std::array<int, std::size(LoadSources)> InTime{};
  std::array<int, std::size(LoadSources)> InTimeAtFirst{};
  double Refused = 0;
  double RefusedOnArrival = 0;
  std::map<std::int64_t, int> RetriesBySecond;
};

/// One run: calls arrive at the entry hosts at twice the engines' capacity. A
/// refused call is retried after the delay given in its refusal, and a call
/// without a response by its deadline after CallerRetryDelay.
class Run {
public:
  Run(const Deployment &deployment, const Policy &policy, std::uint64_t seed)
      : ModeledDeployment(deployment), Random(seed),
        Engines(static_cast<std::size_t>(deployment.Replicas)) {
    for (int n = 0; n < ModeledDeployment.EntryHosts; ++n)
      EntryQueues.push_back(policy.Make(ModeledDeployment));
  }

  Outcome run() {
    for (std::size_t n = 0; n < std::size(LoadSources); ++n)
      arrive(n);
    tick();
    Queue.runUntil(Instant(SimulatedSpan));
    return Result;
  }

private:
  bool isCounted() const { return Queue.now() >= Instant(WarmUp); }

  double exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(Random);
  }

  void arrive(std::size_t from) {
    const double rate =
        LoadSources[from].Load * ModeledDeployment.Replicas / MeanService;
    Queue.scheduleAt(
        Queue.now() + fromSeconds(exponential(1 / rate)), [this, from] {
          Call call;
          call.From = from;
          // The longest prompt takes three times as long as the shortest.
          call.ServiceSeconds = std::uniform_real_distribution<double>(
              MeanService / 2, MeanService * 1.5)(Random);
          if (isCounted())
            ++Result.OfferedCount[from];
          sendCall(call);
          arrive(from);
        });
  }

  void sendCall(Call call) {
    const LoadSource &source = LoadSources[call.From];
    call.Id = ++LastId;
    call.EntryHost = Random() % EntryQueues.size();
    call.ArrivedAt = Queue.now();
    call.Deadline = Queue.now() + source.Deadline;
    Calls[call.Id] = call;
    const std::uint64_t id = call.Id;
    Queue.scheduleAt(call.Deadline, [this, id] { expireCall(id); });
    performActions(call.EntryHost,
                   EntryQueues[call.EntryHost].Arrive(
                       {id, TeamId(source.Team), source.Priority,
                        call.ServiceSeconds / MeanService, call.Deadline},
                       Queue.now()));
  }

  void retryCall(Call call, Duration after) {
    if (++call.Attempt > MaxCallAttempts)
      return;
    Queue.scheduleAt(Queue.now() + after, [this, call] {
      ++Result.RetriesBySecond[toMilliseconds(Queue.now().time_since_epoch()) /
                               1000];
      sendCall(call);
    });
  }

  /// Retries a call without a response by its deadline. A call that was already
  /// started still occupies its engine to the end.
  void expireCall(std::uint64_t id) {
    const auto found = Calls.find(id);
    if (found == Calls.end() || Answered.count(id) != 0)
      return;
    const std::size_t host = found->second.EntryHost;
    if (Started.count(id) == 0)
      performActions(host, EntryQueues[host].Cancel(id, Queue.now()));
    retryCall(found->second, CallerRetryDelay);
  }

  void performActions(std::size_t host,
                      const std::vector<AdmissionAction> &actions) {
    for (const AdmissionAction &it : actions) {
      const Call call = Calls[it.CallId];
      if (it.Kind == AdmissionKind::Refuse) {
        Answered.insert(call.Id);
        if (isCounted())
          countRefused(call);
        retryCall(call, it.RetryAfter);
        continue;
      }
      start(host, call);
    }
  }

  void countRefused(const Call &call) {
    ++Result.Refused;
    if (Queue.now() == call.ArrivedAt)
      ++Result.RefusedOnArrival;
  }

  void start(std::size_t host, const Call &call) {
    Started.insert(call.Id);
    SimulatedEngine &engine = *std::min_element(
        Engines.begin(), Engines.end(),
        [](const SimulatedEngine &a, const SimulatedEngine &b) {
          return a.FreeAt < b.FreeAt;
        });
    engine.FreeAt = std::max(engine.FreeAt, Queue.now() + OneWayLatency) +
                    fromSeconds(call.ServiceSeconds);
    Queue.scheduleAt(engine.FreeAt + OneWayLatency, [this, host, call] {
      finish(call);
      performActions(host, EntryQueues[host].Finish(call.Id, Queue.now()));
    });
  }

  void finish(const Call &call) {
    if (Queue.now() > call.Deadline)
      return;
    Answered.insert(call.Id);
    if (!isCounted())
      return;
    Result.UsefulSeconds += call.ServiceSeconds;
    ++Result.InTime[call.From];
    if (call.Attempt == 1)
      ++Result.InTimeAtFirst[call.From];
  }

  void tick() {
    for (std::size_t n = 0; n < EntryQueues.size(); ++n)
      performActions(n, EntryQueues[n].Tick(Queue.now()));
    Queue.scheduleAt(Queue.now() + AdmissionTickPeriod, [this] { tick(); });
  }

  const Deployment &ModeledDeployment;
  std::mt19937_64 Random;
  EventQueue Queue;
  std::vector<SimulatedEngine> Engines;
  std::vector<EntryQueue> EntryQueues;
  std::map<std::uint64_t, Call> Calls;
  std::set<std::uint64_t> Started;
  std::set<std::uint64_t> Answered;
  std::uint64_t LastId = 0;
  Outcome Result;
};

using CountBySource = std::array<int, std::size(LoadSources)>;

double percent(const CountBySource &answered,
               const CountBySource &offeredCounts,
               const std::function<bool(const LoadSource &)> &counts) {
  double all = 0;
  double part = 0;
  for (std::size_t n = 0; n < std::size(LoadSources); ++n) {
    if (!counts(LoadSources[n]))
      continue;
    all += offeredCounts[n];
    part += answered[n];
  }
  return all > 0 ? 100 * part / all : 0;
}

/// Most retries in one second, divided by the mean over all seconds with
/// retries.
double peakRetryRatio(const Outcome &outcome) {
  double busiest = 0;
  double sum = 0;
  double n = 0;
  for (const auto &it : outcome.RetriesBySecond) {
    if (it.first < toMilliseconds(WarmUp) / 1000)
      continue;
    busiest = std::max(busiest, static_cast<double>(it.second));
    sum += it.second;
    ++n;
  }
  return n > 0 ? busiest / (sum / n) : 0;
}

std::vector<Figure> measure(const Deployment &deployment, const Policy &policy,
                            std::uint64_t seeds) {
  const bool isProduct = std::string(policy.Name) == "sorrelbay";
  const auto figure = [&](const char *name, const char *unit, const char *aim) {
    return Figure{deployment.Name,       policy.Name,         name, unit,
                  std::vector<double>(), isProduct ? aim : ""};
  };
  const auto isSmall = [](const LoadSource &it) {
    return it.IsSmall && it.Priority == 0;
  };
  const auto isLarge = [](const LoadSource &it) { return !it.IsSmall; };
  const auto isAlarm = [](const LoadSource &it) { return it.Priority > 0; };
  Figure useful = figure("answers in time, of capacity", "%", ">= 90");
  Figure inTimeAtFirst =
      figure("small teams' calls in time at first", "%", "~100");
  Figure small = figure("small teams' calls in time", "%", "~100");
  Figure large = figure("large teams' calls in time", "%", "");
  Figure alarms = figure("alarms in time at first", "%", "~100");
  Figure refused = figure("of the refused, on arrival", "%", "~100");
  Figure peak = figure("busiest second's returns, of the mean", "x", "");
  const double capacity =
      deployment.Replicas * toSeconds(SimulatedSpan - WarmUp);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Outcome it = Run(deployment, policy, seed).run();
    useful.Values.push_back(100 * it.UsefulSeconds / capacity);
    inTimeAtFirst.Values.push_back(
        percent(it.InTimeAtFirst, it.OfferedCount, isSmall));
    small.Values.push_back(percent(it.InTime, it.OfferedCount, isSmall));
    large.Values.push_back(percent(it.InTime, it.OfferedCount, isLarge));
    alarms.Values.push_back(
        percent(it.InTimeAtFirst, it.OfferedCount, isAlarm));
    refused.Values.push_back(100 * it.RefusedOnArrival /
                             std::max(1.0, it.Refused));
    peak.Values.push_back(peakRetryRatio(it));
  }
  return {useful, inTimeAtFirst, small, large, alarms, refused, peak};
}

std::vector<Figure> run(const ExperimentOptions &options) {
  const Policy policies[] = {
      {"one FIFO queue",
       [](const Deployment &it) { return fifoQueue(it, false); }},
      {"FIFO, drops cancelled",
       [](const Deployment &it) { return fifoQueue(it, true); }},
      {"sorrelbay", admissionQueue}};
  std::vector<Figure> figures;
  for (const Deployment &deployment : Deployments)
    for (const Policy &policy : policies)
      for (Figure &it : measure(deployment, policy, options.Seeds))
        figures.push_back(std::move(it));
  return figures;
}

} // namespace

Experiment admissionExperiment() {
  return {"admission",
          "admission and refusals by team at twice the capacity of the "
          "engines",
          run};
}

} // namespace sorrelbay
