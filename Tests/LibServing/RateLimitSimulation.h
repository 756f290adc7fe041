#pragma once

#include "SimulatedHost.h"
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace sorrelbay {

/// A mechanism that can be disabled, to verify that the checks detect its
/// absence.
enum class RateLimitOmission {
  Nothing,
  /// Hosts don't learn of limits.
  Statements,
  /// Hosts don't know each other: each takes the whole rate.
  Division,
};

/// The parameters of one random run. Values are drawn from the seed.
struct RateLimitPlan {
  std::uint64_t Seed = 0;
  int Hosts = 6;
  int Zones = 4;
  /// Processes are killed and started again, frozen, and disconnected from
  /// other hosts; upstreams are restarted.
  bool HasFaults = true;
  RateLimitOmission Without = RateLimitOmission::Nothing;
};

/// Several hosts that send calls to upstreams, some of which name a rate limit
/// in their responses, change it and end it. Simulated time; the hosts'
/// decisions and reports are the daemon's code. The check is the platform's
/// rule: from 3 s after an upstream first named a limit, in any 4 s, at most
/// one and a half times what it allows plus 5 calls from the hosts that passed
/// on such a response at least 500 ms before. A restart, freeze or cut of a
/// host excuses that host. Besides, an upstream whose limit has ended must get
/// calls again.
class RateLimitSimulation {
public:
  explicit RateLimitSimulation(const RateLimitPlan &plan);

  /// Runs the given number of seconds and returns the first violated rule;
  /// empty if there is none.
  std::string simulate(int seconds);

  /// Calls that arrived at limited upstreams, and what the limits allowed.
  double limitedCalls() const { return LimitedCalls; }
  double limitedRate() const { return LimitedRate; }
  int faults() const { return Faults; }
  int statements() const { return Statements; }

private:
  struct Host : SimulatedHost {
    Instant CutUntil{};
    /// Until then the rule does not hold for the host.
    Instant ExcusedUntil{};
    /// When the host first passed on a response that named a limit, by
    /// upstream; erased when the limit ends.
    std::map<UpstreamId, Instant> PassedOnAt;
  };
  struct Upstream {
    ReplicaRecord Record;
    std::optional<double> Limit;
    Instant FirstNamedAt{};
    Instant NextChangeAt{};
    /// When a call last arrived, or the limit ended.
    Instant UsedAt{};
    /// Arrivals that the rule counts.
    std::deque<Instant> Counted;
    /// The limit at each step of the last window.
    std::deque<std::pair<Instant, double>> Limits;
  };
  /// A call under way to an upstream, or its response on the way back.
  struct Call {
    Instant ArrivesAt{};
    Instant AnsweredAt{};
    Instant SentAt{};
    std::size_t From = 0;
    std::size_t At = 0;
    IncarnationId Incarnation;
    bool HasArrived = false;
    std::optional<double> Limit;
  };

  void startProcess(Host &host);
  void injectFault();
  void changeLimits();
  void forgetLimit(Upstream &upstream);
  void sendCalls();
  void moveCalls();
  void arrive(Call &call);
  void answer(const Call &call);
  void sendReports(std::size_t from);
  void enqueueMessage(std::size_t from, const std::vector<HostId> &to,
                      const FleetReport &report);
  void deliver();
  void checkLimits();
  double draw();

  RateLimitPlan Plan;
  std::mt19937_64 Random;
  std::vector<Host> Hosts;
  std::vector<Upstream> Upstreams;
  std::vector<FleetMember> Registered;
  std::vector<SimulatedMessage> InFlightMessages;
  std::vector<Call> Calls;
  Instant Start{seconds(5000)};
  Instant Now;
  int Faults = 0;
  int Statements = 0;
  double LimitedCalls = 0;
  double LimitedRate = 0;
  std::string Violation;
};

} // namespace sorrelbay
