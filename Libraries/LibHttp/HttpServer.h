#pragma once

#include "LibHttp/HttpMessage.h"
#include <cstddef>
#include <memory>
#include <string>

namespace sorrelbay {

/// Limits of a server, against slow, silent or oversized requests.
struct HttpServerLimits {
  /// Connections served at once; each occupies a thread while it is open.
  /// Further connections are queued.
  std::size_t Workers = 700;
  /// Requests with a larger body are refused with status 413.
  std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
  /// The longest time that an idle connection is kept; it is closed beyond it.
  /// Rounded down to whole seconds, at least one.
  Duration KeepAlive = seconds(2);
  /// The longest time without a received byte while a request is read; the
  /// connection is closed beyond it.
  Duration ReadTimeout = seconds(5);
};

/// An HTTP/1.1 server on one address. Handlers run on its worker threads,
/// several at once. If a handler throws, the request fails with status 500 and
/// the response of the error responder.
class HttpServer {
public:
  using Handler = std::function<HttpResponse(const HttpRequest &)>;
  /// Makes the response to a request that no handler responded to: unknown
  /// path, body too large, or a handler that failed. Called with the status and
  /// the parts of the request that were read.
  using ErrorResponder = std::function<HttpResponse(int, const HttpRequest &)>;

  explicit HttpServer(const HttpServerLimits &limits = HttpServerLimits());
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Adds a handler for requests with this method and a path that matches the
  /// whole regular expression. All routes are added before start().
  void route(const std::string &method, const std::string &pattern,
             Handler handler);
  void setErrorResponder(ErrorResponder errorResponder);
  /// Binds "ip:port" and returns the bound "ip:port"; with port 0 the kernel
  /// chooses a free port. Throws HttpListenFailed.
  std::string bind(const std::string &address);
  /// Starts serving the bound address on a thread of its own.
  void serve();
  /// Binds the address and serves it.
  std::string start(const std::string &address);
  /// Stops accepting connections, waits for running handlers and streams to
  /// end, and joins the threads.
  void stop();

private:
  struct ServerImpl;
  std::unique_ptr<ServerImpl> Implementation;
};

} // namespace sorrelbay
