#include "LibPeer/FleetLink.h"
#include "LibBase/LogLine.h"
#include "LibPeer/FleetReportCodec.h"
#include "LibPeer/PeerFailures.h"
#include "LibPeer/PeerSocket.h"
#include <map>

namespace sorrelbay {

/// Between two tries to connect to the same peer.
static constexpr Duration ConnectPause = milliseconds(500);
/// A try that has not come about by then is given up.
static constexpr Duration ConnectPatience = seconds(1);

struct FleetLink::Impl {
  struct Peer {
    std::string Address;
    ConnectionId Connection = 0;
    bool IsOpen = false;
    Instant TriedAt{};
  };

  explicit Impl(ReportHook onReport) : OnReport(std::move(onReport)) {}

  PeerSocketEvents events();
  void received(ConnectionId connection, const std::string &bytes);
  void closed(ConnectionId connection);
  void drop(Peer &peer);

  ReportHook OnReport;
  std::unique_ptr<PeerSocket> Socket;
  std::map<HostId, Peer> Peers;
  std::map<ConnectionId, HostId> Outgoing;
};

PeerSocketEvents FleetLink::Impl::events() {
  PeerSocketEvents events;
  events.Accepted = [this](ConnectionId id) { Socket->trust(id); };
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
    OnReport(decodeFleetReport(bytes));
  } catch (const PeerMessageRefused &error) {
    LogLine(Severity::Warning, "peer message refused")
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
                     ReportHook onReport)
    : All(std::make_shared<Impl>(std::move(onReport))) {
  All->Socket = std::make_unique<PeerSocket>(listen, All->events(), &loop);
}

FleetLink::~FleetLink() = default;

std::string FleetLink::address() const { return All->Socket->address(); }

void FleetLink::addPeer(const HostId &peer, const std::string &address) {
  Impl::Peer &it = All->Peers[peer];
  if (it.Address == address)
    return;
  All->drop(it);
  it.Address = address;
  it.TriedAt = {};
}

void FleetLink::removePeer(const HostId &peer) {
  const auto it = All->Peers.find(peer);
  if (it == All->Peers.end())
    return;
  All->drop(it->second);
  All->Peers.erase(it);
}

void FleetLink::publish(const FleetReport &report, Instant now) {
  const std::string bytes = encodeFleetReport(report);
  for (auto &[id, peer] : All->Peers) {
    if (peer.IsOpen) {
      All->Socket->send(peer.Connection, bytes);
      continue;
    }
    if (peer.Connection != 0 && now - peer.TriedAt > ConnectPatience)
      All->drop(peer);
    if (peer.Connection == 0 && now - peer.TriedAt >= ConnectPause) {
      peer.TriedAt = now;
      peer.Connection = All->Socket->connect(peer.Address);
      All->Outgoing[peer.Connection] = id;
    }
  }
}

} // namespace sorrelbay
