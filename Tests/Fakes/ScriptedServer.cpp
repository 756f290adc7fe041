#include "ScriptedServer.h"
#include "LibBase/Time.h"

namespace sorrelbay {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

/// The pause between two parts of a response, in which the client reads the
/// first of them.
static constexpr Duration PartInterval = milliseconds(2);
/// A response without end is given up after this many bytes, so that a test of
/// a client that never closes ends.
static constexpr std::size_t MaxEndlessBytes = 256UL * 1024 * 1024;
static const std::string HeaderEnd = "\r\n\r\n";

struct ScriptedServer::Connection {
  explicit Connection(Tcp::socket socket)
      : Socket(std::move(socket)), Timer(Socket.get_executor()) {}

  Tcp::socket Socket;
  asio::steady_timer Timer;
  std::string Request;
  ScriptedResponse Response;
  std::size_t NextPart = 0;
  std::size_t EndlessBytes = 0;
};

std::string scriptedHeader(const std::string &request,
                           const std::string &name) {
  const std::string begin = "\r\n" + name + ": ";
  const std::size_t at = request.find(begin);
  if (at == std::string::npos)
    return "";
  const std::size_t from = at + begin.size();
  return request.substr(from, request.find("\r\n", from) - from);
}

ScriptedServer::ScriptedServer(Script script)
    : RequestScript(std::move(script)),
      Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}) {
  Address = "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  accept();
  Worker = std::thread([this] { Loop.run(); });
}

ScriptedServer::~ScriptedServer() {
  Loop.stop();
  Worker.join();
}

void ScriptedServer::setScript(Script script) {
  const std::lock_guard<std::mutex> lock(Mutex);
  RequestScript = std::move(script);
}

void ScriptedServer::accept() {
  Acceptor.async_accept([this](ErrorCode ec, Tcp::socket socket) {
    if (ec)
      return;
    socket.set_option(Tcp::no_delay(true));
    const auto connection = std::make_shared<Connection>(std::move(socket));
    Connections.insert(connection);
    readRequest(connection);
    accept();
  });
}

void ScriptedServer::readRequest(const std::shared_ptr<Connection> &it) {
  asio::async_read_until(
      it->Socket, asio::dynamic_buffer(it->Request), HeaderEnd,
      [this, it](ErrorCode ec, std::size_t headerSize) {
        if (ec)
          return static_cast<void>(Connections.erase(it));
        const std::string length =
            scriptedHeader(it->Request, "Content-Length");
        const std::size_t size =
            headerSize + (length.empty() ? 0 : std::stoul(length));
        const std::size_t missing =
            size > it->Request.size() ? size - it->Request.size() : 0;
        asio::async_read(it->Socket, asio::dynamic_buffer(it->Request),
                         asio::transfer_exactly(missing),
                         [this, it](ErrorCode failed, std::size_t) {
                           if (failed)
                             return static_cast<void>(Connections.erase(it));
                           ++Requests;
                           {
                             const std::lock_guard<std::mutex> lock(Mutex);
                             it->Response = RequestScript(it->Request);
                           }
                           sendPart(it);
                         });
      });
}

void ScriptedServer::sendPart(const std::shared_ptr<Connection> &it) {
  if (it->NextPart == it->Response.Parts.size()) {
    if (it->Response.End == ScriptedEnd::Endless)
      return sendEndlessly(it);
    end(it);
    if (it->Response.End != ScriptedEnd::Silence)
      Connections.erase(it);
    return;
  }
  asio::async_write(it->Socket, asio::buffer(it->Response.Parts[it->NextPart]),
                    [this, it](ErrorCode ec, std::size_t) {
                      if (ec)
                        return static_cast<void>(Connections.erase(it));
                      ++it->NextPart;
                      it->Timer.expires_after(PartInterval);
                      it->Timer.async_wait(
                          [this, it](ErrorCode) { sendPart(it); });
                    });
}

void ScriptedServer::sendEndlessly(const std::shared_ptr<Connection> &it) {
  asio::async_write(it->Socket, asio::buffer(it->Response.Parts.back()),
                    [this, it](ErrorCode ec, std::size_t n) {
                      it->EndlessBytes += n;
                      MostEndlessBytes = std::max<std::size_t>(
                          MostEndlessBytes, it->EndlessBytes);
                      if (!ec && it->EndlessBytes < MaxEndlessBytes)
                        return sendEndlessly(it);
                      if (ec)
                        ++ClosedEndless;
                      Connections.erase(it);
                    });
}

void ScriptedServer::end(const std::shared_ptr<Connection> &it) {
  ErrorCode ignored;
  switch (it->Response.End) {
  case ScriptedEnd::Silence:
  case ScriptedEnd::Endless:
    return;
  case ScriptedEnd::Reset:
    it->Socket.set_option(asio::socket_base::linger(true, 0), ignored);
    break;
  case ScriptedEnd::Close:
    break;
  }
  it->Socket.close(ignored);
}

} // namespace sorrelbay
