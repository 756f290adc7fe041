#pragma once

#include "LibDecision/Rollout.h"
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace sorrelbay {

/// What is wrong with a new version in the model.
struct CanaryFault {
  std::string Name = "good";
  /// The part of the calls that fail, and that are late, while it shows.
  double FailureRate = 0;
  double LateRate = 0;
  /// When it begins, as a part of the time to the deadline.
  double From = 0;
  /// Shows only on a replica near its normal load.
  bool OnlyUnderLoad = false;
  /// Shows on that route only; empty for all.
  RouteId OnRoute;

  bool isNone() const { return FailureRate <= 0 && LateRate <= 0; }
};

/// A route of the model and its part of the calls.
struct ModelRoute {
  RouteId Id;
  bool Repeatable = true;
  double Part = 1;
};

/// One move in one deployment.
struct CanaryScenario {
  std::string Deployment;
  std::size_t Hosts = 6;
  std::size_t Replicas = 9;
  double CallsPerSecond = 18;
  std::vector<ModelRoute> Routes;
  DeadlinePolicy Policy = DeadlinePolicy::Safe;
  Duration Deadline = minutes(30);
  /// How long it goes on after the deadline.
  Duration After{};
  /// Whether it ends half a minute after the first veto; nothing is learnt from
  /// the rest.
  bool EndsWhenRolledBack = false;
  CanaryFault Fault;
  /// Rates of a version without a fault.
  double BaseFailureRate = 0.01;
  double BaseLateRate = 0.04;
  /// A time in which both versions are late, as parts of the deadline; a
  /// zone's reclaim does that.
  double SlowFrom = 0;
  double SlowUntil = 0;
  double SlowLateness = 0.2;
  /// Gossip between the daemons.
  Duration GossipPeriod = milliseconds(400);
  Duration GossipDelay = milliseconds(5);
  double GossipLost = 0;
  double GossipRepeated = 0;
  /// Chances, for each daemon and second, of a restart and of a pause.
  double Restarts = 0;
  double Pauses = 0;
  Duration MaxEventGap = seconds(20);
};

/// Parts of the mechanism that can be left out, to show what each is for.
struct CanaryVariant {
  std::string Name = "whole";
  bool PoolsEvidence = true;
  bool JudgesPerRoute = true;
  bool JudgesAfterFullShare = true;
  bool PacksReplicas = true;
  bool MindsStaleness = true;
};

/// What happened in one move.
struct MoveResult {
  /// Calls until the deadline or the end.
  std::uint64_t Calls = 0;
  /// Calls that went to the new version until then, and those of them after its
  /// fault had begun and on the routes that it is on.
  std::uint64_t CallsToNew = 0;
  std::uint64_t CallsToFault = 0;
  /// Calls to the new version that failed or were late by the fault.
  std::uint64_t Harmed = 0;
  bool IsRolledBack = false;
  /// Taken back since the evidence could not be had in time.
  bool IsRolledBackForDeadline = false;
  /// At full share before the deadline, and not taken back.
  bool IsInTime = false;
  unsigned ForcedSteps = 0;
  /// The same as CallsToFault up to the moment at which a judge that hears of
  /// every call at once would have stopped; zero if it never would.
  std::uint64_t CallsBeforeReferenceVeto = 0;
  /// From the moment at which the evidence that the first veto rests on was all
  /// counted, at whichever daemon, to the last call sent to the version.
  Duration LastAfterEvidence{};
  /// The longest time between the first veto and a call that was sent to the
  /// version.
  Duration LastAfterVeto{};
  /// Calls sent by a daemon that knew of a veto.
  std::uint64_t SentAgainstVeto = 0;
};

/// Runs one move with the product's decisions in every daemon. The same seed
/// gives the same run.
MoveResult runMove(const CanaryScenario &scenario, std::uint64_t seed,
                   const CanaryVariant &variant = {},
                   const RolloutSettings &settings = {});

/// A policy that sees every call at once, for the baselines.
struct BaselinePolicy {
  /// The new version's share, given the part of the time to the deadline that
  /// has passed.
  std::function<double(double)> Share;
  /// Whether the version is taken back, given its counts so far.
  std::function<bool(const EvidenceCount &)> IsBad;
};

/// Runs one move under a baseline, with the same calls for the same seed.
MoveResult runBaseline(const CanaryScenario &scenario, std::uint64_t seed,
                       const BaselinePolicy &policy);

/// The scenarios of both deployments, without a fault: their models and desks.
std::vector<CanaryScenario> deploymentScenarios();

/// The faults that the model knows, for the routes of the scenario.
std::vector<CanaryFault> faultsOf(const CanaryScenario &scenario);

} // namespace sorrelbay
