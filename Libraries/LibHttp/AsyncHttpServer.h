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

/// What a client may send, and how long it may take. Asked for with each new
/// request, because the operators' configuration changes them.
struct HttpLimits {
  std::size_t MaxHeaderBytes = 16UL * 1024;
  std::size_t MaxBodyBytes = 4UL * 1024 * 1024;
  /// From a request's first byte to the end of its header, and again to the
  /// end of its body.
  Duration ReadTimeout = seconds(5);
  /// How long a connection may stay without a request.
  Duration IdleTimeout = seconds(15);
};

struct AsyncHttpServerHooks {
  std::function<HttpLimits()> Limits;
  /// A request was read whole.
  std::function<void(std::shared_ptr<HttpExchange>)> Handle;
};

/// An HTTP/1.1 server on an event loop that others share. Requests on one
/// connection are taken one after the other. All of it belongs to the loop's
/// thread.
class AsyncHttpServer {
public:
  /// Listens on "ip:port". Throws HttpListenFailed.
  AsyncHttpServer(boost::asio::io_context &loop, const std::string &listen,
                  AsyncHttpServerHooks hooks);
  ~AsyncHttpServer();
  AsyncHttpServer(const AsyncHttpServer &) = delete;
  AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

  /// Where it listens, with the port that was chosen.
  std::string address() const;
  /// From now on each answer ends its connection, and connections without a
  /// request end when they have been quiet for the given time.
  void beginClosing(Duration quiet);
  /// Requests that were read and have no whole answer yet.
  std::size_t openRequests() const;
  /// Connections, with a request or without.
  std::size_t connections() const;

  struct Shared;

private:
  std::shared_ptr<Shared> All;
};

} // namespace sorrelbay
