#pragma once

#include "LibServing/ReplicaTable.h"
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// A mechanism that can be disabled, to verify that the checks detect its
/// absence.
enum class StatementOmission {
  Nothing,
  /// Hosts don't learn of requests for a pause.
  Pauses,
  /// A call is sent to the upstream that was chosen for it, whatever has become
  /// known since.
  CheckBeforeSending,
  /// Hosts don't learn that upstreams leave.
  Leaving,
};

/// The parameters of one random run. Values are drawn from the seed.
struct StatementPlan {
  std::uint64_t Seed = 0;
  int Hosts = 6;
  /// Hosts are restarted, frozen and cut off; upstreams crash and start again
  /// under their id.
  bool HasFaults = true;
  StatementOmission Without = StatementOmission::Nothing;
};

/// Several hosts that send calls to upstreams, which for a while reject calls
/// and ask for pauses, or state in their responses that they leave. Statements
/// overlap, some can't be read, and the store's view of the upstreams is late
/// and sometimes old. Calls wait up to half a second for a connection, and are
/// repeated after rejections and failures. Simulated time; the hosts' decisions
/// are the daemon's code. The check is the platform's rule: at most two calls
/// of a host reach an upstream between half a second after it asked that host
/// for a pause and the end of the pause. A restart, freeze or cut of the host
/// excuses it. No call that began more than two seconds after its host passed
/// on a response of a leaving upstream reaches it; a restart or freeze of the
/// host excuses it. Besides, no call is sent to an upstream during a pause that
/// the host has read of, and an upstream that serves must get calls.
class StatementSimulation {
public:
  explicit StatementSimulation(const StatementPlan &plan);

  /// Runs the given number of seconds and returns the first violated rule;
  /// empty if there is none.
  std::string simulate(int seconds);

  int pauses() const { return PauseCount; }
  int faults() const { return FaultCount; }
  int leavings() const { return LeavingCount; }
  int withdrawn() const { return WithdrawnCount; }

private:
  struct Host {
    HostId Id;
    int Incarnation = 0;
    bool IsDown = false;
    Instant RestartAt{};
    Instant FrozenUntil{};
    Instant CutUntil{};
    /// When the host was last restarted, frozen or cut, or that ended.
    Instant DisturbedAt{};
    /// When the host was last restarted or frozen, or that ended.
    Instant SuspendedAt{};
    /// The difference between the host's clock and those of upstreams.
    Duration ClockError{};
    std::unique_ptr<ReplicaTable> Replicas;
  };
  struct Upstream {
    ReplicaRecord Record;
    bool IsDown = false;
    Instant StartAt{};
    /// The upstream rejects calls until then.
    Instant RejectsUntil{};
    bool IsLeaving = false;
    Instant LeavesAt{};
    Instant FailsUntil{};
    Instant NextChangeAt{};
    /// When a call last arrived, or the upstream began to serve again.
    Instant UsedAt{};
  };
  /// A pause that an upstream asked a host for.
  struct PauseWindow {
    std::size_t Host = 0;
    int Incarnation = 0;
    std::size_t At = 0;
    std::int64_t StartedMs = 0;
    Instant AskedAt{};
    Instant Until{};
    int Arrivals = 0;
    int Number = 0;
    /// The host has read the response.
    bool IsKnown = false;
  };
  enum class CallState { Connecting, UnderWay, Answering };
  struct Response {
    SendResult Result = SendResult::Answered;
    std::optional<Duration> Pause;
    bool IsLeaving = false;
    /// The number of the pause's window.
    int Window = 0;
  };
  struct Call {
    CallState State = CallState::Connecting;
    Instant BegunAt{};
    std::size_t From = 0;
    int Incarnation = 0;
    std::size_t At = 0;
    std::int64_t StartedMs = 0;
    Instant NextAt{};
    Instant SentAt{};
    Response Reply;
    int AttemptsLeft = 2;
    std::vector<UpstreamId> Tried;
  };
  /// A record that reaches a host through its view of the store.
  struct ViewChange {
    Instant At{};
    std::size_t To = 0;
    int Incarnation = 0;
    ReplicaRecord Record;
  };

  void startProcess(Host &host);
  bool isResponsive(const Host &host) const;
  void injectFault();
  void disturb(Host &host, Duration span);
  static void stop(Upstream &upstream, Instant startAt);
  void beginLeaving(Upstream &upstream);
  void changeUpstreams();
  void publish(const Upstream &upstream);
  void applyViews();
  void beginCalls();
  /// Chooses an upstream for the call; returns false if none may take it.
  bool place(Call &call);
  void advance(Call &call);
  void send(Call &call);
  void arrive(Call &call);
  void receive(Call &call);
  void checkSend(const Call &call);
  void countArrival(const Call &call);
  void checkLeaving(const Call &call);
  void noteLeaving(const Call &call, Host &host);
  void notePause(const Call &call, Host &host);
  void checkUse();
  double draw();
  std::string time() const;

  StatementPlan Plan;
  std::mt19937_64 Random;
  std::vector<Host> Hosts;
  std::vector<Upstream> Upstreams;
  std::vector<Call> Calls;
  std::vector<ViewChange> Views;
  std::vector<PauseWindow> Windows;
  /// When a host first passed on a response of a leaving upstream, by host, its
  /// incarnation, and the upstream and the start of its process.
  using PassedOnKey = std::tuple<std::size_t, int, std::size_t, std::int64_t>;
  std::map<PassedOnKey, Instant> PassedOn;
  Instant Start{seconds(5000)};
  Instant Now;
  int PauseCount = 0;
  int FaultCount = 0;
  int LeavingCount = 0;
  int WithdrawnCount = 0;
  std::string Violation;
};

} // namespace sorrelbay
