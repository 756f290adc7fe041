#include "PeerMessaging.h"
#include "LibBase/Hash.h"
#include "LibBase/LogLine.h"
#include "LibPeer/HelloProof.h"
#include <algorithm>

namespace sorrelbay {

/// The maximum number of peers' requests that run concurrently; further ones
/// wait.
static constexpr std::size_t MaxRequestWorkers = 32;

static IncarnationId newIncarnation(const HostId &host) {
  return IncarnationId(host.text() + "-" +
                       std::to_string(stableHash(makeNonce())));
}

PeerMessaging::PeerMessaging(const DaemonSettings &settings,
                             BundleStore &bundles, Metrics &metrics)
    : Settings(settings), Bundles(bundles), Counts(metrics),
      Incarnation(newIncarnation(settings.Host)), Workers(MaxRequestWorkers) {}

PeerMessaging::~PeerMessaging() { stop(); }

void PeerMessaging::registerHandler(const std::string &kind,
                                    RequestHandler requestHandler) {
  RequestHandlers[kind] = std::move(requestHandler);
}

void PeerMessaging::onBundle(std::function<void()> hook) {
  OnBundle = std::move(hook);
}

void PeerMessaging::onKnowledge(
    std::function<void(const PeerKnowledge &)> hook) {
  OnKnowledge = std::move(hook);
}

void PeerMessaging::onFresh(std::function<void(const HostId &, Instant)> hook) {
  OnFresh = std::move(hook);
}

MeshSettings
PeerMessaging::meshSettings(const std::string &callerAddress) const {
  MeshSettings out;
  out.Self = Settings.Host;
  out.Zone = Settings.Zone;
  out.Incarnation = Incarnation;
  out.PeerAddress = Settings.PeerListen;
  out.CallerAddress = callerAddress;
  out.Seeds = Settings.Peers;
  out.Secrets = {Settings.PeerSecret};
  return out;
}

MeshHooks PeerMessaging::hooks() {
  MeshHooks out;
  out.AcceptBundle = [this](const BundleMark &it) { return acceptBundle(it); };
  out.OnKnowledge = [this](const PeerKnowledge &it) {
    if (OnKnowledge)
      OnKnowledge(it);
  };
  out.OnFresh = [this](const HostId &host, Instant askedAt) {
    if (OnFresh)
      OnFresh(host, askedAt);
  };
  out.OnRequest = [this](const HostId &from, const PeerRequest &request,
                         const PeerRespond &respond) {
    Workers.enqueue([this, from, request, respond] {
      handleRequest(from, request, respond);
    });
  };
  return out;
}

void PeerMessaging::start(const std::string &callerAddress) {
  Mesh = std::make_unique<PeerMesh>(meshSettings(callerAddress), hooks());
  Mesh->start();
  LogLine(Severity::Info, "listening for peers")
      .field("address", Mesh->address());
}

void PeerMessaging::stop() {
  // The mesh is stopped first, so that no more requests arrive. Replies of
  // handlers that are still running are dropped.
  if (Mesh)
    Mesh->stop();
  Workers.shutdown();
}

bool PeerMessaging::acceptBundle(const BundleMark &mark) {
  try {
    if (Bundles.offer(mark)) {
      Counts.setBundleGeneration(mark.Generation);
      LogLine(Severity::Info, "bundle in force")
          .field("generation", static_cast<std::int64_t>(mark.Generation))
          .field("from", "peer");
      if (OnBundle)
        OnBundle();
    }
    return true;
  } catch (const BundleRefused &error) {
    LogLine(Severity::Warning, "bundle refused")
        .field("error", error.what())
        .field("from", "peer");
    return false;
  }
}

void PeerMessaging::handleRequest(const HostId &from,
                                  const PeerRequest &request,
                                  const PeerRespond &respond) {
  const auto requestHandler = RequestHandlers.find(request.Kind);
  if (requestHandler == RequestHandlers.end()) {
    respond({request.Number, false, "no such service"});
    return;
  }
  try {
    respond({request.Number, true, requestHandler->second(from, request.Body)});
  } catch (const Error &error) {
    respond({request.Number, false, error.what()});
  }
}

std::vector<PeerView> PeerMessaging::peers() const {
  return Mesh ? Mesh->peers() : std::vector<PeerView>();
}

bool PeerMessaging::hasLivePeer() const {
  const std::vector<PeerView> all = peers();
  return std::any_of(all.begin(), all.end(),
                     [](const PeerView &it) { return it.IsLiving; });
}

void PeerMessaging::publishBundle() {
  PeerKnowledge ownUpdate;
  ownUpdate.Bundle = Bundles.mark();
  Mesh->publish(ownUpdate);
}

void PeerMessaging::publishLeaving(const std::vector<LeavingNotice> &notices) {
  PeerKnowledge ownUpdate;
  for (const LeavingNotice &it : notices)
    ownUpdate.Leaving[it.Upstream] = it.GoneAt;
  Mesh->publish(ownUpdate);
}

void PeerMessaging::publishRollout(const RolloutKnowledge &known) {
  PeerKnowledge ownUpdate;
  ownUpdate.Rollout = known;
  Mesh->publish(ownUpdate);
}

void PeerMessaging::publishState(bool isLeaving) {
  Mesh->report(isLeaving, {});
  Counts.setPeerCounts(Mesh->counts());
}

} // namespace sorrelbay
