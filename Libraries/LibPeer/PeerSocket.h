#pragma once

#include "LibPeer/MeshActions.h"
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace sorrelbay {

/// The peer port can't be opened.
class PeerListenFailed : public Error {
public:
  using Error::Error;
};

/// What a PeerSocket reports, always on the thread that runs it.
struct PeerSocketEvents {
  std::function<void(ConnectionId)> Accepted;
  std::function<void(ConnectionId)> Opened;
  std::function<void(ConnectionId)> Closed;
  std::function<void(ConnectionId, const std::string &)> Received;
};

/// The longest message before the other side has proved who it is, in bytes.
constexpr std::size_t MaxHandshakeBytes = 4096;
/// The longest message of a proved peer.
constexpr std::size_t MaxPeerMessageBytes = std::size_t{4} * 1024 * 1024;
/// What may wait to be sent on one connection; a peer that takes its messages
/// more slowly is cut off, or its backlog would eat the memory.
constexpr std::size_t MaxSendBacklogBytes = std::size_t{16} * 1024 * 1024;

/// WebSocket connections to and from peers, all on one thread. What is not said
/// to be callable from any thread belongs to that one.
class PeerSocket {
public:
  /// Listens on "ip:port"; port 0 is chosen. With a loop it works there, on the
  /// thread that runs the loop; without one it works in run(). Throws
  /// PeerListenFailed.
  PeerSocket(const std::string &listen, PeerSocketEvents events,
             boost::asio::io_context *loop = nullptr);
  ~PeerSocket();
  PeerSocket(const PeerSocket &) = delete;
  PeerSocket &operator=(const PeerSocket &) = delete;

  /// Where peers connect, with the port that was chosen.
  std::string address() const;

  /// Works until stop().
  void run();
  /// From any thread.
  void stop();
  /// Runs the work on the socket's thread, soon. From any thread.
  void post(std::function<void()> work);
  /// Runs the work again and again.
  void repeat(Duration interval, const std::function<void()> &work);

  ConnectionId connect(const std::string &address);
  void send(ConnectionId connection, const std::string &bytes);
  void close(ConnectionId connection);
  void trust(ConnectionId connection);

private:
  struct Impl;
  std::unique_ptr<Impl> All;
};

} // namespace sorrelbay
