#pragma once

#include "AnswerHandover.h"
#include "BundleStore.h"
#include "CallAdmission.h"
#include "CallerApi.h"
#include "DaemonSettings.h"
#include "DeskCalls.h"
#include "LibDecision/PeerFreshness.h"
#include "LibHttp/HttpServer.h"
#include "LibObjectApi/ObjectApi.h"
#include "LiveAnswers.h"
#include "Metrics.h"
#include "ModelCalls.h"
#include "OpenCalls.h"
#include "PeerMessaging.h"
#include "RolloutExchange.h"
#include "RolloutTracker.h"
#include "StreamRecovery.h"
#include "UpstreamTable.h"
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace sorrelbay {

/// One entry host's process: the shared tables, what serves callers, and the
/// workers that keep the tables fresh. No table's lock is held while another
/// table is called, so there is no order among them to keep.
class Daemon {
public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Starts to listen and to work. Throws HttpListenFailed, and
  /// PeerListenFailed where peers are to connect.
  void start();
  /// A planned stop: unlists the daemon, refuses new calls with other addresses
  /// for as long as callers may keep this one, and returns when all in flight
  /// have ended or the grace is over.
  void stop();

private:
  void drain();
  void addWorker(void (Daemon::*work)());
  /// Waits for the interval; false when the workers are to end.
  bool sleepFor(Duration interval);
  void pollHostList();
  void watchNotices();
  void pollLoads();
  void tickUpstreams();
  std::optional<EngineLoad> fetchLoad(const UpstreamId &engine) const;
  void watchBundle();
  /// Passes a bundle that has come into force on to what keeps parts of it.
  void applyBundle();
  void publishToPeers();
  void recoverStreams();
  /// The cloud takes this host back at that time.
  void scheduleHandover(Instant at);
  void handOverBeforeEnd();
  void handOverAnswers();
  void writeStatus();
  void rollOut();
  void shareRollouts();
  void onPeerKnowledge(const PeerKnowledge &said);
  /// A peer has sent all that it knew at that time.
  void onPeerFreshness(const HostId &peer, Instant askedAt);

  const DaemonSettings Settings;
  ObjectApi Objects;
  Metrics Counts;
  OpenCalls Open;
  BundleStore Bundles;
  PeerMessaging Peers;
  UpstreamTable Upstreams;
  CallAdmission Admitted;
  RolloutTracker Moves;
  RolloutExchange Rollouts;
  LiveAnswers Answers;
  StreamRecovery Recovery;
  ModelCalls Models;
  AnswerHandover Handovers;
  DeskCalls Desks;
  CallerApi Callers;
  HttpServer Server;
  /// Belongs to the mesh's thread.
  PeerFreshness Freshness;
  std::vector<std::thread> Workers;
  std::mutex StopMutex;
  std::condition_variable StopChanged;
  /// Callers are served; belongs to the thread that starts and stops.
  bool HasStarted = false;
  /// A planned stop has begun; workers go on while calls are in flight.
  bool IsDraining = false;
  /// All calls have ended; workers end too.
  bool IsStopping = false;
  /// When the open answers go to peers; nothing while this host stays.
  std::optional<Instant> HandoverAt;
};

} // namespace sorrelbay
