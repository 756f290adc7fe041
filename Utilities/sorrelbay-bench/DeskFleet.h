#pragma once

#include "EventQueue.h"
#include "LibServing/CallQueue.h"
#include "LibServing/PlaceLimit.h"
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// How hosts limit the calls that they have open at the desks.
enum class PlaceApproach { NoLimit, AdaptiveLimit, Leases };

struct DeskFleetPlan {
  int Hosts = 6;
  /// Calls as a multiple of what the desks can serve.
  double Load = 1;
  PlaceApproach How = PlaceApproach::NoLimit;
  /// Reports are late by up to two seconds, a third is lost, and a tenth
  /// contradicts the others.
  bool HasBadReports = false;
  /// What the large team sends, as a multiple of its share.
  double LargeTeam = 1;
  /// The time that a caller has: the logarithm is distributed uniformly between
  /// those of the two.
  Duration ShortestTime = seconds(2);
  Duration LongestTime = seconds(2);
  /// Factor by which hosts overestimate the times that desks need.
  double EstimateFactor = 1;
  /// Whether a caller whose call was refused returns once, after the delay that
  /// it was given, at most a third of its remaining time, and at any host.
  bool DoCallersReturn = false;
  std::uint64_t Seed = 1;
};

/// What became of a call, and when.
struct DeskDecision {
  std::uint64_t Call = 0;
  std::string Outcome;
  Instant At{};
  Duration ReturnAfter{};

  friend bool operator==(const DeskDecision &a, const DeskDecision &b) {
    return std::tie(a.Call, a.Outcome, a.At, a.ReturnAfter) ==
           std::tie(b.Call, b.Outcome, b.At, b.ReturnAfter);
  }
};

/// Calls of one kind, and those of them that were answered while their callers
/// still waited.
struct DeskTally {
  int Calls = 0;
  int Answered = 0;

  double answeredShare() const {
    return Calls == 0 ? 0 : static_cast<double>(Answered) / Calls;
  }
};

struct DeskFleetResult {
  DeskTally All;
  DeskTally FirstTries;
  DeskTally Repeats;
  DeskTally SmallTeams;
  int RejectedByDesks = 0;
  /// The time that desks spent on calls, and the part spent on calls whose
  /// callers had gone.
  Duration Work{};
  Duration WorkInVain{};
  /// How much later calls were refused than the last moment at which they could
  /// have started, in milliseconds.
  std::vector<double> RefusalDelays;
  std::vector<DeskDecision> Decisions;
};

/// Hosts that send calls to the same few desks. The hosts decide with the
/// daemon's own code; the desks, the callers and the time are simulated.
class DeskFleet {
public:
  explicit DeskFleet(const DeskFleetPlan &plan);

  DeskFleetResult play();

private:
  struct Call {
    std::uint64_t Id = 0;
    std::size_t Host = 0;
    int Team = 0;
    bool IsRepeat = false;
    bool HasCallerLeft = false;
    Instant ArrivedAt{};
    Instant Deadline{};
    Instant SentAt{};
  };
  struct Desk {
    int Running = 0;
    std::deque<std::uint64_t> Waiting;
  };
  struct Host {
    PlaceLimit Limit;
    CallQueue Queue;
    int Open = 0;
    int Lease = 1;
    int Arrived = 0;
    /// When the next expiry is looked for.
    Instant TimerAt{};

    Host();
  };

  double fraction();
  void scheduleArrival();
  void arriveFirst();
  void arrive(Call call);
  int limitOf(const Host &host) const;
  void setPace(Host &host) const;
  void armTimer(Host &host);
  void leave(std::uint64_t id);
  void refuse(Host &host, const std::vector<WaitRefusal> &refusals);
  void refuseCall(const Call &call, const char *cause, Duration returnAfter);
  void dispatch(Host &host);
  void send(Call &call);
  void reject(Call &call);
  void run(Desk &desk, Call &call);
  void end(Desk &desk, std::uint64_t id, Duration took);
  std::vector<DeskTally *> talliesOf(const Call &call);
  void report();

  const DeskFleetPlan Plan;
  std::mt19937_64 Random;
  std::vector<Host> Hosts;
  std::vector<Desk> Desks;
  std::discrete_distribution<int> HostOfCall;
  std::discrete_distribution<int> TeamOfCall;
  double CallsPerSecond = 0;
  EventQueue Events;
  std::uint64_t LastId = 0;
  /// The calls that have not ended.
  std::map<std::uint64_t, Call> Calls;
  DeskFleetResult Result;
};

} // namespace sorrelbay
