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

constexpr long HandshakeLimitMs = 2000;
constexpr int SilenceLimitMs = 2000;

template <typename Endpoint>
void prepare(Endpoint &endpoint, asio::io_context &context) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&context);
  endpoint.set_max_message_size(MaxHandshakeBytes);
  endpoint.set_open_handshake_timeout(HandshakeLimitMs);
  // Heartbeats are small and late ones look like silence.
  endpoint.set_tcp_post_init_handler(
      [&endpoint](const websocketpp::connection_hdl &handle) {
        ErrorCode ec;
        const auto connection = endpoint.get_con_from_hdl(handle, ec);
        boost::system::error_code ignored;
        if (ec)
          return;
        auto &socket = connection->get_raw_socket();
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        // A connection can go silent for good; unacknowledged bytes end it.
        const int limit = SilenceLimitMs;
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                     &limit, sizeof(limit));
      });
}

/// Sends unless too much waits already; false if it does.
template <typename Connection>
bool sendOn(const Connection &connection, const std::string &bytes) {
  if (connection->get_buffered_amount() + bytes.size() > MaxSendBacklogBytes)
    return false;
  // A failure to send shows as the connection's end soon after.
  connection->send(bytes, websocketpp::frame::opcode::binary);
  return true;
}

/// Ends it without a closing handshake, which a silent peer would not answer.
template <typename Connection> void breakOff(const Connection &connection) {
  boost::system::error_code ignored;
  connection->get_raw_socket().close(ignored);
}

} // namespace

struct PeerSocket::Impl {
  /// One connection; one of the two is set.
  struct Line {
    Server::connection_ptr Accepted;
    Client::connection_ptr Begun;
  };

  Impl(PeerSocketEvents events, asio::io_context *loop)
      : Events(std::move(events)),
        Own(loop ? nullptr : std::make_unique<asio::io_context>()),
        Context(loop ? *loop : *Own) {
    prepare(Listener, Context);
    prepare(Connector, Context);
    Listener.set_reuse_addr(true);
    Listener.set_open_handler(
        [this](const websocketpp::connection_hdl &handle) { accept(handle); });
  }

  void listen(const std::string &address);
  void accept(const websocketpp::connection_hdl &handle);
  void end(ConnectionId id);
  template <typename Connection>
  void hookUp(const Connection &connection, ConnectionId id);
  void scheduleRepeat(Duration interval, const std::function<void()> &work);

  PeerSocketEvents Events;
  /// Unless another's loop is used.
  std::unique_ptr<asio::io_context> Own;
  asio::io_context &Context;
  Server Listener;
  Client Connector;
  asio::steady_timer Timer{Context};
  std::map<ConnectionId, Line> Lines;
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
    throw PeerListenFailed(address +
                           ": can't listen for peers: " + error.what());
  }
}

template <typename Connection>
void PeerSocket::Impl::hookUp(const Connection &connection, ConnectionId id) {
  connection->set_message_handler(
      [this, id](const websocketpp::connection_hdl &, const auto &message) {
        if (Lines.count(id) != 0)
          Events.Received(id, message->get_payload());
      });
  connection->set_close_handler(
      [this, id](const websocketpp::connection_hdl &) { end(id); });
  connection->set_fail_handler(
      [this, id](const websocketpp::connection_hdl &) { end(id); });
}

void PeerSocket::Impl::accept(const websocketpp::connection_hdl &handle) {
  const Server::connection_ptr connection = Listener.get_con_from_hdl(handle);
  const ConnectionId id = ++LastId;
  Lines[id].Accepted = connection;
  hookUp(connection, id);
  Events.Accepted(id);
}

void PeerSocket::Impl::end(ConnectionId id) {
  if (Lines.erase(id) != 0)
    Events.Closed(id);
}

void PeerSocket::Impl::scheduleRepeat(Duration interval,
                                      const std::function<void()> &work) {
  Timer.expires_after(interval);
  Timer.async_wait([this, interval, work](boost::system::error_code ec) {
    if (ec)
      return;
    work();
    scheduleRepeat(interval, work);
  });
}

PeerSocket::PeerSocket(const std::string &listen, PeerSocketEvents events,
                       boost::asio::io_context *loop)
    : All(std::make_unique<Impl>(std::move(events), loop)) {
  All->listen(listen);
}

PeerSocket::~PeerSocket() = default;

std::string PeerSocket::address() const {
  boost::system::error_code ec;
  const auto endpoint = All->Listener.get_local_endpoint(ec);
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void PeerSocket::run() {
  while (!All->Context.stopped()) {
    try {
      All->Context.run();
    } catch (const std::exception &error) {
      // One connection's fault must not end the link to all peers.
      LogLine(Severity::Error, "peer socket fault").field("why", error.what());
    }
  }
}

void PeerSocket::stop() { All->Context.stop(); }

void PeerSocket::post(std::function<void()> work) {
  asio::post(All->Context, std::move(work));
}

void PeerSocket::repeat(Duration interval, const std::function<void()> &work) {
  All->scheduleRepeat(interval, work);
}

ConnectionId PeerSocket::connect(const std::string &address) {
  const ConnectionId id = ++All->LastId;
  ErrorCode ec;
  const Client::connection_ptr connection =
      All->Connector.get_connection("ws://" + address + "/peer", ec);
  if (ec) {
    post([this, id] { All->Events.Closed(id); });
    return id;
  }
  All->Lines[id].Begun = connection;
  All->hookUp(connection, id);
  connection->set_open_handler([this, id](const websocketpp::connection_hdl &) {
    if (All->Lines.count(id) != 0)
      All->Events.Opened(id);
  });
  All->Connector.connect(connection);
  return id;
}

void PeerSocket::send(ConnectionId connection, const std::string &bytes) {
  const auto it = All->Lines.find(connection);
  if (it == All->Lines.end())
    return;
  const bool isSent = it->second.Accepted ? sendOn(it->second.Accepted, bytes)
                                          : sendOn(it->second.Begun, bytes);
  if (isSent)
    return;
  LogLine(Severity::Warning, "peer takes its messages too slowly")
      .field("waiting_bytes_limit",
             static_cast<std::int64_t>(MaxSendBacklogBytes));
  close(connection);
  post([this, connection] { All->Events.Closed(connection); });
}

void PeerSocket::close(ConnectionId connection) {
  const auto it = All->Lines.find(connection);
  if (it == All->Lines.end())
    return;
  const Impl::Line line = it->second;
  All->Lines.erase(it);
  if (line.Accepted)
    breakOff(line.Accepted);
  else
    breakOff(line.Begun);
}

void PeerSocket::trust(ConnectionId connection) {
  const auto it = All->Lines.find(connection);
  if (it == All->Lines.end())
    return;
  if (it->second.Accepted)
    it->second.Accepted->set_max_message_size(MaxPeerMessageBytes);
  else
    it->second.Begun->set_max_message_size(MaxPeerMessageBytes);
}

} // namespace sorrelbay
