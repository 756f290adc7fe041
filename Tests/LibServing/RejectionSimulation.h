#pragma once

#include "SimulatedHost.h"
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sorrelbay {

/// A mechanism that can be disabled, to verify that the checks detect its
/// absence.
enum class RejectionOmission {
  Nothing,
  /// Hosts don't learn which upstreams fail when they reject too many calls.
  Statements,
  /// Each host takes all rejections that an upstream bears.
  Division,
};

/// The parameters of one random run. Values are drawn from the seed.
struct RejectionPlan {
  std::uint64_t Seed = 0;
  int Hosts = 6;
  int Zones = 4;
  /// Calls that callers send, as a share of what the upstreams can run.
  double Load = 1.2;
  /// Hosts are killed and started again, frozen, and disconnected from others;
  /// upstreams crash.
  bool HasFaults = true;
  RejectionOmission Without = RejectionOmission::Nothing;
};

/// Several hosts that send calls to the upstreams of one service. For a while
/// the upstreams state in their responses how many rejections a second they
/// bear; from 3 s later on they let fewer calls wait, and one that rejects more
/// fails and starts again some seconds later. Simulated time; the hosts'
/// decisions and reports are the daemon's code. The check is the platform's
/// rule: in one such time, not more than 2 and a tenth of the upstreams fail,
/// those aside most of whose rejections were caused by hosts that were
/// restarted, frozen or disconnected. Besides, the upstreams must stay busy
/// meanwhile.
class RejectionSimulation {
public:
  explicit RejectionSimulation(const RejectionPlan &plan);

  /// Runs the given number of seconds and returns the first violated rule;
  /// empty if there is none.
  std::string simulate(int seconds);

  int failures() const { return FailureCount; }
  int faults() const { return FaultCount; }
  int brittleTimes() const { return BrittleTimes; }
  /// The calls that ran in brittle times, as a share of what could have run.
  double use() const {
    return CallsPossible > 0 ? CallsRun / CallsPossible : 0;
  }

private:
  struct Host : SimulatedHost {
    Instant CutUntil{};
    /// Until then the rule does not hold for the host.
    Instant ExcusedUntil{};
  };
  struct Rejection {
    Instant At{};
    bool IsExcused = false;
  };
  struct Upstream {
    ReplicaRecord Record;
    bool IsDown = false;
    Instant StartAt{};
    int Running = 0;
    int Waiting = 0;
    std::deque<Rejection> Rejections;
  };
  enum class CallState { UnderWay, Waiting, Running, Answering };
  struct Call {
    CallState State = CallState::UnderWay;
    Instant NextAt{};
    Instant SentAt{};
    std::size_t From = 0;
    IncarnationId Process;
    std::size_t At = 0;
    std::int64_t StartedMs = 0;
    Duration Work{};
    SendResult Result = SendResult::Answered;
    std::optional<double> Stated;
    std::vector<UpstreamId> Tried;
    bool IsDone = false;
  };

  void startProcess(Host &host);
  void injectFault();
  void crash();
  static void stop(Upstream &upstream, Instant startAt);
  void changeState();
  bool isBrittle() const { return Now < BrittleUntil; }
  int waitingRoom() const;
  void beginCalls();
  bool place(Call &call);
  void advance(Call &call);
  void arrive(Call &call);
  void reject(Call &call);
  void fail(Upstream &upstream);
  void run(Call &call);
  void startWaiting();
  void answer(Call &call);
  void sendReports(std::size_t from);
  void deliver();
  double draw();

  RejectionPlan Plan;
  std::mt19937_64 Random;
  std::vector<Host> Hosts;
  std::vector<Upstream> Upstreams;
  std::vector<FleetMember> Registered;
  std::vector<SimulatedMessage> InFlightMessages;
  std::vector<Call> Calls;
  Instant Start{seconds(5000)};
  Instant Now;
  Instant NextBrittleAt{};
  Instant BrittleSince{};
  Instant BrittleUntil{};
  /// What the upstreams state while they are brittle.
  double BearableRejections = 0;
  int RoomWhileBrittle = 0;
  double CountedFailures = 0;
  int FailureCount = 0;
  int FaultCount = 0;
  int BrittleTimes = 0;
  double CallsRun = 0;
  double CallsPossible = 0;
  std::string Violation;
};

} // namespace sorrelbay
