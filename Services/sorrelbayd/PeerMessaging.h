#pragma once

#include "BundleStore.h"
#include "DaemonSettings.h"
#include "LibDecision/LeavingUpstreams.h"
#include "LibHttp/GrowingWorkerPool.h"
#include "LibPeer/PeerMesh.h"
#include "Metrics.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sorrelbay {

/// The daemon's messaging with its peers: exchanges bundles and other knowledge
/// and runs the peers' requests. Thread-safe from start() on. It has no lock of
/// its own and adds nothing to the lock order.
class PeerMessaging {
public:
  PeerMessaging(const DaemonSettings &settings, BundleStore &bundles,
                Metrics &metrics);
  ~PeerMessaging();

  /// Handles a peer's request and returns the reply; may block. If it throws an
  /// Error, the message is sent to the peer, which throws PeerDeclined.
  using RequestHandler =
      std::function<std::string(const HostId &from, const std::string &body)>;
  /// Registers the handler of a kind of request. Before start() only.
  void registerHandler(const std::string &kind, RequestHandler requestHandler);

  /// Set the hooks that are called when a peer's bundle has come into force,
  /// for other knowledge that a peer sends, and when a peer has confirmed that
  /// it has sent all knowledge that it had at a given time. The hooks are
  /// called on the mesh's thread and must not block. Before start() only.
  void onBundle(std::function<void()> hook);
  void onKnowledge(std::function<void(const PeerKnowledge &)> hook);
  void onFresh(std::function<void(const HostId &, Instant)> hook);

  /// Throws PeerListenFailed.
  void start(const std::string &callerAddress);
  void stop();

  /// The id of this process, which differs from that of every other process.
  const IncarnationId &incarnation() const { return Incarnation; }
  PeerMesh &mesh() { return *Mesh; }

  /// The states that the other daemons report; empty before start().
  std::vector<PeerView> peers() const;
  bool hasLivePeer() const;

  /// Publishes the bundle in force to peers.
  void publishBundle();
  /// Publishes which upstreams are leaving, and when.
  void publishLeaving(const std::vector<LeavingNotice> &notices);
  /// Publishes this daemon's knowledge of rollouts.
  void publishRollout(const RolloutKnowledge &known);
  /// Publishes whether this daemon still accepts calls, and updates the metrics
  /// of the peer connections.
  void publishState(bool isLeaving);

private:
  MeshSettings meshSettings(const std::string &callerAddress) const;
  MeshHooks hooks();
  bool acceptBundle(const BundleMark &mark);
  void handleRequest(const HostId &from, const PeerRequest &request,
                     const PeerRespond &respond);

  const DaemonSettings &Settings;
  BundleStore &Bundles;
  Metrics &Counts;
  IncarnationId Incarnation;
  std::map<std::string, RequestHandler> RequestHandlers;
  std::function<void()> OnBundle;
  std::function<void(const PeerKnowledge &)> OnKnowledge;
  std::function<void(const HostId &, Instant)> OnFresh;
  GrowingWorkerPool Workers;
  std::unique_ptr<PeerMesh> Mesh;
};

} // namespace sorrelbay
