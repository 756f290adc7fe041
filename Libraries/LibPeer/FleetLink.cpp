#include "LibPeer/FleetLink.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include "LibPeer/PeerFailures.h"
#include "LibPeer/PeerSocket.h"
#include "LibPeer/ReportInbox.h"
#include "LibPeer/ReportOutbox.h"
#include <map>

namespace sorrelbay {

/// The interval between two attempts to connect to the same peer.
static constexpr Duration ReconnectInterval = milliseconds(500);
/// An attempt that takes longer than this is aborted.
static constexpr Duration ConnectAttemptTimeout = seconds(1);
/// While more bytes than this wait on a connection, no report is added: it
/// would be outdated on arrival, and the backlog would grow with each.
static constexpr std::size_t MaxReportBacklogBytes = std::size_t{128} * 1024;

struct FleetLink::Impl {
  struct Peer {
    std::string Address;
    bool AcceptsUpdates = false;
    ConnectionId Connection = 0;
    bool IsOpen = false;
    Instant LastAttemptAt{};
  };

  Impl(HostId self, Hooks hooks)
      : Self(std::move(self)), MessageHooks(std::move(hooks)) {}

  PeerSocketEvents events();
  void received(ConnectionId connection, const std::string &bytes);
  void closed(ConnectionId connection);
  void drop(const HostId &host, Peer &peer);
  void handle(ConnectionId connection, const std::string &bytes);
  void handleUpdate(ConnectionId connection, const std::string &bytes);
  void handleStateRequest(ConnectionId connection, const std::string &bytes);
  void merge(const FleetReport &report);
  void sendUpdates(ReportStream stream, const HostId &host, const Peer &peer);
  void send(ConnectionId connection, FleetMessageKind kind,
            const std::string &bytes);

  HostId Self;
  Hooks MessageHooks;
  std::unique_ptr<PeerSocket> Socket;
  std::map<HostId, Peer> Peers;
  std::map<ConnectionId, HostId> Outgoing;
  ReportOutbox Outbox;
  /// The reports that arrive, by connection.
  std::map<ConnectionId, ReportInbox> Inboxes;
  FleetCost Cost;
};

/// Adds the time for which it exists to a sum.
class TimeSpent {
public:
  explicit TimeSpent(Duration &sum) : Sum(sum), BeganAt(bootNow()) {}
  ~TimeSpent() { Sum += bootNow() - BeganAt; }
  TimeSpent(const TimeSpent &) = delete;
  TimeSpent &operator=(const TimeSpent &) = delete;

private:
  Duration &Sum;
  Instant BeganAt;
};

PeerSocketEvents FleetLink::Impl::events() {
  PeerSocketEvents events;
  events.Accepted = [this](ConnectionId id) { Socket->raiseMessageLimit(id); };
  events.Opened = [this](ConnectionId id) {
    const auto it = Outgoing.find(id);
    if (it == Outgoing.end())
      return;
    Peers[it->second].IsOpen = true;
    Outbox.forget(it->second);
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
    handle(connection, bytes);
  } catch (const PeerMessageRefused &error) {
    LogLine(Severity::Warning, "refused a message from a peer")
        .field("why", error.what());
    Inboxes.erase(connection);
    Socket->close(connection);
  }
}

void FleetLink::Impl::handle(ConnectionId connection,
                             const std::string &bytes) {
  const int kind = messageKindOf(bytes, FleetFormatNumber);
  if (kind >= 0 && kind < static_cast<int>(FleetMessageKindCount))
    Cost.Received[static_cast<std::size_t>(kind)].note(bytes.size());
  if (kind == static_cast<int>(FleetMessageKind::ReportUpdate))
    return handleUpdate(connection, bytes);
  if (kind == static_cast<int>(FleetMessageKind::StateRequest))
    return handleStateRequest(connection, bytes);
  std::optional<FleetMessage> message;
  {
    const TimeSpent spent(Cost.Decoding);
    message = decodeFleetMessage(bytes);
  }
  if (const auto *report = std::get_if<FleetReport>(&*message))
    merge(*report);
  else
    MessageHooks.OnRelayedChanges(std::get<RelayedChanges>(*message));
}

void FleetLink::Impl::merge(const FleetReport &report) {
  const TimeSpent spent(Cost.Merging);
  MessageHooks.OnReport(report);
}

void FleetLink::Impl::handleUpdate(ConnectionId connection,
                                   const std::string &bytes) {
  ReportInbox::Arrival arrival;
  {
    const TimeSpent spent(Cost.Decoding);
    ColumnReader message(bytes);
    Cost.ValuesDecoded += static_cast<std::int64_t>(message.size());
    arrival =
        Inboxes.try_emplace(connection, Self).first->second.receive(message);
  }
  if (arrival.Request) {
    ++Cost.StateRequests;
    send(connection, FleetMessageKind::StateRequest,
         encodeStateRequest(*arrival.Request));
  }
  if (arrival.Report)
    merge(*arrival.Report);
}

void FleetLink::Impl::handleStateRequest(ConnectionId connection,
                                         const std::string &bytes) {
  const auto host = Outgoing.find(connection);
  if (host == Outgoing.end())
    return;
  ColumnReader message(bytes);
  const ReportStream stream = streamOf(message);
  Outbox.noteRequest(host->second, stream);
  sendUpdates(stream, host->second, Peers[host->second]);
}

void FleetLink::Impl::send(ConnectionId connection, FleetMessageKind kind,
                           const std::string &bytes) {
  Cost.Sent[static_cast<std::size_t>(kind)].note(bytes.size());
  Socket->send(connection, bytes);
}

void FleetLink::Impl::sendUpdates(ReportStream stream, const HostId &host,
                                  const Peer &peer) {
  for (const std::string &it : Outbox.messagesFor(host, stream))
    send(peer.Connection, FleetMessageKind::ReportUpdate, it);
}

void FleetLink::Impl::closed(ConnectionId connection) {
  Inboxes.erase(connection);
  const auto it = Outgoing.find(connection);
  if (it == Outgoing.end())
    return;
  Peer &peer = Peers[it->second];
  peer.Connection = 0;
  peer.IsOpen = false;
  Outbox.forget(it->second);
  Outgoing.erase(it);
}

void FleetLink::Impl::drop(const HostId &host, Peer &peer) {
  Outbox.forget(host);
  if (peer.Connection == 0)
    return;
  Outgoing.erase(peer.Connection);
  Socket->close(peer.Connection);
  peer.Connection = 0;
  peer.IsOpen = false;
}

FleetLink::FleetLink(boost::asio::io_context &loop, const std::string &listen,
                     const HostId &self, Hooks hooks)
    : Implementation(std::make_shared<Impl>(self, std::move(hooks))) {
  Implementation->Socket =
      std::make_unique<PeerSocket>(listen, Implementation->events(), &loop);
}

FleetLink::~FleetLink() = default;

std::string FleetLink::address() const {
  return Implementation->Socket->address();
}

void FleetLink::keep(const std::map<HostId, PeerEndpoint> &peers, Instant now) {
  for (auto it = Implementation->Peers.begin();
       it != Implementation->Peers.end();) {
    const auto wanted = peers.find(it->first);
    const bool isWanted =
        wanted != peers.end() && wanted->second.Address == it->second.Address;
    if (!isWanted)
      Implementation->drop(it->first, it->second);
    it = isWanted ? std::next(it) : Implementation->Peers.erase(it);
  }
  for (const auto &[id, endpoint] : peers) {
    if (endpoint.Address.empty())
      continue;
    Impl::Peer &peer = Implementation->Peers[id];
    peer.Address = endpoint.Address;
    peer.AcceptsUpdates = endpoint.AcceptsUpdates;
    if (peer.IsOpen)
      continue;
    if (peer.Connection != 0 &&
        now - peer.LastAttemptAt > ConnectAttemptTimeout)
      Implementation->drop(id, peer);
    if (peer.Connection != 0 || now - peer.LastAttemptAt < ReconnectInterval)
      continue;
    peer.LastAttemptAt = now;
    peer.Connection = Implementation->Socket->connect(peer.Address);
    Implementation->Outgoing[peer.Connection] = id;
  }
}

void FleetLink::send(const std::vector<HostId> &peers,
                     const RelayedChanges &relayed) {
  std::string bytes;
  for (const HostId &it : peers) {
    const auto peer = Implementation->Peers.find(it);
    if (peer == Implementation->Peers.end() || !peer->second.IsOpen)
      continue;
    if (bytes.empty()) {
      const TimeSpent spent(Implementation->Cost.Encoding);
      bytes = encodeFleetMessage(relayed);
    }
    Implementation->send(peer->second.Connection,
                         FleetMessageKind::RelayedChanges, bytes);
  }
}

void FleetLink::sendReport(ReportStream stream,
                           const std::vector<HostId> &peers,
                           const FleetReport &report) {
  const TimeSpent spent(Implementation->Cost.Encoding);
  Implementation->Outbox.add(stream, report);
  std::string whole;
  for (const HostId &it : peers) {
    const auto found = Implementation->Peers.find(it);
    if (found == Implementation->Peers.end() || !found->second.IsOpen)
      continue;
    const Impl::Peer &peer = found->second;
    if (Implementation->Socket->backlog(peer.Connection) >
        MaxReportBacklogBytes) {
      ++Implementation->Cost.ReportsHeldBack;
      continue;
    }
    if (peer.AcceptsUpdates) {
      Implementation->sendUpdates(stream, it, peer);
      continue;
    }
    if (whole.empty())
      whole = encodeFleetMessage(report);
    Implementation->send(peer.Connection, FleetMessageKind::Report, whole);
  }
}

std::size_t FleetLink::stepBytes(ReportStream stream) const {
  return Implementation->Outbox.stepBytes(stream);
}

const FleetCost &FleetLink::cost() const { return Implementation->Cost; }

} // namespace sorrelbay
