#pragma once

#include "GatewayHooks.h"
#include "GatewaySettings.h"
#include "LibBase/LogRateLimiter.h"
#include "LibBase/Time.h"
#include "LibDecision/EvidencePool.h"
#include "LibDecision/RetryBudget.h"
#include "LibHttp/AsyncHttpClient.h"
#include "LibLoad/EngineDemand.h"
#include "LibServing/CallTimes.h"
#include "LibServing/DeferredFailures.h"
#include "LibServing/FleetClock.h"
#include "LibServing/FleetView.h"
#include "LibServing/OperatorRequests.h"
#include "LibServing/PromptQuarantine.h"
#include "LibServing/PromptWaitLimits.h"
#include "LibServing/RelayPeers.h"
#include "LibServing/ReplicaTable.h"
#include "LibServing/ServingPlan.h"
#include "LibServing/StoreReachability.h"
#include "LibServing/TeamRateLimiter.h"
#include "LibServing/UpstreamReachability.h"
#include "LibServing/UsageCounts.h"
#include "LibServing/UsualFirstByte.h"
#include "Metrics.h"
#include "RefusedEntries.h"
#include "UpstreamCrashMonitor.h"
#include "UpstreamLoadLog.h"
#include "WaitingCalls.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace sorrelbay {

/// State that all parts of a Gateway share. It is used only on the event loop's
/// thread and therefore has no locks.
struct GatewayState {
  GatewayState(boost::asio::io_context &loop, GatewaySettings settings,
               GatewayHooks hooks);

  boost::asio::io_context &Loop;
  const GatewaySettings Settings;
  /// The platform interface; each call to its store is counted.
  const GatewayHooks Hooks;
  const IncarnationId Incarnation;
  AsyncHttpClient Client;

  StoreReachability Reachability;
  /// Null until the first plan has been read from the store.
  std::shared_ptr<const PlanIndex> Plan;
  /// Start of the store call that last confirmed the plan.
  Instant PlanConfirmedAt{};
  /// If the plan was confirmed longer ago than this, routes and keys that are
  /// not in it may still exist: a watch should have returned changes by then
  /// and did not.
  Duration LongestPlanAge = seconds(2);
  Instant ReplicasConfirmedAt{};
  Instant EvacuationsConfirmedAt{};
  Instant QuarantineConfirmedAt{};
  ReplicaTable Replicas;
  EngineDemand Demand;
  /// The part of the demand that short prompts need.
  EngineDemand ShortDemand;
  /// How long calls usually wait for their first byte.
  UsualFirstByte FirstBytes;
  /// How long calls take at the upstreams.
  CallTimes Times;
  /// The longest waits for other prompts, by the routes of the plan in force.
  PromptWaitLimits PromptWaits;
  std::map<TeamId, TeamRateLimiter> RateLimiters;
  UsageCounts Usage;
  std::map<ServiceId, RetryBudget> RetryBudgets;
  /// Whether this host reaches the upstreams, and the hosts that it relays
  /// calls to while it does not.
  UpstreamReachability Paths;
  RelayPeers Relays;
  DeferredFailures Failures;
  /// The secret that all hosts share; empty until it has been read from the
  /// store.
  std::string RelaySecret;
  FleetView Fleet;
  FleetClock Time;
  /// The requests of operators that were last read from the store.
  OperatorRequests Requests;
  /// The parts of prompts, and the calls, under which upstreams crash.
  PromptQuarantine Quarantine;
  /// Which upstreams crash, and under which calls.
  UpstreamCrashMonitor Crashes;
  std::mt19937_64 Random;
  /// Log lines a second for calls. Successes and failures have separate limits,
  /// so that successes cannot displace failures.
  LogRateLimiter SuccessLogBudget{20};
  LogRateLimiter FailureLogBudget{200};
  /// Log lines a second for statements of upstreams.
  LogRateLimiter StatementLogBudget{50};
  /// Log lines a second for connections to upstreams that failed.
  LogRateLimiter ConnectLogBudget{20};
  /// Ignored statements of upstreams, by kind, that have been logged and may
  /// come with each response.
  std::map<StatementKind, std::set<std::string>> StatementsLoggedOnce;
  UpstreamLoadLog LoadLog;
  /// When the stop was requested; empty while the host serves.
  std::optional<Instant> StoppingSince;
  Metrics Counts;
  RefusedEntries Refused{Counts};
  /// Calls that wait for a place at a service's upstreams.
  WaitingCalls Waiting{*this};
  /// Calls to the store since they were last logged, and when that was.
  std::map<std::string, std::int64_t> StoreCalls;
  Instant StoreCallsLoggedAt{};
  /// The hosts that the last address lookup left out, as they were logged.
  std::string HostsLeftOut;
  bool isStopping() const { return StoppingSince.has_value(); }
  /// Chooses a call's version and records its outcome; set by the Gateway,
  /// which connects them to its rollouts.
  std::function<VersionPreference(const ServiceId &, const std::string &callId)>
      VersionFor = [](const ServiceId &, const std::string &) {
        return VersionPreference{};
      };
  std::function<void(const ServiceId &, const VersionId &, const RouteId &,
                     UpstreamOutcome)>
      RecordOutcome;
  std::function<bool(const ServiceId &)> IsRollingOut;
  std::function<bool(const ServiceId &, const VersionId &)> IsRolloutTarget =
      [](const ServiceId &, const VersionId &) { return false; };
  /// Records the result of opening a connection to an upstream of the service,
  /// and that a call waits for one's response; set by the Gateway.
  std::function<void(const ServiceId &, const UpstreamId &, ConnectResult)>
      NoteConnect;
  std::function<void()> WatchForSilence;
  /// This host's entry as published to peers.
  std::function<FleetMember()> Self;
  /// Publishes this host's open work to peers without waiting for the next
  /// regular report.
  std::function<void()> NotifyPeers = [] {};

  /// Whether the upstreams, the quarantined prompts and, in deployments that
  /// evacuate zones, the evacuated zones have been read from the store.
  bool knowsUpstreams() const;
  /// Upper bound on the age of the plan.
  Duration planAge(Instant now) const { return now - PlanConfirmedAt; }
  void noteStoreCall(const char *call, ResourceKind kind,
                     std::optional<StoreFailure> failure);
  /// Logs the number of calls to the store by call and kind, at most once every
  /// ten seconds.
  void logStoreCalls(Instant now);
  /// When the event loop last performed its periodic work. A long gap means
  /// that the process was suspended and that durations measured across the gap
  /// are invalid.
  Instant TickedAt{};
  bool wasStalled(Instant now) const;
  /// When the last such gap ended.
  Instant StallEndedAt{};
  /// A random number in [0, 1), uniformly distributed.
  double randomFraction();
};

} // namespace sorrelbay
