#pragma once

#include "LibHttp/HttpMessage.h"
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sorrelbay {

/// Sends one call over a connection of its own and waits for the complete
/// response. The address is "ip:port". Throws HttpNotSent or
/// HttpOutcomeUnknown. Calls that must not be repeated use this function: the
/// peer of a pooled connection may have become unreachable, and a call written
/// to it cannot be distinguished from one that ran.
HttpReply sendOnce(const std::string &address, const HttpCall &call);

/// A pool of connections kept open between calls, for calls that may be
/// repeated. Thread-safe; each connection serves one call at a time.
class HttpPool {
public:
  HttpPool();
  ~HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;

  /// Like sendOnce, but if a pooled connection fails, the call is sent once
  /// more over a new one. The call must be repeatable.
  HttpReply send(const std::string &address, const HttpCall &call);

private:
  struct Connection;
  std::unique_ptr<Connection> acquireConnection(const std::string &address);
  void releaseConnection(const std::string &address,
                         std::unique_ptr<Connection> it);

  std::mutex Mutex;
  std::map<std::string, std::vector<std::unique_ptr<Connection>>> Idle;
};

/// A call whose response body is received as a stream.
class HttpStream {
public:
  HttpStream(const std::string &address, HttpCall call);
  ~HttpStream();
  HttpStream(const HttpStream &) = delete;
  HttpStream &operator=(const HttpStream &) = delete;

  /// Called with the status and headers; returns false to stop the stream.
  using OnReply = std::function<bool(const HttpReply &)>;
  /// Called with each part of the body; returns false to stop the stream.
  using OnData = std::function<bool(std::string_view)>;

  /// Runs the call to its end. Returns true if the body is complete, false if a
  /// hook or cancel() stopped the stream. Throws HttpNotSent or
  /// HttpOutcomeUnknown.
  bool run(const OnReply &onReply, const OnData &onData);
  /// Stops a running stream, from any thread; may be called before run().
  void cancel();

private:
  struct Connection;
  std::unique_ptr<Connection> StreamConnection;
  HttpCall Call;
};

} // namespace sorrelbay
