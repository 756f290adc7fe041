#pragma once

#include "LibPeer/MeshState.h"
#include "LibPeer/PeerFailures.h"
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sorrelbay {

class PeerSocket;

/// The daemon's endpoint in the mesh, with its own thread and sockets. All
/// state of the connections belongs to that thread and needs no lock. The hooks
/// run on it with no lock held, so they may take any lock of the daemon. A
/// thread of the daemon that waits in forward() must not hold a lock that a
/// hook takes. The only mutex here guards the snapshot below and is a leaf in
/// the lock order: no other lock is taken while it is held.
class PeerMesh {
public:
  /// Listens on the PeerAddress of the settings; port 0 selects a free port.
  /// Throws PeerListenFailed if it can't. The hooks may be called as soon as
  /// start() has been called.
  PeerMesh(MeshSettings settings, MeshHooks hooks);
  ~PeerMesh();
  PeerMesh(const PeerMesh &) = delete;
  PeerMesh &operator=(const PeerMesh &) = delete;

  void start();
  /// Closes all connections. Pending requests fail. Idempotent.
  void stop();

  /// The address that peers connect to, with the port in use.
  std::string address() const { return Settings.PeerAddress; }

  /// See MeshState::publish(). May be called from any thread.
  void publish(const PeerKnowledge &ownKnowledge);
  /// See MeshState::keepEvidence(). May be called from any thread.
  void keepEvidence(const std::set<VersionId> &versions);
  /// Sets the contents of the next reports of this host. May be called from any
  /// thread.
  void report(bool isLeaving, std::map<UpstreamId, std::uint32_t> inFlight);
  /// Sends a request to a peer and waits for its reply. Throws PeerUnreachable,
  /// PeerOutcomeUnknown or PeerDeclined. May be called from any thread except
  /// the mesh's own, on which the hooks run.
  std::string forward(const HostId &host, const std::string &kind,
                      const std::string &body, Duration timeout);
  /// The other entry hosts, as of the last tick. May be called from any thread.
  std::vector<PeerView> peers() const;
  MeshCounts counts() const;

private:
  Instant meshTime() const;
  MeshTransport makeTransport();
  MeshHooks wrapHooks(MeshHooks hooks);
  void updateSnapshot();

  MeshSettings Settings;
  std::chrono::steady_clock::time_point SteadyStart;
  Instant SystemStart;
  std::unique_ptr<PeerSocket> Socket;
  std::unique_ptr<MeshState> State;
  std::thread Worker;
  std::atomic<bool> IsStopped{false};
  mutable std::mutex SnapshotMutex;
  std::vector<PeerView> Peers;
  MeshCounts Counts;
};

} // namespace sorrelbay
