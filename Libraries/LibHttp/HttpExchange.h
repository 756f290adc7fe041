#pragma once

#include "LibHttp/HttpMessage.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sorrelbay {

/// A request that an AsyncHttpServer has read completely, and the means to
/// respond to it. Used on the thread of the event loop only. A response is
/// either sent whole (respond) or begun, written in parts and ended; abort()
/// closes the connection so that the client detects an incomplete response.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;
  /// Sends a whole response with its Content-Length.
  virtual void respond(int status, const HttpHeaders &headers,
                       std::string body) = 0;
  /// Begins a response whose body has the given length in bytes; without a
  /// length it is sent in chunks or, to a client that does not take them, until
  /// the connection ends.
  virtual void begin(int status, const HttpHeaders &headers,
                     std::optional<std::uint64_t> length) = 0;
  /// Adds bytes to the body of a response that was begun.
  virtual void write(std::string_view bytes) = 0;
  /// Ends a response that was begun, so that it is complete.
  virtual void end() = 0;
  /// Closes the connection, or resets it if its close would look like the end
  /// of the response.
  virtual void abort() = 0;
  /// The number of bytes queued for sending, because the client reads slowly.
  virtual std::size_t queuedBytes() const = 0;
  /// Sets a hook that is called once if the client disconnects before the
  /// response has ended.
  virtual void onClientDisconnected(std::function<void()> hook) = 0;
  /// Sets a hook that is called each time all queued bytes have been sent.
  virtual void onDrained(std::function<void()> hook) = 0;
};

} // namespace sorrelbay
