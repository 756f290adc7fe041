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

/// How often a daemon speaks to its peers.
struct MeshIntervals {
  /// A question goes out on each connection that often.
  Duration HeartbeatInterval;
  /// A connection without any message for so long is given up and replaced.
  Duration SilenceTimeout;
  /// Between two rounds of what this host has to tell.
  Duration UpdateInterval;
  /// Between two rounds of all that it knows, for hosts that were cut off from
  /// those that told it.
  Duration FullUpdateInterval;
  /// Between two reports of this host, unless it begins to leave.
  Duration ReportEvery;
};

/// Who this daemon is to its peers, and how it reaches them.
struct MeshSettings {
  HostId Self;
  ZoneId Zone;
  IncarnationId Incarnation;
  /// "address:port" that peers connect to.
  std::string PeerAddress;
  /// "address:port" that callers connect to.
  std::string CallerAddress;
  /// Peers to begin with; the others are learnt from them.
  std::vector<std::string> Seeds;
  /// The first one proves who this daemon is; any of them is accepted from
  /// others, so that a secret can be replaced host by host.
  std::vector<std::string> Secrets;
  /// Up to FullMeshLimit hosts.
  MeshIntervals Pace{milliseconds(250), seconds(1), milliseconds(50),
                     seconds(1), seconds(1)};
  /// Beyond it, where all news pass all hosts and would add up.
  MeshIntervals LargeMeshIntervals{seconds(1), seconds(3), seconds(1),
                                   seconds(1), seconds(30)};
  /// The handshake must be over by then.
  Duration HandshakeTimeout = seconds(2);
  /// Between two tries to connect to one address.
  Duration ConnectRetryInterval = milliseconds(500);
  /// A connection that is not among the chosen ones is kept for so long after
  /// the last request over it.
  Duration UnselectedLinkIdleTimeout = seconds(30);
};

/// What an owner sees of another entry host.
struct PeerView {
  HostId Host;
  ZoneId Zone;
  std::string CallerAddress;
  bool IsLeaving = false;
  /// Heard of lately; callers may be sent there.
  bool IsLiving = false;
};

/// One daemon's part in the mesh, without threads, sockets or a clock: events
/// with a time go in, MeshTransport's actions come out. Not thread-safe; its
/// owner calls it from one thread.
class MeshState {
public:
  MeshState(MeshSettings settings, MeshTransport transport, MeshHooks hooks,
            Instant at);

  /// A peer connected to this host.
  void accepted(ConnectionId connection, Instant at);
  /// A connection that Connect began is open.
  void opened(ConnectionId connection, Instant at);
  /// It ended, or could not be opened.
  void closed(ConnectionId connection, Instant at);
  void received(ConnectionId connection, const std::string &bytes, Instant at);
  /// To be called every few tens of milliseconds.
  void tick(Instant at);

  /// Ends all connections; requests that wait fail.
  void stop();

  /// Adds knowledge of this host's own; a bundle must be verified.
  void publish(const PeerKnowledge &news, Instant at);
  /// Drops the evidence for all other versions, so that it does not grow with
  /// every move ever made.
  void keepEvidence(const std::set<VersionId> &versions);
  /// What the next report of this host says.
  void report(bool isLeaving, std::map<UpstreamId, std::uint32_t> inFlight);
  /// Sends a request; the result comes once, by the deadline.
  void request(const HostId &host, std::string kind, std::string body,
               Instant deadline, OnPeerResult onResult);
  /// Answers a peer's request; dropped if its connection is gone.
  void respond(ConnectionId connection, const PeerReply &reply);

  const PeerKnowledge &knowledge() const { return Mine; }
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
  void greet(ConnectionId connection, Instant at);
  void handle(ConnectionId connection, const PeerMessage &message, Instant at);
  void handleLive(ConnectionId connection, const PeerMessage &message,
                  Instant at);
  void becomeLive(ConnectionId connection, Instant at);
  bool dropDuplicateLink(ConnectionId connection);
  void takeNews(ConnectionId connection, PeerKnowledge news, Instant at);
  void answerHeartbeat(ConnectionId connection, const PeerHeartbeat &heartbeat);
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
  void askAll(Instant at);
  const MeshIntervals &pace() const;
  void reselectPeers(Instant at);
  void connectTo(const std::set<std::string> &wanted, Instant at);
  std::set<std::string> wantedAddresses(Instant at) const;
  void dropUnwanted(const std::set<std::string> &wanted, Instant at);
  std::string addressOf(const PeerLink &link) const;
  bool isConnected(const std::string &address) const;

  MeshSettings Settings;
  MeshTransport Transport;
  MeshHooks Hooks;
  Links All;
  PeerKnowledge Mine;
  HostTable Heard;
  PeerRequests Requests;
  HostReport OwnReport;
  std::map<std::string, Instant> TriedAt;
  /// Seeds whose hello came from this daemon itself.
  std::set<std::string> OwnAddresses;
  Instant LastEventAt;
  Instant ReportedAt{};
  Instant UpdateSentAt{};
  Instant FullUpdateSentAt{};
  Instant ChosenAt{};
  MeshCounts Counts;
};

} // namespace sorrelbay
