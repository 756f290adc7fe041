#pragma once

#include "LibPeer/HostTable.h"
#include "LibPeer/MeshActions.h"
#include "LibPeer/MeshCounts.h"
#include "LibPeer/PeerLink.h"
#include "LibPeer/PeerRequests.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sorrelbay {

/// The intervals at which a daemon sends messages to its peers.
struct MeshIntervals {
  /// The interval between two heartbeats on one connection.
  Duration HeartbeatInterval;
  /// A connection on which no message has arrived for this long is closed and
  /// replaced.
  Duration SilenceTimeout;
  /// The interval between two updates with the host's own changes.
  Duration UpdateInterval;
  /// The interval between two updates with the whole knowledge of the host, for
  /// hosts that can't reach the source of a change.
  Duration FullUpdateInterval;
  /// The interval between two reports of this host. A change of IsLeaving is
  /// reported without waiting for it.
  Duration HostReportInterval;
};

/// The identity of this daemon in the mesh and the ways to reach its peers.
struct MeshSettings {
  HostId Self;
  ZoneId Zone;
  IncarnationId Incarnation;
  /// The "address:port" that peers connect to.
  std::string PeerAddress;
  /// The "address:port" that callers connect to.
  std::string CallerAddress;
  /// Addresses of the first peers, which supply the addresses of the others.
  std::vector<std::string> Seeds;
  /// This daemon authenticates with the first secret and accepts any of them
  /// from peers, so that a secret can be replaced host by host.
  std::vector<std::string> Secrets;
  /// Used in a mesh of at most FullMeshLimit hosts.
  MeshIntervals SmallMeshIntervals{milliseconds(250), seconds(1),
                                   milliseconds(50), seconds(1), seconds(1)};
  /// Used in a larger mesh, in which hosts relay the updates of all others, so
  /// that the traffic of a host grows with the size of the mesh.
  MeshIntervals LargeMeshIntervals{seconds(1), seconds(3), seconds(1),
                                   seconds(1), seconds(30)};
  /// A connection whose handshake takes longer than this is closed.
  Duration HandshakeTimeout = seconds(2);
  /// The interval between two attempts to connect to one address.
  Duration ConnectRetryInterval = milliseconds(500);
  /// A connection to a host that is not a selected peer is closed this long
  /// after it was established or carried the last request.
  Duration UnselectedLinkIdleTimeout = seconds(30);
};

/// The state of another entry host, for the owner of a mesh.
struct PeerView {
  HostId Host;
  ZoneId Zone;
  std::string CallerAddress;
  bool IsLeaving = false;
  /// Recently seen, so that callers may be sent there.
  bool IsLiving = false;
};

/// The protocol state of one daemon in the mesh, without threads, sockets or a
/// clock: events with their time are passed in, and it acts through
/// MeshTransport. Not thread-safe: the owner must call it from one thread.
class MeshState {
public:
  MeshState(MeshSettings settings, MeshTransport transport, MeshHooks hooks,
            Instant at);

  /// To be called when a peer has connected to this host.
  void accepted(ConnectionId connection, Instant at);
  /// To be called when a connection that Connect started is open.
  void opened(ConnectionId connection, Instant at);
  /// To be called when a connection was closed or could not be opened.
  void closed(ConnectionId connection, Instant at);
  void received(ConnectionId connection, const std::string &bytes, Instant at);
  /// To be called every few tens of milliseconds.
  void tick(Instant at);

  /// Closes all connections. Pending requests fail.
  void stop();

  /// Publishes knowledge that originates at this host. A bundle in it must have
  /// been verified.
  void publish(const PeerKnowledge &ownKnowledge, Instant at);
  /// Removes the evidence for all other versions, so that it does not grow with
  /// the number of past rollouts.
  void keepEvidence(const std::set<VersionId> &versions);
  /// Sets the contents of the next report of this host.
  void report(bool isLeaving, std::map<UpstreamId, std::uint32_t> inFlight);
  /// Sends a request. Calls `onResult` exactly once, by the deadline.
  void request(const HostId &host, std::string kind, std::string body,
               Instant deadline, OnPeerResult onResult);
  /// Replies to a peer's request. The reply is dropped if the connection has
  /// been closed.
  void respond(ConnectionId connection, const PeerReply &reply);

  const PeerKnowledge &knowledge() const { return LocalKnowledge; }
  std::vector<PeerView> peers(Instant at) const;
  MeshCounts counts() const;
  /// The peers with a live connection.
  std::set<HostId> linkedHosts() const;

private:
  using Links = std::map<ConnectionId, PeerLink>;

  void detectPause(Instant at);
  void dropAll();
  void addLink(ConnectionId connection, PeerRole role, std::string address,
               Instant at);
  void startHandshake(ConnectionId connection, Instant at);
  void handle(ConnectionId connection, const PeerMessage &message, Instant at);
  void handleLive(ConnectionId connection, const PeerMessage &message,
                  Instant at);
  void becomeLive(ConnectionId connection, Instant at);
  bool dropDuplicateLink(ConnectionId connection);
  void mergeUpdate(ConnectionId connection, PeerKnowledge receivedKnowledge,
                   Instant at);
  void replyToHeartbeat(ConnectionId connection,
                        const PeerHeartbeat &heartbeat);
  void renewOwnReport(Instant at);
  void supersedeOlderIncarnation(Instant at);
  void sendUpdate(ConnectionId connection, const PeerKnowledge &part);
  void sendUpdateToAll(const PeerKnowledge &part);
  PeerKnowledge promptUpdate() const;
  void sendUpdateIfDue(Instant at);
  void sendRequests();
  void send(ConnectionId connection, const PeerMessage &message);
  void drop(ConnectionId connection);
  void dropSilent(Instant at);
  void sendHeartbeats(Instant at);
  const MeshIntervals &intervals() const;
  void reselectPeers(Instant at);
  void connectTo(const std::set<std::string> &wanted, Instant at);
  std::set<std::string> wantedAddresses(Instant at) const;
  void dropUnwanted(const std::set<std::string> &wanted, Instant at);
  std::string addressOf(const PeerLink &link) const;
  bool isConnected(const std::string &address) const;

  MeshSettings Settings;
  MeshTransport Transport;
  MeshHooks Hooks;
  Links LinksByConnection;
  PeerKnowledge LocalKnowledge;
  HostTable SeenHosts;
  PeerRequests Requests;
  HostReport OwnReport;
  std::map<std::string, Instant> LastAttemptAt;
  /// Addresses, such as those of seeds, that were found to be this daemon's
  /// own.
  std::set<std::string> OwnAddresses;
  Instant LastEventAt;
  Instant ReportedAt{};
  Instant UpdateSentAt{};
  Instant FullUpdateSentAt{};
  Instant PeersSelectedAt{};
  MeshCounts Counts;
};

} // namespace sorrelbay
