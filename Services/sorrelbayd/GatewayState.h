#pragma once

#include "GatewayHooks.h"
#include "GatewaySettings.h"
#include "LibBase/LogRateLimiter.h"
#include "LibBase/Time.h"
#include "LibDecision/EvidencePool.h"
#include "LibDecision/RetryBudget.h"
#include "LibHttp/AsyncHttpClient.h"
#include "LibLoad/EngineDemand.h"
#include "LibLoad/QueueWaitLimits.h"
#include "LibServing/FleetClock.h"
#include "LibServing/FleetView.h"
#include "LibServing/ReplicaTable.h"
#include "LibServing/ServingPlan.h"
#include "LibServing/StoreReachability.h"
#include "LibServing/TeamRateLimiter.h"
#include "LibServing/UsageCounts.h"
#include "Metrics.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace sorrelbay {

/// What all parts of a serving daemon share. All of it belongs to the event
/// loop's thread, so it has no locks.
struct GatewayState {
  GatewayState(boost::asio::io_context &loop, GatewaySettings settings,
               GatewayHooks hooks);

  boost::asio::io_context &Loop;
  const GatewaySettings Settings;
  /// The platform; each call to its store is counted.
  const GatewayHooks Hooks;
  const IncarnationId Incarnation;
  AsyncHttpClient Client;

  StoreReachability Reach;
  /// Nothing until the store has shown one.
  std::shared_ptr<const PlanIndex> Plan;
  /// When the call began that last confirmed the plan.
  Instant PlanConfirmedAt{};
  /// A plan that was confirmed longer ago says nothing about routes and keys
  /// that are not in it: a watch should have brought news, and did not return.
  Duration LongestPlanAge = seconds(2);
  Instant ReplicasConfirmedAt{};
  Instant EvacuationsConfirmedAt{};
  ReplicaTable Replicas;
  EngineDemand Demand;
  /// Of the plan in force.
  QueueWaitLimits FirstTokens;
  std::map<TeamId, TeamRateLimiter> RateLimiters;
  UsageCounts Usage;
  std::map<ServiceId, RetryBudget> Repeats;
  FleetView Fleet;
  FleetClock Time;
  std::mt19937_64 Random;
  /// Failures go before successes where lines must be left out.
  LogRateLimiter SuccessLogBudget{20};
  LogRateLimiter FailureLogBudget{200};
  /// When the stop was asked for; nothing while the host serves.
  std::optional<Instant> StoppingSince;
  Metrics Counts;
  /// Calls to the store since the last line about them, and when that was.
  std::map<std::string, std::int64_t> StoreCalls;
  Instant StoreCallsLoggedAt{};
  bool isStopping() const { return StoppingSince.has_value(); }
  /// Which version a call goes to and how it did; set where moves are kept.
  std::function<VersionPreference(const ServiceId &, const std::string &callId)>
      VersionFor = [](const ServiceId &, const std::string &) {
        return VersionPreference{};
      };
  std::function<void(const ServiceId &, const VersionId &, const RouteId &,
                     UpstreamOutcome)>
      RecordOutcome;
  std::function<bool(const ServiceId &)> IsRollingOut;
  /// This host as its peers know it.
  std::function<FleetMember()> Self;
  /// Tells the peers at once what is open here.
  std::function<void()> NotifyPeers = [] {};

  /// Whether it is known where calls may go: which upstreams there are, and
  /// which zones are evacuated.
  bool knowsUpstreams() const;
  /// How old the plan may be at most, by what is known.
  Duration planAge(Instant now) const { return now - PlanConfirmedAt; }
  void noteStoreCall(const char *call, ResourceKind kind,
                     std::optional<StoreFailure> failure);
  /// Writes a line with the calls to the store of the last while, by call and
  /// kind, once in ten seconds.
  void logStoreCalls(Instant now);
  /// When the loop last came to its regular work. Long ago means that the
  /// process was stopped for a while, and that what was measured over that time
  /// says nothing.
  Instant TickedAt{};
  bool wasStalled(Instant now) const;
  /// A fraction in [0, 1).
  double draw();
};

} // namespace sorrelbay
