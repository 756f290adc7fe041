#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/Bundle.h"
#include "LibDecision/DrainRate.h"
#include "LibDecision/FairQueue.h"
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

enum class AdmissionKind { Start, Refuse };

enum class AdmissionRefusalCause {
  None,
  /// The first token or the answer cannot arrive before the deadline.
  DeadlineUnreachable,
  /// The team already has MaxQueuedPerTeam calls waiting.
  QueueFull,
};

/// The decision on one call. Each call gets exactly one.
struct AdmissionAction {
  AdmissionKind Kind = AdmissionKind::Start;
  std::uint64_t CallId = 0;
  AdmissionRefusalCause Reason = AdmissionRefusalCause::None;
  /// Delay after which a refused caller should retry.
  Duration RetryAfter{};
};

struct AdmissionSettings {
  /// The largest number of this daemon's calls that are open at the service's
  /// upstreams at once. Further calls wait.
  int CallSlots = 16;
  std::size_t MaxQueuedPerTeam = 256;
  /// Cost that a team of weight 1 may start per scheduling round, in units of
  /// QueuedCall::Cost.
  double Quantum = 1;
  /// Assumed cost drained per second until a rate has been measured.
  double InitialDrainRate = 10;
  /// Assumed time from a call's start to its first token until one has been
  /// measured.
  Duration InitialResponseTime = milliseconds(200);
  /// Factor on the expected wait when a call is admitted. Calls that arrive
  /// later but start earlier make the real wait longer.
  double WaitSafetyFactor = 1.5;
  /// Number of mean deviations added to the mean response time when a deadline
  /// is checked.
  double ResponseTimeDeviations = 1;
  Duration MinRetryAfter = seconds(1);
  Duration MaxRetryAfter = seconds(30);
};

/// Admission control of one service: decides which calls start, wait or are
/// refused. A call that cannot meet its deadline is refused at once, with a
/// delay after which there is capacity for it. The other calls start by
/// priority and, within one priority, fairly between teams. Not thread-safe.
class Admission {
public:
  explicit Admission(AdmissionSettings settings = {});

  /// Sets the teams' weights. A team that isn't listed has weight 1.
  void setTeams(const std::vector<Team> &teams);
  std::vector<AdmissionAction> setCallSlots(int slotCount, Instant now);
  std::vector<AdmissionAction> arrive(const QueuedCall &call, Instant now);
  /// Records that a started call has produced its first token. It keeps its
  /// slot until it finishes.
  void begin(std::uint64_t callId, Instant now);
  /// Frees the slot of a call that completed or failed.
  std::vector<AdmissionAction> finish(std::uint64_t callId, Instant now);
  /// Removes a call whose caller disconnected from the queue, or frees its
  /// slot.
  std::vector<AdmissionAction> cancel(std::uint64_t callId, Instant now);
  /// Refuses waiting calls that can no longer meet their deadline. Must be
  /// called periodically.
  std::vector<AdmissionAction> tick(Instant now);

  std::size_t queued() const { return Queue.size(); }
  std::size_t started() const { return Started.size(); }

private:
  struct StartedCall {
    Instant At;
    double Cost = 0;
    bool HasFirstToken = false;
  };

  bool hasFreeCallSlot() const;
  /// Accounts for the time since the previous event.
  void advance(Instant now);
  Duration expectedWait(const QueuedCall &call, double safetyFactor) const;
  bool canMeetDeadline(const QueuedCall &call, Duration wait,
                       Instant now) const;
  AdmissionAction refuse(const QueuedCall &call, AdmissionRefusalCause reason,
                         Instant now);
  /// Cost drained per second for the team, given the other waiting teams.
  double teamRate(const TeamId &team) const;
  Duration retryAfter(const QueuedCall &call, Instant now);
  void start(const QueuedCall &call, Instant now,
             std::vector<AdmissionAction> &actions);
  void startWaiting(Instant now, std::vector<AdmissionAction> &actions);

  AdmissionSettings Settings;
  FairQueue Queue;
  DrainRate Rate;
  std::unordered_map<std::uint64_t, StartedCall> Started;
  Instant Now{};
  /// Time up to which each team's capacity is reserved for its refused callers.
  std::map<TeamId, Instant> ReservedUntil;
};

} // namespace sorrelbay
