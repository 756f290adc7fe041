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

/// The process of an entry host: the shared tables, the API for callers and the
/// worker threads that keep the tables up to date. No table's lock is held
/// while another table is called, so there is no lock order among tables.
class Daemon {
public:
  explicit Daemon(DaemonSettings settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Listens for callers and peers and starts the workers. Throws
  /// HttpListenFailed if the callers' address can't be bound, and
  /// PeerListenFailed if the peers' address can't be bound.
  void start();
  /// Stops as planned: removes the daemon from the address list and refuses new
  /// calls with the addresses of other entry hosts while callers may still have
  /// this daemon's address cached. Returns when all calls in flight have ended
  /// or the grace period is over.
  void stop();

private:
  void drain();
  void addWorker(void (Daemon::*work)());
  /// Waits for the interval. Returns false when the workers have to end.
  bool sleepFor(Duration interval);
  void pollHostList();
  void watchNotices();
  void pollLoads();
  void tickUpstreams();
  std::optional<EngineLoad> fetchLoad(const UpstreamId &engine) const;
  void watchBundle();
  /// Updates the components that hold parts of the bundle after a new one has
  /// come into force.
  void applyBundle();
  void publishToPeers();
  void recoverStreams();
  /// Schedules the handover of open answers; the cloud reclaims this host at
  /// the given time.
  void scheduleHandover(Instant at);
  void handOverBeforeEnd();
  void handOverAnswers();
  void writeStatus();
  void tickRollouts();
  void exchangeRollouts();
  void onPeerKnowledge(const PeerKnowledge &incoming);
  /// Called when a peer has sent all knowledge that it had at the given time.
  void onPeerFreshness(const HostId &peer, Instant askedAt);

  const DaemonSettings Settings;
  ObjectApi Objects;
  Metrics Counts;
  OpenCalls Open;
  BundleStore Bundles;
  PeerMessaging Peers;
  UpstreamTable Upstreams;
  CallAdmission Admissions;
  RolloutTracker Tracker;
  RolloutExchange Rollouts;
  LiveAnswers Answers;
  StreamRecovery Recovery;
  ModelCalls Models;
  AnswerHandover Handovers;
  DeskCalls Desks;
  CallerApi Callers;
  HttpServer Server;
  /// Used only on the mesh's thread.
  PeerFreshness Freshness;
  std::vector<std::thread> Workers;
  std::mutex StopMutex;
  std::condition_variable StopChanged;
  /// Whether callers are served. Used only on the thread that calls start() and
  /// stop().
  bool HasStarted = false;
  /// Whether a planned stop has begun. The workers run on while calls are in
  /// flight.
  bool IsDraining = false;
  /// Whether all calls have ended; the workers then end, too.
  bool IsStopping = false;
  /// When the open answers are handed over to peers. Not set while there is no
  /// reclaim notice for this host.
  std::optional<Instant> HandoverAt;
};

} // namespace sorrelbay
