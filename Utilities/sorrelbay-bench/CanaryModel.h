#pragma once

#include "LibDecision/Rollout.h"
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace sorrelbay {

/// A fault of the new version in the simulation.
struct CanaryFault {
  std::string Name = "good";
  /// Shares of the calls that fail and that are late while the fault is active.
  double FailureRate = 0;
  double LateRate = 0;
  /// When the fault begins, as a share of the time from the start of the
  /// rollout to its deadline.
  double From = 0;
  /// The fault affects only calls to replicas near their normal load.
  bool OnlyUnderLoad = false;
  /// The only route with the fault; empty for all routes.
  RouteId OnRoute;

  bool isNone() const { return FailureRate <= 0 && LateRate <= 0; }
};

/// A simulated route and its share of all calls.
struct ModelRoute {
  RouteId Id;
  bool Repeatable = true;
  double Part = 1;
};

/// One rollout in one deployment.
struct CanaryScenario {
  std::string Deployment;
  std::size_t Hosts = 6;
  std::size_t Replicas = 9;
  double CallsPerSecond = 18;
  std::vector<ModelRoute> Routes;
  DeadlinePolicy Policy = DeadlinePolicy::Safe;
  Duration Deadline = minutes(30);
  /// How long the simulation continues after the deadline.
  Duration After{};
  /// Ends the simulation 30 s after the first veto, since nothing later changes
  /// the result.
  bool EndsWhenRolledBack = false;
  CanaryFault Fault;
  /// Failure and late rates of a version without a fault.
  double BaseFailureRate = 0.01;
  double BaseLateRate = 0.04;
  /// Period in which both versions have the higher late rate SlowLateness, as a
  /// zone's reclaim causes it; shares of the time to the deadline.
  double SlowFrom = 0;
  double SlowUntil = 0;
  double SlowLateness = 0.2;
  /// Gossip between the daemons: period, largest delay of a message, and the
  /// probabilities that a message is lost or delivered twice.
  Duration GossipPeriod = milliseconds(400);
  Duration GossipDelay = milliseconds(5);
  double GossipLost = 0;
  double GossipRepeated = 0;
  /// Probabilities of a restart and of a pause, for each daemon and second.
  double Restarts = 0;
  double Pauses = 0;
  Duration MaxEventGap = seconds(20);
};

/// Parts of the rollout mechanism that can be disabled to measure what each
/// contributes.
struct CanaryVariant {
  std::string Name = "whole";
  bool PoolsEvidence = true;
  bool JudgesPerRoute = true;
  bool JudgesAfterFullShare = true;
  bool PacksReplicas = true;
  bool ChecksStaleness = true;
};

/// The result of one rollout.
struct RolloutResult {
  /// Calls until the deadline, or until the simulation ended before it.
  std::uint64_t Calls = 0;
  /// CallsToNew are the calls to the new version until the deadline.
  /// CallsToFault are the calls to the new version while its fault was active
  /// on their route.
  std::uint64_t CallsToNew = 0;
  std::uint64_t CallsToFault = 0;
  /// Calls to the new version that failed or were late because of the fault.
  std::uint64_t Harmed = 0;
  bool IsRolledBack = false;
  /// Rolled back because there was not enough evidence before the deadline.
  bool IsRolledBackForDeadline = false;
  /// Reached the full share before the deadline and was not rolled back.
  bool IsInTime = false;
  unsigned ForcedSteps = 0;
  /// CallsToFault at the moment at which a judge that receives every outcome
  /// without delay vetoes the version; zero if it never does.
  std::uint64_t CallsBeforeReferenceVeto = 0;
  /// From the moment at which the daemons had counted all evidence that the
  /// first veto is based on, to the last call that was sent to the version.
  Duration LastAfterEvidence{};
  /// From the first veto to the last call that was sent to the version.
  Duration LastAfterVeto{};
  /// Calls that a daemon sent to the version after it had recorded or received
  /// a veto.
  std::uint64_t SentAgainstVeto = 0;
};

/// Simulates one rollout in which every daemon runs the product's decision
/// code. The same seed gives the same result.
RolloutResult runRollout(const CanaryScenario &scenario, std::uint64_t seed,
                         const CanaryVariant &variant = {},
                         const RolloutSettings &settings = {});

/// A baseline policy, which receives the outcome of every call without delay.
struct BaselinePolicy {
  /// The new version's share of the calls, given the elapsed share of the time
  /// to the deadline.
  std::function<double(double)> Share;
  /// Whether the version is rolled back, given its counts so far.
  std::function<bool(const EvidenceCount &)> IsBad;
};

/// Simulates one rollout under a baseline policy. The same seed gives the same
/// result.
RolloutResult runBaseline(const CanaryScenario &scenario, std::uint64_t seed,
                          const BaselinePolicy &policy);

/// The scenarios of both deployments without a fault: one for the model service
/// and one for the desk service of each.
std::vector<CanaryScenario> deploymentScenarios();

/// All simulated faults, for the routes of the scenario.
std::vector<CanaryFault> faultsOf(const CanaryScenario &scenario);

} // namespace sorrelbay
