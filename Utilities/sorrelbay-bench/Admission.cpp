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

/// Who asks: the share of the offered load, and what is asked.
struct Source {
  const char *Team;
  /// Of what the engines can take.
  double Load;
  int Priority;
  Duration Deadline;
  bool IsSmall;
};

/// Twice the capacity: two large teams send most of it, three small ones stay
/// below an even share, and one of them also sends alarms.
const Source Sources[] = {
    {"large 1", 0.95, 0, milliseconds(1500), false},
    {"large 2", 0.70, 0, milliseconds(1500), false},
    {"small 1", 0.10, 0, milliseconds(1500), true},
    {"small 2", 0.10, 0, milliseconds(1500), true},
    {"small 3", 0.10, 0, milliseconds(1500), true},
    {"small 3", 0.05, 9, milliseconds(1000), true},
};

constexpr double MeanService = 0.25;
constexpr Duration Way = milliseconds(1);
constexpr Duration RunFor = minutes(5);
constexpr Duration WarmUp = minutes(1);
constexpr Duration TickEvery = milliseconds(50);
constexpr int MostAttempts = 4;
/// A caller that hears nothing by its deadline asks again after this.
constexpr Duration RepeatAfter = milliseconds(500);
/// First tokens that each engine owes at once; enough to keep it busy, few
/// enough that what is sent starts soon.
constexpr double OpenPerReplica = 1.5;

struct Call {
  std::uint64_t Id = 0;
  std::size_t From = 0;
  std::size_t EntryHost = 0;
  int Attempt = 1;
  double ServiceSeconds = 0;
  Instant ArrivedAt;
  Instant Deadline;
};

/// One engine: prompts one after the other.
struct EngineStandIn {
  Instant FreeAt{};
};

/// What a policy does at one entry host.
struct Gate {
  std::function<std::vector<AdmissionAction>(const QueuedCall &, Instant)>
      Arrive;
  std::function<std::vector<AdmissionAction>(std::uint64_t, Instant)> Finish;
  std::function<std::vector<AdmissionAction>(Instant)> Tick;
  /// The caller has gone.
  std::function<std::vector<AdmissionAction>(std::uint64_t, Instant)> Cancel;
};

int placesOf(const Deployment &deployment) {
  return std::max(1, static_cast<int>(OpenPerReplica * deployment.Replicas /
                                      deployment.EntryHosts));
}

Gate fifoGate(const Deployment &deployment, bool dropsGone) {
  struct State {
    std::deque<std::uint64_t> Waiting;
    int Free;
  };
  const auto state = std::make_shared<State>();
  state->Free = placesOf(deployment);
  const auto startNext = [state] {
    std::vector<AdmissionAction> actions;
    while (state->Free > 0 && !state->Waiting.empty()) {
      actions.push_back({AdmissionKind::Start, state->Waiting.front(),
                         AdmissionRefusalCause::None, Duration{}});
      state->Waiting.pop_front();
      --state->Free;
    }
    return actions;
  };
  return {[state, startNext](const QueuedCall &call, Instant) {
            state->Waiting.push_back(call.Id);
            return startNext();
          },
          [state, startNext](std::uint64_t, Instant) {
            ++state->Free;
            return startNext();
          },
          [](Instant) { return std::vector<AdmissionAction>(); },
          [state, dropsGone](std::uint64_t id, Instant) {
            if (dropsGone)
              state->Waiting.erase(
                  std::remove(state->Waiting.begin(), state->Waiting.end(), id),
                  state->Waiting.end());
            return std::vector<AdmissionAction>();
          }};
}

Gate admissionGate(const Deployment &deployment) {
  AdmissionSettings settings;
  settings.CallSlots = placesOf(deployment);
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
  std::function<Gate(const Deployment &)> Make;
};

struct Outcome {
  double UsefulSeconds = 0;
  std::array<int, std::size(Sources)> Asked{};
  std::array<int, std::size(Sources)> InTime{};
  std::array<int, std::size(Sources)> InTimeAtOnce{};
  double Refused = 0;
  double RefusedOnArrival = 0;
  std::map<std::int64_t, int> ReturnsBySecond;
};

/// One run: calls come to the entry hosts at twice the engines' capacity;
/// refused callers come back when they were told to, callers that hear
/// nothing by their deadline ask again soon.
class Run {
public:
  Run(const Deployment &deployment, const Policy &policy, std::uint64_t seed)
      : On(deployment), Random(seed),
        Engines(static_cast<std::size_t>(deployment.Replicas)) {
    for (int n = 0; n < On.EntryHosts; ++n)
      Gates.push_back(policy.Make(On));
  }

  Outcome run() {
    for (std::size_t n = 0; n < std::size(Sources); ++n)
      arrive(n);
    tick();
    Queue.runUntil(Instant(RunFor));
    return Result;
  }

private:
  bool isCounted() const { return Queue.now() >= Instant(WarmUp); }

  double exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(Random);
  }

  void arrive(std::size_t from) {
    const double rate = Sources[from].Load * On.Replicas / MeanService;
    Queue.at(Queue.now() + fromSeconds(exponential(1 / rate)), [this, from] {
      Call call;
      call.From = from;
      // Prompts differ by a factor of three.
      call.ServiceSeconds = std::uniform_real_distribution<double>(
          MeanService / 2, MeanService * 1.5)(Random);
      if (isCounted())
        ++Result.Asked[from];
      ask(call);
      arrive(from);
    });
  }

  void ask(Call call) {
    const Source &source = Sources[call.From];
    call.Id = ++LastId;
    call.EntryHost = Random() % Gates.size();
    call.ArrivedAt = Queue.now();
    call.Deadline = Queue.now() + source.Deadline;
    Calls[call.Id] = call;
    const std::uint64_t id = call.Id;
    Queue.at(call.Deadline, [this, id] { giveUp(id); });
    take(call.EntryHost, Gates[call.EntryHost].Arrive(
                             {id, TeamId(source.Team), source.Priority,
                              call.ServiceSeconds / MeanService, call.Deadline},
                             Queue.now()));
  }

  void askAgain(Call call, Duration after) {
    if (++call.Attempt > MostAttempts)
      return;
    Queue.at(Queue.now() + after, [this, call] {
      ++Result.ReturnsBySecond[toMilliseconds(Queue.now().time_since_epoch()) /
                               1000];
      ask(call);
    });
  }

  /// The caller hears nothing by its deadline. What has been started for it is
  /// worked on to the end.
  void giveUp(std::uint64_t id) {
    const auto found = Calls.find(id);
    if (found == Calls.end() || Answered.count(id) != 0)
      return;
    const std::size_t host = found->second.EntryHost;
    if (Started.count(id) == 0)
      take(host, Gates[host].Cancel(id, Queue.now()));
    askAgain(found->second, RepeatAfter);
  }

  void take(std::size_t host, const std::vector<AdmissionAction> &actions) {
    for (const AdmissionAction &it : actions) {
      const Call call = Calls[it.CallId];
      if (it.Kind == AdmissionKind::Refuse) {
        Answered.insert(call.Id);
        if (isCounted())
          countRefused(call);
        askAgain(call, it.RetryAfter);
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
    EngineStandIn &engine =
        *std::min_element(Engines.begin(), Engines.end(),
                          [](const EngineStandIn &a, const EngineStandIn &b) {
                            return a.FreeAt < b.FreeAt;
                          });
    engine.FreeAt = std::max(engine.FreeAt, Queue.now() + Way) +
                    fromSeconds(call.ServiceSeconds);
    Queue.at(engine.FreeAt + Way, [this, host, call] {
      finish(call);
      take(host, Gates[host].Finish(call.Id, Queue.now()));
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
      ++Result.InTimeAtOnce[call.From];
  }

  void tick() {
    for (std::size_t n = 0; n < Gates.size(); ++n)
      take(n, Gates[n].Tick(Queue.now()));
    Queue.at(Queue.now() + TickEvery, [this] { tick(); });
  }

  const Deployment &On;
  std::mt19937_64 Random;
  EventQueue Queue;
  std::vector<EngineStandIn> Engines;
  std::vector<Gate> Gates;
  std::map<std::uint64_t, Call> Calls;
  std::set<std::uint64_t> Started;
  std::set<std::uint64_t> Answered;
  std::uint64_t LastId = 0;
  Outcome Result;
};

using CountBySource = std::array<int, std::size(Sources)>;

double percent(const CountBySource &answered, const CountBySource &asked,
               const std::function<bool(const Source &)> &counts) {
  double all = 0;
  double part = 0;
  for (std::size_t n = 0; n < std::size(Sources); ++n) {
    if (!counts(Sources[n]))
      continue;
    all += asked[n];
    part += answered[n];
  }
  return all > 0 ? 100 * part / all : 0;
}

/// The busiest second's returns beside the mean second's.
double peakOfReturns(const Outcome &outcome) {
  double most = 0;
  double sum = 0;
  double n = 0;
  for (const auto &it : outcome.ReturnsBySecond) {
    if (it.first < toMilliseconds(WarmUp) / 1000)
      continue;
    most = std::max(most, static_cast<double>(it.second));
    sum += it.second;
    ++n;
  }
  return n > 0 ? most / (sum / n) : 0;
}

std::vector<Figure> measure(const Deployment &deployment, const Policy &policy,
                            std::uint64_t seeds) {
  const bool isProduct = std::string(policy.Name) == "sorrelbay";
  const auto figure = [&](const char *name, const char *unit, const char *aim) {
    return Figure{deployment.Name,       policy.Name,         name, unit,
                  std::vector<double>(), isProduct ? aim : ""};
  };
  const auto isSmall = [](const Source &it) {
    return it.IsSmall && it.Priority == 0;
  };
  const auto isLarge = [](const Source &it) { return !it.IsSmall; };
  const auto isAlarm = [](const Source &it) { return it.Priority > 0; };
  Figure useful = figure("answers in time, of capacity", "%", ">= 90");
  Figure atOnce = figure("small teams' calls in time at first", "%", "~100");
  Figure small = figure("small teams' calls in time", "%", "~100");
  Figure large = figure("large teams' calls in time", "%", "");
  Figure alarms = figure("alarms in time at first", "%", "~100");
  Figure refused = figure("of the refused, on arrival", "%", "~100");
  Figure peak = figure("busiest second's returns, of the mean", "x", "");
  const double capacity = deployment.Replicas * toSeconds(RunFor - WarmUp);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Outcome it = Run(deployment, policy, seed).run();
    useful.Values.push_back(100 * it.UsefulSeconds / capacity);
    atOnce.Values.push_back(percent(it.InTimeAtOnce, it.Asked, isSmall));
    small.Values.push_back(percent(it.InTime, it.Asked, isSmall));
    large.Values.push_back(percent(it.InTime, it.Asked, isLarge));
    alarms.Values.push_back(percent(it.InTimeAtOnce, it.Asked, isAlarm));
    refused.Values.push_back(100 * it.RefusedOnArrival /
                             std::max(1.0, it.Refused));
    peak.Values.push_back(peakOfReturns(it));
  }
  return {useful, atOnce, small, large, alarms, refused, peak};
}

std::vector<Figure> run(const ExperimentOptions &options) {
  const Policy policies[] = {
      {"one FIFO queue",
       [](const Deployment &it) { return fifoGate(it, false); }},
      {"FIFO, gone ones dropped",
       [](const Deployment &it) { return fifoGate(it, true); }},
      {"sorrelbay", admissionGate}};
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
          "twice the capacity: who is answered, and who is told "
          "to come back",
          run};
}

} // namespace sorrelbay
