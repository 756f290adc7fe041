#include "LibPeer/FleetLink.h"
#include "LibBase/LogLine.h"
#include "LibPeer/PeerFailures.h"
#include "LibPeer/PeerSocket.h"
#include <map>

namespace sorrelbay {

/// The interval between two attempts to connect to the same peer.
static constexpr Duration ReconnectInterval = milliseconds(500);
/// An attempt that takes longer than this is aborted.
static constexpr Duration ConnectAttemptTimeout = seconds(1);

struct FleetLink::Impl {
  struct Peer {
    std::string Address;
    ConnectionId Connection = 0;
    bool IsOpen = false;
    Instant LastAttemptAt{};
  };

  explicit Impl(Hooks hooks) : MessageHooks(std::move(hooks)) {}

  PeerSocketEvents events();
  void received(ConnectionId connection, const std::string &bytes);
  void closed(ConnectionId connection);
  void drop(Peer &peer);

  Hooks MessageHooks;
  std::unique_ptr<PeerSocket> Socket;
  std::map<HostId, Peer> Peers;
  std::map<ConnectionId, HostId> Outgoing;
};

PeerSocketEvents FleetLink::Impl::events() {
  PeerSocketEvents events;
  events.Accepted = [this](ConnectionId id) { Socket->raiseMessageLimit(id); };
  events.Opened = [this](ConnectionId id) {
    const auto it = Outgoing.find(id);
    if (it != Outgoing.end())
      Peers[it->second].IsOpen = true;
  };
  events.Closed = [this](ConnectionId id) { closed(id); };
  events.Received = [this](ConnectionId id, const std::string &bytes) {
    received(id, bytes);
  };
  return events;
}

void FleetLink::Impl::received(ConnectionId connection,
                               const std::string &bytes) {
  try {
    const FleetMessage message = decodeFleetMessage(bytes);
    if (const auto *report = std::get_if<FleetReport>(&message))
      MessageHooks.OnReport(*report);
    else
      MessageHooks.OnRelayedChanges(std::get<RelayedChanges>(message));
  } catch (const PeerMessageRefused &error) {
    LogLine(Severity::Warning, "refused a message from a peer")
        .field("why", error.what());
    Socket->close(connection);
  }
}

void FleetLink::Impl::closed(ConnectionId connection) {
  const auto it = Outgoing.find(connection);
  if (it == Outgoing.end())
    return;
  Peer &peer = Peers[it->second];
  peer.Connection = 0;
  peer.IsOpen = false;
  Outgoing.erase(it);
}

void FleetLink::Impl::drop(Peer &peer) {
  if (peer.Connection == 0)
    return;
  Outgoing.erase(peer.Connection);
  Socket->close(peer.Connection);
  peer.Connection = 0;
  peer.IsOpen = false;
}

FleetLink::FleetLink(boost::asio::io_context &loop, const std::string &listen,
                     Hooks hooks)
    : Implementation(std::make_shared<Impl>(std::move(hooks))) {
  Implementation->Socket =
      std::make_unique<PeerSocket>(listen, Implementation->events(), &loop);
}

FleetLink::~FleetLink() = default;

std::string FleetLink::address() const {
  return Implementation->Socket->address();
}

void FleetLink::keep(const std::map<HostId, std::string> &peers, Instant now) {
  for (auto it = Implementation->Peers.begin();
       it != Implementation->Peers.end();) {
    const auto wanted = peers.find(it->first);
    const bool isWanted =
        wanted != peers.end() && wanted->second == it->second.Address;
    if (!isWanted)
      Implementation->drop(it->second);
    it = isWanted ? std::next(it) : Implementation->Peers.erase(it);
  }
  for (const auto &[id, address] : peers) {
    if (address.empty())
      continue;
    Impl::Peer &peer = Implementation->Peers[id];
    peer.Address = address;
    if (peer.IsOpen)
      continue;
    if (peer.Connection != 0 &&
        now - peer.LastAttemptAt > ConnectAttemptTimeout)
      Implementation->drop(peer);
    if (peer.Connection != 0 || now - peer.LastAttemptAt < ReconnectInterval)
      continue;
    peer.LastAttemptAt = now;
    peer.Connection = Implementation->Socket->connect(peer.Address);
    Implementation->Outgoing[peer.Connection] = id;
  }
}

void FleetLink::send(const std::vector<HostId> &peers,
                     const std::string &bytes) {
  for (const HostId &it : peers) {
    const auto peer = Implementation->Peers.find(it);
    if (peer != Implementation->Peers.end() && peer->second.IsOpen)
      Implementation->Socket->send(peer->second.Connection, bytes);
  }
}

} // namespace sorrelbay
