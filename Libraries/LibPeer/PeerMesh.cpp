#include "LibPeer/PeerMesh.h"
#include "LibBase/Invariant.h"
#include "LibPeer/PeerSocket.h"
#include <future>

namespace sorrelbay {

static constexpr Duration MeshTickInterval = milliseconds(50);
/// How long forward() waits beyond its timeout for the mesh's thread to report
/// the result of the request.
static constexpr Duration ResultMargin = seconds(1);

PeerMesh::PeerMesh(MeshSettings settings, MeshHooks hooks)
    : Settings(std::move(settings)),
      SteadyStart(std::chrono::steady_clock::now()), SystemStart(now()) {
  PeerSocketEvents events;
  events.Accepted = [this](ConnectionId it) {
    State->accepted(it, meshTime());
  };
  events.Opened = [this](ConnectionId it) { State->opened(it, meshTime()); };
  events.Closed = [this](ConnectionId it) { State->closed(it, meshTime()); };
  events.Received = [this](ConnectionId it, const std::string &bytes) {
    State->received(it, bytes, meshTime());
  };
  Socket = std::make_unique<PeerSocket>(Settings.PeerAddress, events);
  Settings.PeerAddress = Socket->address();
  State = std::make_unique<MeshState>(Settings, makeTransport(),
                                      wrapHooks(std::move(hooks)), meshTime());
}

PeerMesh::~PeerMesh() { stop(); }

Instant PeerMesh::meshTime() const {
  // Close to the wall clock, since peers compare these times, but monotonic: a
  // step of the wall clock would look like a pause, or hide one.
  return SystemStart + duration_cast<Duration>(
                           std::chrono::steady_clock::now() - SteadyStart);
}

MeshTransport PeerMesh::makeTransport() {
  MeshTransport transport;
  transport.Connect = [this](const std::string &address) {
    return Socket->connect(address);
  };
  transport.Send = [this](ConnectionId it, const std::string &bytes) {
    Socket->send(it, bytes);
  };
  transport.Close = [this](ConnectionId it) { Socket->close(it); };
  transport.RaiseMessageLimit = [this](ConnectionId it) {
    Socket->raiseMessageLimit(it);
  };
  return transport;
}

MeshHooks PeerMesh::wrapHooks(MeshHooks hooks) {
  // The owner may respond from any thread.
  hooks.OnRequest = [this, inner = std::move(hooks.OnRequest)](
                        const HostId &host, const PeerRequest &request,
                        const PeerRespond &respond) {
    inner(host, request, [this, respond](const PeerReply &reply) {
      Socket->post([respond, reply] { respond(reply); });
    });
  };
  return hooks;
}

void PeerMesh::start() {
  Socket->runPeriodically(MeshTickInterval, [this] {
    State->tick(meshTime());
    updateSnapshot();
  });
  Worker = std::thread([this] { Socket->run(); });
}

void PeerMesh::stop() {
  if (IsStopped.exchange(true))
    return;
  Socket->post([this] {
    State->stop();
    Socket->stop();
  });
  if (Worker.joinable())
    Worker.join();
}

void PeerMesh::updateSnapshot() {
  std::vector<PeerView> peers = State->peers(meshTime());
  const MeshCounts counts = State->counts();
  const std::lock_guard<std::mutex> lock(SnapshotMutex);
  Peers = std::move(peers);
  Counts = counts;
}

std::vector<PeerView> PeerMesh::peers() const {
  const std::lock_guard<std::mutex> lock(SnapshotMutex);
  return Peers;
}

MeshCounts PeerMesh::counts() const {
  const std::lock_guard<std::mutex> lock(SnapshotMutex);
  return Counts;
}

void PeerMesh::publish(const PeerKnowledge &ownKnowledge) {
  Socket->post(
      [this, ownKnowledge] { State->publish(ownKnowledge, meshTime()); });
}

void PeerMesh::keepEvidence(const std::set<VersionId> &versions) {
  Socket->post([this, versions] { State->keepEvidence(versions); });
}

void PeerMesh::report(bool isLeaving,
                      std::map<UpstreamId, std::uint32_t> inFlight) {
  Socket->post([this, isLeaving, inFlight = std::move(inFlight)]() mutable {
    State->report(isLeaving, std::move(inFlight));
  });
}

std::string PeerMesh::forward(const HostId &host, const std::string &kind,
                              const std::string &body, Duration timeout) {
  verifyInvariant(std::this_thread::get_id() != Worker.get_id(),
                  "hooks-do-not-wait-for-peers",
                  "forward() was called from a hook of the mesh");
  if (IsStopped)
    throw PeerUnreachable("peer mesh is stopped");
  auto promise = std::make_shared<std::promise<PeerRequestResult>>();
  std::future<PeerRequestResult> future = promise->get_future();
  Socket->post([this, host, kind, body, timeout, promise] {
    State->request(
        host, kind, body, meshTime() + timeout,
        [promise](const PeerRequestResult &it) { promise->set_value(it); });
  });
  if (future.wait_for(timeout + ResultMargin) != std::future_status::ready)
    throw PeerOutcomeUnknown(
        "peer mesh reported no result of the request in time");
  const PeerRequestResult result = future.get();
  switch (result.RequestOutcome) {
  case PeerRequestOutcome::Done:
    return result.Body;
  case PeerRequestOutcome::Declined:
    throw PeerDeclined(host.text() + ": " + result.Body);
  case PeerRequestOutcome::Unreachable:
    throw PeerUnreachable(host.text() + ": " + result.Body);
  case PeerRequestOutcome::Unknown:
    break;
  }
  throw PeerOutcomeUnknown(host.text() + ": " + result.Body);
}

} // namespace sorrelbay
