#pragma once

#include "LibHttp/HttpMessage.h"
#include <cstddef>
#include <memory>
#include <string>

namespace sorrelbay {

/// Bounds of a server, all of them against slow, silent or oversized senders.
struct HttpServerLimits {
  /// Connections served at once; each takes a thread while it is open.
  std::size_t Workers = 700;
  std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
  /// How long an idle connection is kept.
  Duration KeepAlive = seconds(2);
  /// The longest silence while a request is read.
  Duration ReadTimeout = seconds(5);
};

/// An HTTP/1.1 server on one address. Handlers run on its workers, several at
/// once. A handler that throws gives status 500 with a problem body.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;
  /// What to do with answers that no handler made: unknown path, body too
  /// large, handler failed. It is given the status and
  /// what was read of the request.
  using ErrorResponder = std::function<HttpResponse(int, const HttpRequest &)>;

  explicit HttpServer(const HttpServerLimits &limits = HttpServerLimits());
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Serves a method on paths that match the regular expression whole. All
  /// routes are set before start().
  void route(const std::string &method, const std::string &pattern,
             Handler handler);
  void setErrorResponder(ErrorResponder make);
  /// Binds "ip:port" (port 0: the kernel chooses); returns the bound "ip:port".
  /// Throws HttpListenFailed.
  std::string bind(const std::string &address);
  /// Serves the bound address on threads of its own.
  void serve();
  /// Both at once.
  std::string start(const std::string &address);
  /// Accepts nothing new, lets running handlers and streams end, and joins.
  void stop();

private:
  struct Engine;
  std::unique_ptr<Engine> Running;
};

} // namespace sorrelbay
