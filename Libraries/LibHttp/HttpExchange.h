#pragma once

#include "LibHttp/HttpMessage.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace sorrelbay {

/// One request that an AsyncHttpServer has read whole, and the way to answer
/// it. Everything here belongs to the thread of the event loop. An answer is
/// either whole (respond) or begun, written in parts and ended; abort() cuts
/// the connection so that the client can tell that the answer isn't whole.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;
  /// Answers with a whole body. The body's length is sent with it.
  virtual void respond(int status, const HttpHeaders &headers,
                       std::string body) = 0;
  /// Begins an answer of that length in bytes; without one it is sent in
  /// chunks.
  virtual void begin(int status, const HttpHeaders &headers,
                     std::optional<std::uint64_t> length) = 0;
  /// Adds bytes to the answer that was begun.
  virtual void write(std::string_view bytes) = 0;
  /// Ends the answer that was begun, so that it looks complete.
  virtual void end() = 0;
  /// Cuts the connection.
  virtual void abort() = 0;
  /// Bytes that wait to be sent, because the client reads slowly.
  virtual std::size_t queuedBytes() const = 0;
  /// Called once if the client leaves before the answer has ended.
  virtual void onClientDisconnected(std::function<void()> hook) = 0;
  /// Called each time the bytes that waited have been sent.
  virtual void onDrained(std::function<void()> hook) = 0;
};

} // namespace sorrelbay
