#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace sorrelbay {

/// What a scripted server does with the connection after its response.
enum class ScriptedEnd {
  /// Sends nothing more and leaves the connection open.
  Silence,
  Close,
  Reset,
  /// Sends the last part again and again until the client closes the
  /// connection.
  Endless,
};

/// A response in wire format.
struct ScriptedResponse {
  /// Each part is sent on its own, so that the client reads it on its own.
  std::vector<std::string> Parts;
  ScriptedEnd End = ScriptedEnd::Close;
};

/// An HTTP/1.1 server that sends scripted bytes and ends its connections as
/// scripted, so that responses can be malformed or break off anywhere. Runs on
/// a thread of its own; each connection serves one request.
class ScriptedServer {
public:
  /// Returns the response to a request. Its argument is the request in wire
  /// format.
  using Script = std::function<ScriptedResponse(const std::string &)>;

  explicit ScriptedServer(Script script = nullptr);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  /// Replaces the script for requests that arrive from now on.
  void setScript(Script script);
  /// "ip:port".
  const std::string &address() const { return Address; }
  int requests() const { return Requests; }
  /// The endless responses whose connections the clients have closed, and the
  /// most bytes that were sent of one.
  int closedEndless() const { return ClosedEndless; }
  std::size_t mostEndlessBytes() const { return MostEndlessBytes; }

private:
  using Tcp = boost::asio::ip::tcp;
  struct Connection;

  void accept();
  void readRequest(const std::shared_ptr<Connection> &it);
  void sendPart(const std::shared_ptr<Connection> &it);
  void end(const std::shared_ptr<Connection> &it);
  void sendEndlessly(const std::shared_ptr<Connection> &it);

  std::mutex Mutex;
  Script RequestScript;
  boost::asio::io_context Loop;
  Tcp::acceptor Acceptor;
  std::string Address;
  std::atomic<int> Requests{0};
  std::atomic<int> ClosedEndless{0};
  std::atomic<std::size_t> MostEndlessBytes{0};
  std::set<std::shared_ptr<Connection>> Connections;
  std::thread Worker;
};

/// The value of a header field in a request in wire format; empty if there is
/// none.
std::string scriptedHeader(const std::string &request, const std::string &name);

} // namespace sorrelbay
