#include "LibPeer/PeerSocket.h"
#include "LibBase/LogLine.h"
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <netinet/tcp.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace sorrelbay {

namespace {

namespace asio = boost::asio;

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using ErrorCode = websocketpp::lib::error_code;

constexpr long OpenHandshakeTimeoutMs = 2000;
constexpr int TcpUserTimeoutMs = 2000;

template <typename Endpoint>
void configureEndpoint(Endpoint &endpoint, asio::io_context &context) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&context);
  endpoint.set_max_message_size(MaxHandshakeBytes);
  endpoint.set_open_handshake_timeout(OpenHandshakeTimeoutMs);
  // Heartbeats are small. Nagle's algorithm would delay them, and late ones
  // look like a silent connection.
  endpoint.set_tcp_post_init_handler(
      [&endpoint](const websocketpp::connection_hdl &handle) {
        ErrorCode ec;
        const auto connection = endpoint.get_con_from_hdl(handle, ec);
        boost::system::error_code ignored;
        if (ec)
          return;
        auto &socket = connection->get_raw_socket();
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        // The path can fail without closing the connection. This closes it when
        // bytes stay unacknowledged.
        const int limit = TcpUserTimeoutMs;
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &limit, sizeof(limit));
      });
}

/// Sends unless the backlog would exceed its limit. Returns false if it would.
template <typename Connection>
bool sendOn(const Connection &connection, const std::string &bytes) {
  if (connection->get_buffered_amount() + bytes.size() > MaxSendBacklogBytes)
    return false;
  // A failure to send is reported through the close handler.
  connection->send(bytes, websocketpp::frame::opcode::binary);
  return true;
}

/// Closes the connection without a closing handshake, to which a silent peer
/// would not respond.
template <typename Connection>
void abortConnection(const Connection &connection) {
  boost::system::error_code ignored;
  connection->get_raw_socket().close(ignored);
}

} // namespace

struct PeerSocket::Impl {
  /// A connection; exactly one of the two is set.
  struct SocketConnection {
    Server::connection_ptr Accepted;
    Client::connection_ptr Initiated;
  };

  Impl(PeerSocketEvents events, asio::io_context *loop)
      : Events(std::move(events)),
        OwnContext(loop ? nullptr : std::make_unique<asio::io_context>()),
        Context(loop ? *loop : *OwnContext) {
    configureEndpoint(Listener, Context);
    configureEndpoint(Connector, Context);
    Listener.set_reuse_addr(true);
    Listener.set_open_handler(
        [this](const websocketpp::connection_hdl &handle) { accept(handle); });
  }

  void listen(const std::string &address);
  void accept(const websocketpp::connection_hdl &handle);
  void endConnection(ConnectionId id);
  template <typename Connection>
  void installHandlers(const Connection &connection, ConnectionId id);
  void scheduleNextRun(Duration interval, const std::function<void()> &work);

  PeerSocketEvents Events;
  /// Null if the loop of the owner is used.
  std::unique_ptr<asio::io_context> OwnContext;
  asio::io_context &Context;
  Server Listener;
  Client Connector;
  asio::steady_timer Timer{Context};
  std::map<ConnectionId, SocketConnection> OpenConnections;
  ConnectionId LastId = 0;
};

void PeerSocket::Impl::listen(const std::string &address) {
  const std::size_t colon = address.rfind(':');
  try {
    const auto host = asio::ip::make_address(address.substr(0, colon));
    const int port = std::stoi(address.substr(colon + 1));
    Listener.listen(
        asio::ip::tcp::endpoint(host, static_cast<std::uint16_t>(port)));
    Listener.start_accept();
  } catch (const std::exception &error) {
    throw PeerListenFailed(
        address + ": can't listen for peer connections: " + error.what());
  }
}

template <typename Connection>
void PeerSocket::Impl::installHandlers(const Connection &connection,
                                       ConnectionId id) {
  connection->set_message_handler(
      [this, id](const websocketpp::connection_hdl &, const auto &message) {
        if (OpenConnections.count(id) != 0)
          Events.Received(id, message->get_payload());
      });
  connection->set_close_handler(
      [this, id](const websocketpp::connection_hdl &) { endConnection(id); });
  connection->set_fail_handler(
      [this, id](const websocketpp::connection_hdl &) { endConnection(id); });
}

void PeerSocket::Impl::accept(const websocketpp::connection_hdl &handle) {
  const Server::connection_ptr connection = Listener.get_con_from_hdl(handle);
  const ConnectionId id = ++LastId;
  OpenConnections[id].Accepted = connection;
  installHandlers(connection, id);
  Events.Accepted(id);
}

void PeerSocket::Impl::endConnection(ConnectionId id) {
  if (OpenConnections.erase(id) != 0)
    Events.Closed(id);
}

void PeerSocket::Impl::scheduleNextRun(Duration interval,
                                       const std::function<void()> &work) {
  Timer.expires_after(interval);
  Timer.async_wait([this, interval, work](boost::system::error_code ec) {
    if (ec)
      return;
    work();
    scheduleNextRun(interval, work);
  });
}

PeerSocket::PeerSocket(const std::string &listen, PeerSocketEvents events,
                       boost::asio::io_context *loop)
    : Implementation(std::make_unique<Impl>(std::move(events), loop)) {
  Implementation->listen(listen);
}

PeerSocket::~PeerSocket() = default;

std::string PeerSocket::address() const {
  boost::system::error_code ec;
  const auto endpoint = Implementation->Listener.get_local_endpoint(ec);
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void PeerSocket::run() {
  while (!Implementation->Context.stopped()) {
    try {
      Implementation->Context.run();
    } catch (const std::exception &error) {
      // A fault of one connection must not disconnect all peers.
      LogLine(Severity::Error, "unhandled exception on the peer socket thread")
          .field("why", error.what());
    }
  }
}

void PeerSocket::stop() { Implementation->Context.stop(); }

void PeerSocket::post(std::function<void()> work) {
  asio::post(Implementation->Context, std::move(work));
}

void PeerSocket::runPeriodically(Duration interval,
                                 const std::function<void()> &work) {
  Implementation->scheduleNextRun(interval, work);
}

ConnectionId PeerSocket::connect(const std::string &address) {
  const ConnectionId id = ++Implementation->LastId;
  ErrorCode ec;
  const Client::connection_ptr connection =
      Implementation->Connector.get_connection("ws://" + address + "/peer", ec);
  if (ec) {
    post([this, id] { Implementation->Events.Closed(id); });
    return id;
  }
  Implementation->OpenConnections[id].Initiated = connection;
  Implementation->installHandlers(connection, id);
  connection->set_open_handler([this, id](const websocketpp::connection_hdl &) {
    if (Implementation->OpenConnections.count(id) != 0)
      Implementation->Events.Opened(id);
  });
  Implementation->Connector.connect(connection);
  return id;
}

void PeerSocket::send(ConnectionId connection, const std::string &bytes) {
  const auto it = Implementation->OpenConnections.find(connection);
  if (it == Implementation->OpenConnections.end())
    return;
  const bool isSent = it->second.Accepted ? sendOn(it->second.Accepted, bytes)
                                          : sendOn(it->second.Initiated, bytes);
  if (isSent)
    return;
  LogLine(Severity::Warning,
          "closing a peer connection whose send backlog is full")
      .field("waiting_bytes_limit",
             static_cast<std::int64_t>(MaxSendBacklogBytes));
  close(connection);
  post([this, connection] { Implementation->Events.Closed(connection); });
}

std::size_t PeerSocket::backlog(ConnectionId connection) const {
  const auto it = Implementation->OpenConnections.find(connection);
  if (it == Implementation->OpenConnections.end())
    return 0;
  return it->second.Accepted ? it->second.Accepted->get_buffered_amount()
                             : it->second.Initiated->get_buffered_amount();
}

void PeerSocket::close(ConnectionId connection) {
  const auto it = Implementation->OpenConnections.find(connection);
  if (it == Implementation->OpenConnections.end())
    return;
  const Impl::SocketConnection socketConnection = it->second;
  Implementation->OpenConnections.erase(it);
  if (socketConnection.Accepted)
    abortConnection(socketConnection.Accepted);
  else
    abortConnection(socketConnection.Initiated);
}

void PeerSocket::raiseMessageLimit(ConnectionId connection) {
  const auto it = Implementation->OpenConnections.find(connection);
  if (it == Implementation->OpenConnections.end())
    return;
  if (it->second.Accepted)
    it->second.Accepted->set_max_message_size(MaxPeerMessageBytes);
  else
    it->second.Initiated->set_max_message_size(MaxPeerMessageBytes);
}

} // namespace sorrelbay
