#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace sorrelbay {

/// A server that may respond before it has read a request: its script runs as
/// soon as the head of a request has arrived, on a connection whose receive
/// window is small and on a thread of its own.
class EarlyServer {
public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Serves a request with blocking operations. Its second argument is the head
  /// of the request. What it leaves of the body is taken for the next request.
  /// The connection is closed when it throws.
  using Script = std::function<void(Socket &, const std::string &)>;

  explicit EarlyServer(Script script);
  ~EarlyServer();
  EarlyServer(const EarlyServer &) = delete;
  EarlyServer &operator=(const EarlyServer &) = delete;

  /// "ip:port".
  const std::string &address() const { return Address; }

  static void send(Socket &socket, const std::string &bytes);
  /// Reads until the client closes the connection or that many bytes have been
  /// read. Returns the number of bytes.
  static std::size_t drain(Socket &socket, std::size_t bytes);
  /// Closes the connection with a reset.
  static void reset(Socket &socket);

private:
  void accept();
  void serve(Socket &socket);

  Script RequestScript;
  boost::asio::io_context Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::string Address;
  std::mutex Mutex;
  std::list<Socket> Sockets;
  std::vector<std::thread> Workers;
  bool IsEnding = false;
};

} // namespace sorrelbay
