#pragma once

#include "LibBase/Time.h"
#include "LibHttp/HttpExchange.h"
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace sorrelbay {

/// Limits on what a client sends and how long it takes. They are read again for
/// each request, because the operators' configuration changes them.
struct HttpLimits {
  /// Requests with a larger header are refused with status 431.
  std::size_t MaxHeaderBytes = 16UL * 1024;
  /// Requests with a larger body are refused with status 413.
  std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
  /// The longest time from a request's first byte to the end of its header, and
  /// again from there to the end of its body. The connection is closed beyond
  /// it.
  Duration ReadTimeout = seconds(5);
  /// The longest time that a connection stays open without a request. It is
  /// closed beyond it.
  Duration IdleTimeout = seconds(15);
};

struct AsyncHttpServerHooks {
  std::function<HttpLimits()> Limits;
  /// Called with each request after it was read completely.
  std::function<void(std::shared_ptr<HttpExchange>)> Handle;
};

/// An HTTP/1.1 server on a shared event loop. Requests on one connection are
/// handled one after the other. All members are used on the loop's thread only.
class AsyncHttpServer {
public:
  /// Listens on "ip:port". Throws HttpListenFailed.
  AsyncHttpServer(boost::asio::io_context &loop, const std::string &listen,
                  AsyncHttpServerHooks hooks);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer &) = delete;
  AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

  /// The address that it listens on, with the port that was assigned.
  std::string address() const;
  /// From now on each response closes its connection, and connections without a
  /// request are closed after being idle for idleLimit.
  void beginClosing(Duration idleLimit);
  /// The number of requests that were read and whose response is incomplete.
  std::size_t openRequests() const;
  /// The number of connections, with a request in flight or without.
  std::size_t connections() const;

  struct SharedState;

private:
  std::shared_ptr<SharedState> ServerState;
};

} // namespace sorrelbay
