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

/// The daemon's link to its peers: passes bundles on in both directions and
/// runs what peers ask for. Thread-safe from start() on; takes no lock of its
/// own, so it adds nothing to the lock order.
class PeerMessaging {
public:
  PeerMessaging(const DaemonSettings &settings, BundleStore &bundles,
                Metrics &metrics);
  ~PeerMessaging();

  /// Gives the answer to a peer's request; may block. What it throws as an
  /// Error is told to the peer, which sees PeerDeclined.
  using Service =
      std::function<std::string(const HostId &from, const std::string &body)>;
  /// Adds what peers may ask for by that name. Before start() only.
  void serve(const std::string &kind, Service service);

  /// What is done when a peer's bundle has come into force, with other news of
  /// peers, and when a peer has
  /// confirmed that all it knew at a time is known here. Called on the mesh's
  /// thread, must not block. Before start() only.
  void onBundle(std::function<void()> hook);
  void onKnowledge(std::function<void(const PeerKnowledge &)> hook);
  void onFresh(std::function<void(const HostId &, Instant)> hook);

  /// Throws PeerListenFailed.
  void start(const std::string &callerAddress);
  void stop();

  /// This life of the daemon; differs from every other.
  const IncarnationId &incarnation() const { return Incarnation; }
  PeerMesh &mesh() { return *Mesh; }

  /// What the other daemons say of themselves; empty before start().
  std::vector<PeerView> peers() const;
  bool hasLivePeer() const;

  /// Tells peers the bundle in force.
  void publishBundle();
  /// Tells peers which upstreams leave, and when.
  void publishLeaving(const std::vector<LeavingNotice> &notices);
  /// Tells peers what this daemon knows of moves.
  void publishRollout(const RolloutKnowledge &known);
  /// Tells peers whether this daemon still takes calls, and shows the link's
  /// counts in the metrics.
  void refresh(bool isLeaving);

private:
  MeshSettings meshSettings(const std::string &callerAddress) const;
  MeshHooks hooks();
  bool takeBundle(const BundleMark &mark);
  void answer(const HostId &from, const PeerRequest &request,
              const PeerRespond &respond);

  const DaemonSettings &Settings;
  BundleStore &Bundles;
  Metrics &Counts;
  IncarnationId Incarnation;
  std::map<std::string, Service> Services;
  std::function<void()> OnBundle;
  std::function<void(const PeerKnowledge &)> OnKnowledge;
  std::function<void(const HostId &, Instant)> OnFresh;
  GrowingWorkerPool Workers;
  std::unique_ptr<PeerMesh> Mesh;
};

} // namespace sorrelbay
