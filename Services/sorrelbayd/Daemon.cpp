#include "Daemon.h"
#include "LibBase/LogLine.h"
#include "LibCloud/CloudNotices.h"
#include "LibHostList/HostList.h"
#include "LibObjectApi/HttpObjectApi.h"
#include "LibOperator/SignedBundle.h"
#include <utility>

namespace sorrelbay {

static constexpr Duration RecoveryInterval = milliseconds(50);
static constexpr Duration UpstreamTickInterval = milliseconds(50);
static constexpr Duration RolloutInterval = milliseconds(100);
/// While a peer is connected, this host's object is written only in every n-th
/// round.
static constexpr unsigned RoundsPerObjectWrite = 10;
static constexpr Duration HandoverInterval = milliseconds(100);
static constexpr Duration HandoverTimeout = milliseconds(500);
/// The time that callers get after the handover to read the new addresses of
/// their answers.
static constexpr Duration HandoverGrace = seconds(2);
/// The minimum interval between two requests for load reports. Each request
/// costs about 0.2 ms of processor time, which for hundreds of engines would
/// exceed the processor time allowed for the control plane. An upstream whose
/// last report is stale is queried before it receives new calls, so a slower
/// round only makes the load estimates less accurate.
static constexpr Duration MinLoadPollInterval = milliseconds(25);
static constexpr Duration WatchRetryDelay = milliseconds(200);

static HttpServerLimits serverLimits(const DaemonSettings &settings) {
  HttpServerLimits out;
  out.Workers = settings.Workers;
  out.MaxBodyBytes = settings.MaxBodyBytes;
  return out;
}

Daemon::Daemon(DaemonSettings settings)
    : Settings(std::move(settings)),
      Objects(connectObjectApi(Settings.Platform, Settings.ObjectApiTimeout)),
      Open(Settings.MaxOpenCalls), Bundles(Settings.OperatorKeys),
      Peers(Settings, Bundles, Counts),
      Upstreams(Settings.Listen, Settings.Zone,
                [this](const UpstreamId &engine) { return fetchLoad(engine); }),
      Admissions(
          [this](const ServiceId &it) { return Upstreams.callSlotsFor(it); }),
      Tracker(Settings.Host,
              [this](const VersionId &it) { return Upstreams.replicasOf(it); }),
      Rollouts(Objects, Settings.Host, Tracker),
      Recovery(Settings, Upstreams, Answers, Counts),
      Models(Settings, Bundles, Upstreams, Tracker, Open, Counts, Answers,
             Recovery, Admissions),
      Handovers(Settings, Bundles, Answers, Models, Open),
      Desks(Settings, Bundles, Upstreams, Tracker, Open, Counts, Objects),
      Callers(Settings, Bundles, Upstreams, Models, Desks, Open, Counts),
      Server(serverLimits(Settings)) {}

// A daemon that failed to listen has nothing to drain, and the peer mesh that
// draining uses may not exist yet.
Daemon::~Daemon() {
  if (HasStarted)
    stop();
}

void Daemon::start() {
  Peers.onBundle([this] { applyBundle(); });
  Peers.onKnowledge(
      [this](const PeerKnowledge &incoming) { onPeerKnowledge(incoming); });
  Peers.onFresh([this](const HostId &peer, Instant askedAt) {
    onPeerFreshness(peer, askedAt);
  });
  Callers.setPeers([this] { return Peers.peers(); });
  Callers.serveOn(Server);
  const std::string address = Server.bind(Settings.Listen);
  Callers.setOwnAddress(address);
  Peers.registerHandler(HandoverKind,
                        [this](const HostId &, const std::string &body) {
                          Handovers.acceptHandover(body);
                          return std::string();
                        });
  Peers.start(address);
  // The callers' handlers use everything above, so the server starts last.
  Server.serve();
  HasStarted = true;
  LogLine(Severity::Info, "listening").field("address", address);
  addWorker(&Daemon::watchBundle);
  addWorker(&Daemon::publishToPeers);
  Upstreams.tick(now());
  addWorker(&Daemon::tickUpstreams);
  addWorker(&Daemon::pollHostList);
  addWorker(&Daemon::watchNotices);
  addWorker(&Daemon::pollLoads);
  addWorker(&Daemon::recoverStreams);
  addWorker(&Daemon::tickRollouts);
  addWorker(&Daemon::exchangeRollouts);
  addWorker(&Daemon::handOverBeforeEnd);
  addWorker(&Daemon::writeStatus);
}

void Daemon::drain() {
  const auto start = std::chrono::steady_clock::now();
  LogLine(Severity::Info, "draining")
      .field("open_calls", static_cast<std::int64_t>(Open.count()));
  Open.beginStop();
  // Published at once, so that the next address lookup of a caller omits this
  // daemon.
  Peers.publishState(true);
  bool areAllDone = Open.waitForNone(Settings.StopGrace);
  if (!areAllDone) {
    handOverAnswers();
    areAllDone = Open.waitForNone(HandoverGrace);
  }
  LogLine(Severity::Info, "drained")
      .field("cut_off",
             static_cast<std::int64_t>(areAllDone ? 0 : Open.count()));
  // Callers cache an address for its time to live, and the peers list it until
  // they have received the update. If the port closed earlier, a caller that
  // sends at that moment would have its connection reset with no indication of
  // whether its call ran.
  std::this_thread::sleep_until(start + 2 * Settings.AddressTimeToLive);
}

void Daemon::stop() {
  {
    const std::lock_guard<std::mutex> lock(StopMutex);
    if (IsDraining)
      return;
    IsDraining = true;
  }
  drain();
  {
    const std::lock_guard<std::mutex> lock(StopMutex);
    IsStopping = true;
  }
  StopChanged.notify_all();
  Server.stop();
  Handovers.stop();
  Recovery.stop();
  Peers.stop();
  for (std::thread &it : Workers)
    it.join();
  LogLine(Severity::Info, "stopped");
}

void Daemon::addWorker(void (Daemon::*work)()) {
  Workers.emplace_back([this, work] { (this->*work)(); });
}

bool Daemon::sleepFor(Duration interval) {
  std::unique_lock<std::mutex> lock(StopMutex);
  return !StopChanged.wait_for(lock, interval, [this] { return IsStopping; });
}

void Daemon::watchBundle() {
  std::uint64_t known = 0;
  do {
    try {
      const auto object =
          Objects.Watch(CurrentBundleObject, known, Settings.WatchTimeout);
      if (!object)
        continue;
      known = object->Version;
      if (!Bundles.offer(object->Body))
        continue;
      const auto generation = Bundles.current()->Generation;
      Counts.setBundleGeneration(generation);
      Peers.publishBundle();
      applyBundle();
      LogLine(Severity::Info, "bundle in force")
          .field("generation", static_cast<std::int64_t>(generation));
    } catch (const ObjectApiUnavailable &error) {
      Counts.countObjectApi("watch", "unavailable");
    } catch (const Error &error) {
      LogLine(Severity::Warning, "bundle refused").field("error", error.what());
    }
  } while (sleepFor(WatchRetryDelay));
}

void Daemon::applyBundle() { Admissions.setTeams(Bundles.current()->Teams); }

void Daemon::publishToPeers() {
  do {
    Peers.publishState(Open.isStopping());
    Peers.publishLeaving(Upstreams.leavingNotices(now()));
  } while (sleepFor(Settings.PollInterval));
}

void Daemon::pollHostList() {
  do {
    try {
      const Instant askedAt = now();
      Upstreams.applyHostList(
          fetchHostList(Settings.Platform, Settings.ObjectApiTimeout), askedAt);
    } catch (const HostListUnavailable &error) {
      LogLine(Severity::Warning, "host list unavailable")
          .field("error", error.what());
    }
  } while (sleepFor(Settings.PollInterval));
}

void Daemon::watchNotices() {
  std::uint64_t known = 0;
  do {
    try {
      for (const ReclaimNotice &it : fetchReclaimNotices(
               Settings.Platform, known, Settings.WatchTimeout)) {
        known = it.Sequence;
        Upstreams.applyNotice(it);
        if (it.Address == Settings.Listen)
          scheduleHandover(it.ReclaimAt);
        LogLine(Severity::Info, "reclaim notice").field("upstream", it.Address);
      }
    } catch (const CloudUnavailable &error) {
      LogLine(Severity::Warning, "notices unavailable")
          .field("error", error.what());
    }
  } while (sleepFor(milliseconds(10)));
}

std::optional<EngineLoad> Daemon::fetchLoad(const UpstreamId &engine) const {
  try {
    return fetchEngineLoad(engine, Settings.PollInterval);
  } catch (const EngineFailed &) {
    // A missing report has no effect: the host list decides whether the host is
    // alive.
    return std::nullopt;
  }
}

void Daemon::pollLoads() {
  Duration interval{};
  do {
    const std::vector<EngineView> engines = Upstreams.engines();
    for (const EngineView &it : engines) {
      const Instant askedAt = now();
      const std::optional<EngineLoad> load = fetchLoad(it.Id);
      if (load)
        Upstreams.applyLoad(it.Id, *load, askedAt);
    }
    const auto n = static_cast<std::int64_t>(engines.size());
    interval = std::max(Settings.PollInterval, n * MinLoadPollInterval);
  } while (sleepFor(interval));
}

void Daemon::tickUpstreams() {
  do {
    Upstreams.tick(now());
    Admissions.tick();
  } while (sleepFor(UpstreamTickInterval));
}

void Daemon::recoverStreams() {
  do
    Recovery.tick();
  while (sleepFor(RecoveryInterval));
}

void Daemon::tickRollouts() {
  while (sleepFor(RolloutInterval)) {
    const auto bundle = Bundles.current();
    if (!bundle)
      continue;
    Tracker.tick(*bundle, now());
    if (!Tracker.rolloutViews(*bundle).empty())
      Peers.publishRollout(Tracker.ownKnowledge());
  }
}

void Daemon::onPeerKnowledge(const PeerKnowledge &incoming) {
  Tracker.receive(incoming.Rollout);
  std::vector<LeavingNotice> notices;
  notices.reserve(incoming.Leaving.size());
  for (const auto &[upstream, goneAt] : incoming.Leaving)
    notices.push_back({upstream, goneAt});
  Upstreams.applyPeerNotices(notices);
}

void Daemon::onPeerFreshness(const HostId &peer, Instant askedAt) {
  // Runs only on the mesh's thread and needs no lock.
  Freshness.answered(peer, askedAt);
  const Instant until = Freshness.knownUntil(Peers.peers().size());
  if (until != Instant{})
    Tracker.confirmKnowledgeUntil(until);
}

void Daemon::exchangeRollouts() {
  for (unsigned round = 0; sleepFor(Settings.PollInterval); ++round) {
    const auto bundle = Bundles.current();
    if (!bundle || Tracker.rolloutViews(*bundle).empty())
      continue;
    try {
      // If every host reads every host's object, the number of calls grows with
      // the square of the number of hosts. The objects are therefore read only
      // while no peer is connected.
      if (!Peers.hasLivePeer())
        Rollouts.exchange();
      else if (round % RoundsPerObjectWrite == 0)
        Rollouts.writeOwn();
    } catch (const Error &error) {
      LogLine(Severity::Info, "rollout state not exchanged")
          .field("error", error.what());
    }
  }
}

void Daemon::scheduleHandover(Instant at) {
  Open.beginStop();
  const std::lock_guard<std::mutex> lock(StopMutex);
  // Some answers end during the first half of the notice period and need no
  // handover.
  const Instant start = now();
  HandoverAt = start + std::max(Duration{}, at - start) / 2;
}

void Daemon::handOverBeforeEnd() {
  const auto isDue = [this] {
    const std::lock_guard<std::mutex> lock(StopMutex);
    return HandoverAt && now() >= *HandoverAt;
  };
  while (sleepFor(HandoverInterval))
    if (isDue())
      handOverAnswers();
}

void Daemon::handOverAnswers() {
  const auto peers = [this] {
    std::vector<HandoverPeer> out;
    for (const PeerView &it : Peers.mesh().peers())
      if (it.IsLiving)
        out.push_back({it.Host, it.Zone, it.CallerAddress, it.IsLeaving});
    return out;
  };
  Handovers.handOverAll(
      peers, [this](const HostId &host, const std::string &body) {
        Peers.mesh().forward(host, HandoverKind, body, HandoverTimeout);
      });
}

void Daemon::writeStatus() {
  while (sleepFor(Settings.PollInterval)) {
    const auto bundle = Bundles.current();
    if (!bundle)
      continue;
    for (const RolloutView &it : Tracker.rolloutViews(*bundle)) {
      try {
        Rollouts.writeStatus(it, bundle->Generation);
      } catch (const Error &error) {
        LogLine(Severity::Info, "rollout status not written")
            .field("error", error.what());
      }
    }
  }
}

} // namespace sorrelbay
