#include "Daemon.h"
#include "LibBase/LogLine.h"
#include "LibCloud/CloudNotices.h"
#include "LibHostList/HostList.h"
#include "LibObjectApi/HttpObjectApi.h"
#include "LibOperator/SignedBundle.h"
#include <utility>

namespace sorrelbay {

static constexpr Duration RecoveryInterval = milliseconds(50);
static constexpr Duration UpstreamTick = milliseconds(50);
static constexpr Duration RolloutInterval = milliseconds(100);
/// Rounds of looking after which the object for others is written again.
static constexpr unsigned RoundsForObject = 10;
static constexpr Duration HandoverInterval = milliseconds(100);
static constexpr Duration HandoverTimeout = milliseconds(500);
/// For callers to read where their answers go on.
static constexpr Duration HandoverGrace = seconds(2);
/// Load reports are asked for no faster than this, one after the other: each
/// costs about 0.2 ms of processor time, which by the hundred would be more
/// than control may cost. An upstream whose word is old is asked before it is
/// given new work, so a slower round does no harm but to the estimates.
static constexpr Duration LeastLoadPause = milliseconds(25);
static constexpr Duration RetryPause = milliseconds(200);

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
      Admitted([this](const ServiceId &it) { return Upstreams.placesFor(it); }),
      Moves(Settings.Host,
            [this](const VersionId &it) { return Upstreams.replicasOf(it); }),
      Rollouts(Objects, Settings.Host, Moves),
      Recovery(Settings, Upstreams, Answers, Counts),
      Models(Settings, Bundles, Upstreams, Moves, Open, Counts, Answers,
             Recovery, Admitted),
      Handovers(Settings, Bundles, Answers, Models, Open),
      Desks(Settings, Bundles, Upstreams, Moves, Open, Counts, Objects),
      Callers(Settings, Bundles, Upstreams, Models, Desks, Open, Counts),
      Server(serverLimits(Settings)) {}

// A daemon that could not listen has nothing to drain, and parts of it that
// draining asks are not there yet.
Daemon::~Daemon() {
  if (HasStarted)
    stop();
}

void Daemon::start() {
  Peers.onBundle([this] { applyBundle(); });
  Peers.onKnowledge(
      [this](const PeerKnowledge &said) { onPeerKnowledge(said); });
  Peers.onFresh([this](const HostId &peer, Instant askedAt) {
    onPeerFreshness(peer, askedAt);
  });
  Callers.setPeers([this] { return Peers.peers(); });
  Callers.serveOn(Server);
  const std::string address = Server.bind(Settings.Listen);
  Callers.setOwnAddress(address);
  Peers.serve(HandoverKind, [this](const HostId &, const std::string &body) {
    Handovers.take(body);
    return std::string();
  });
  Peers.start(address);
  // Only now, since callers' handlers use all of the above.
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
  addWorker(&Daemon::rollOut);
  addWorker(&Daemon::shareRollouts);
  addWorker(&Daemon::handOverBeforeEnd);
  addWorker(&Daemon::writeStatus);
}

void Daemon::drain() {
  const auto start = std::chrono::steady_clock::now();
  LogLine(Severity::Info, "draining")
      .field("open_calls", static_cast<std::int64_t>(Open.count()));
  Open.beginStop();
  // At once: the next look of a caller must already leave this daemon out.
  Peers.refresh(true);
  bool areAllDone = Open.waitForNone(Settings.StopGrace);
  if (!areAllDone) {
    handOverAnswers();
    areAllDone = Open.waitForNone(HandoverGrace);
  }
  LogLine(Severity::Info, "drained")
      .field("cut_off",
             static_cast<std::int64_t>(areAllDone ? 0 : Open.count()));
  // Callers keep an address for its time to live, and the peers take a moment
  // to leave it out. Were the port closed before, one that sends just then
  // would see its connection reset and not know whether its call ran.
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
  } while (sleepFor(RetryPause));
}

void Daemon::applyBundle() { Admitted.setTeams(Bundles.current()->Teams); }

void Daemon::publishToPeers() {
  do {
    Peers.refresh(Open.isStopping());
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
    // No report is no news; the host list says whether the host lives.
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
    interval = std::max(Settings.PollInterval, n * LeastLoadPause);
  } while (sleepFor(interval));
}

void Daemon::tickUpstreams() {
  do {
    Upstreams.tick(now());
    Admitted.tick();
  } while (sleepFor(UpstreamTick));
}

void Daemon::recoverStreams() {
  do
    Recovery.tick();
  while (sleepFor(RecoveryInterval));
}

void Daemon::rollOut() {
  while (sleepFor(RolloutInterval)) {
    const auto bundle = Bundles.current();
    if (!bundle)
      continue;
    Moves.tick(*bundle, now());
    if (!Moves.moves(*bundle).empty())
      Peers.publishRollout(Moves.news());
  }
}

void Daemon::onPeerKnowledge(const PeerKnowledge &said) {
  Moves.receive(said.Rollout);
  std::vector<LeavingNotice> notices;
  notices.reserve(said.Leaving.size());
  for (const auto &[upstream, goneAt] : said.Leaving)
    notices.push_back({upstream, goneAt});
  Upstreams.applyPeerNotices(notices);
}

void Daemon::onPeerFreshness(const HostId &peer, Instant askedAt) {
  // Runs on the mesh's thread alone, so it needs no lock.
  Freshness.answered(peer, askedAt);
  const Instant until = Freshness.knownUntil(Peers.peers().size());
  if (until != Instant{})
    Moves.refreshed(until);
}

void Daemon::shareRollouts() {
  for (unsigned round = 0; sleepFor(Settings.PollInterval); ++round) {
    const auto bundle = Bundles.current();
    if (!bundle || Moves.moves(*bundle).empty())
      continue;
    try {
      // Reading every host's object costs calls by the square of the hosts, so
      // that is only done where no peer tells.
      if (!Peers.hasLivePeer())
        Rollouts.exchange();
      else if (round % RoundsForObject == 0)
        Rollouts.tell();
    } catch (const Error &error) {
      LogLine(Severity::Info, "rollouts not shared")
          .field("error", error.what());
    }
  }
}

void Daemon::scheduleHandover(Instant at) {
  Open.beginStop();
  const std::lock_guard<std::mutex> lock(StopMutex);
  // The first half of the notice is left to answers that end by themselves.
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
    for (const RolloutView &it : Moves.moves(*bundle)) {
      try {
        Rollouts.writeStatus(it, bundle->Generation);
      } catch (const Error &error) {
        LogLine(Severity::Info, "status not written")
            .field("error", error.what());
      }
    }
  }
}

} // namespace sorrelbay
