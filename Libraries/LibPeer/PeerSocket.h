#pragma once

#include "LibPeer/MeshActions.h"
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace sorrelbay {

/// The peer port can't be opened for listening.
class PeerListenFailed : public Error {
public:
  using Error::Error;
};

/// The events of a PeerSocket. They are reported on the thread that runs it.
struct PeerSocketEvents {
  std::function<void(ConnectionId)> Accepted;
  std::function<void(ConnectionId)> Opened;
  std::function<void(ConnectionId)> Closed;
  std::function<void(ConnectionId, const std::string &)> Received;
};

/// The maximum size of a message from a peer that is not authenticated yet, in
/// bytes. A longer one closes the connection.
constexpr std::size_t MaxHandshakeBytes = 4096;
/// The maximum size of a message from an authenticated peer, in bytes. A longer
/// one closes the connection.
constexpr std::size_t MaxPeerMessageBytes = std::size_t{4} * 1024 * 1024;
/// The maximum number of unsent bytes on one connection. Beyond it the
/// connection is closed, since the backlog of a slow peer could otherwise
/// exhaust the memory.
constexpr std::size_t MaxSendBacklogBytes = std::size_t{16} * 1024 * 1024;

/// WebSocket connections to and from peers, all on one thread. Functions must
/// be called on that thread unless their comment allows any thread.
class PeerSocket {
public:
  /// Listens on "ip:port"; port 0 selects a free port. With a loop, the socket
  /// runs on the thread of that loop; without one, it runs in run(). Throws
  /// PeerListenFailed if it can't listen.
  PeerSocket(const std::string &listen, PeerSocketEvents events,
             boost::asio::io_context *loop = nullptr);
  ~PeerSocket();
  PeerSocket(const PeerSocket &) = delete;
  PeerSocket &operator=(const PeerSocket &) = delete;

  /// The address that peers connect to, with the port in use.
  std::string address() const;

  /// Handles events until stop() is called.
  void run();
  /// May be called from any thread.
  void stop();
  /// Enqueues the work to run on the socket's thread. May be called from any
  /// thread.
  void post(std::function<void()> work);
  /// Runs the work at the given interval until the socket is stopped.
  void runPeriodically(Duration interval, const std::function<void()> &work);

  ConnectionId connect(const std::string &address);
  void send(ConnectionId connection, const std::string &bytes);
  /// The number of unsent bytes on the connection.
  std::size_t backlog(ConnectionId connection) const;
  void close(ConnectionId connection);
  /// Raises the limit on received messages to MaxPeerMessageBytes.
  void raiseMessageLimit(ConnectionId connection);

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace sorrelbay
