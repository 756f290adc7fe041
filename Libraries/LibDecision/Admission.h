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
  /// Its answer could not begin before its deadline.
  DeadlineUnreachable,
  /// Its team has as many calls waiting as it may.
  QueueFull,
};

/// What is to be done with a call, once for each call.
struct AdmissionAction {
  AdmissionKind Kind = AdmissionKind::Start;
  std::uint64_t CallId = 0;
  AdmissionRefusalCause Reason = AdmissionRefusalCause::None;
  /// When a refused caller should come back.
  Duration RetryAfter{};
};

struct AdmissionSettings {
  /// Calls that this daemon may have open at the service's upstreams.
  int CallSlots = 16;
  std::size_t MaxQueuedPerTeam = 256;
  /// Cost that a team of weight 1 may start in each round.
  double Quantum = 1;
  /// Cost a second that is drained, until it has been measured.
  double InitialDrainRate = 10;
  /// How long a started call takes to its first token, until measured.
  Duration InitialResponseTime = milliseconds(200);
  /// What the expected wait is multiplied with before a call is let in: calls
  /// that come later and go first make it longer.
  double WaitSafetyFactor = 1.5;
  /// Deviations that are added to the expected time to a first token.
  double ResponseTimeDeviations = 1;
  Duration MinRetryAfter = seconds(1);
  Duration MaxRetryAfter = seconds(30);
};

/// Decides for one service which calls start, which wait and which are
/// refused. A call that can't make its deadline is refused at once, with the
/// time at which there will be room for it; the rest start by priority and,
/// within one, fairly between teams. Not thread-safe.
class Admission {
public:
  explicit Admission(AdmissionSettings settings = {});

  /// The teams' weights; a team that isn't named weighs 1.
  void setTeams(const std::vector<Team> &teams);
  std::vector<AdmissionAction> setCallSlots(int places, Instant now);
  std::vector<AdmissionAction> arrive(const QueuedCall &call, Instant now);
  /// A started call has its first token; it keeps its place until it is over.
  void begin(std::uint64_t callId, Instant now);
  /// A started call is over or has failed.
  std::vector<AdmissionAction> finish(std::uint64_t callId, Instant now);
  /// The caller has gone; the call waits no longer or gives its place back.
  std::vector<AdmissionAction> cancel(std::uint64_t callId, Instant now);
  /// Refuses calls that have become hopeless. To be called often.
  std::vector<AdmissionAction> tick(Instant now);

  std::size_t queued() const { return Queue.size(); }
  std::size_t started() const { return Started.size(); }

private:
  struct StartedCall {
    Instant At;
    double Cost = 0;
    bool HasBegun = false;
  };

  bool hasFreeCallSlot() const;
  /// Accounts for the time since the last event.
  void advance(Instant now);
  Duration waitFor(const QueuedCall &call, double caution) const;
  bool canMeetDeadline(const QueuedCall &call, Duration wait,
                       Instant now) const;
  AdmissionAction refuse(const QueuedCall &call, AdmissionRefusalCause reason,
                         Instant now);
  /// Cost a second that is drained for the team among those that wait.
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
  /// Until when each team's room has been promised to its refused callers.
  std::map<TeamId, Instant> ReservedUntil;
};

} // namespace sorrelbay
