#include "EarlyServer.h"
#include <array>

namespace sorrelbay {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

static constexpr int ReceiveBufferBytes = 32 * 1024;
static const std::string HeadEnd = "\r\n\r\n";

EarlyServer::EarlyServer(Script script)
    : RequestScript(std::move(script)), Acceptor(Loop, asio::ip::tcp::v4()) {
  // Connections inherit the size, which bounds their windows.
  Acceptor.set_option(
      asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
  Acceptor.bind({asio::ip::address_v4::loopback(), 0});
  Acceptor.listen();
  Address = "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  Workers.emplace_back([this] { accept(); });
}

EarlyServer::~EarlyServer() {
  {
    const std::lock_guard<std::mutex> lock(Mutex);
    IsEnding = true;
    ErrorCode ignored;
    for (Socket &it : Sockets)
      it.shutdown(Socket::shutdown_both, ignored);
    // Wakes the blocked accept.
    Socket last(Loop);
    last.connect(Acceptor.local_endpoint(), ignored);
  }
  // No worker is added any more once the first one has ended.
  Workers.front().join();
  for (std::size_t n = 1; n < Workers.size(); ++n)
    Workers[n].join();
}

void EarlyServer::accept() {
  for (;;) {
    Socket socket(Loop);
    ErrorCode ec;
    Acceptor.accept(socket, ec);
    const std::lock_guard<std::mutex> lock(Mutex);
    if (IsEnding)
      return;
    if (ec)
      continue;
    Sockets.push_back(std::move(socket));
    Workers.emplace_back([this, &it = Sockets.back()] { serve(it); });
  }
}

/// Reads by single bytes, so that the whole body is left to the script.
static std::string readHead(EarlyServer::Socket &socket) {
  std::string head;
  while (head.find(HeadEnd) == std::string::npos) {
    char it = 0;
    asio::read(socket, asio::buffer(&it, 1));
    head += it;
  }
  return head;
}

void EarlyServer::serve(Socket &socket) {
  ErrorCode ignored;
  try {
    while (socket.is_open())
      RequestScript(socket, readHead(socket));
  } catch (const boost::system::system_error &) {
    // The client has closed the connection.
  }
  const std::lock_guard<std::mutex> lock(Mutex);
  socket.close(ignored);
}

void EarlyServer::send(Socket &socket, const std::string &bytes) {
  asio::write(socket, asio::buffer(bytes));
}

std::size_t EarlyServer::drain(Socket &socket, std::size_t bytes) {
  std::array<char, 16384> buf{};
  std::size_t total = 0;
  ErrorCode ec;
  while (!ec && total < bytes)
    total += socket.read_some(asio::buffer(buf), ec);
  return total;
}

void EarlyServer::reset(Socket &socket) {
  ErrorCode ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

} // namespace sorrelbay
