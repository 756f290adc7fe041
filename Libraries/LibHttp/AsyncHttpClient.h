#pragma once

#include "LibBase/Time.h"
#include "LibHttp/HttpMessage.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace sorrelbay {

/// What marks the end of a response's body.
enum class BodyFraming {
  /// The response has no body.
  None,
  Length,
  Chunks,
  /// The body ends with its connection. A close by the server is its end, a
  /// reset is not.
  ConnectionEnd,
};

/// The framing's name in logs and metrics.
const char *toText(BodyFraming framing);

/// The status and the header fields of a response.
struct HttpReplyHead {
  int Status = 0;
  HttpHeaders Headers;
  /// The length of the body in bytes; empty if the body is chunked or ends when
  /// the connection closes.
  std::optional<std::uint64_t> Length;
  BodyFraming Framing = BodyFraming::None;
  /// No response has been received on the connection before.
  bool IsFirstOnConnection = true;
};

/// Why a call received no complete response.
enum class HttpFailure {
  /// No byte of the request left this host, so the server has not run it.
  NotSent,
  /// The connection closed or the response was malformed before its header was
  /// complete.
  Broken,
  /// The response was cut off after its header.
  Truncated,
  /// The server has not acknowledged what was sent to it for a while: it, or
  /// the path to it, is lost. It may have run the call.
  Unacknowledged,
  /// OnSending withdrew the call. No byte of it left this host.
  Withdrawn,
};

/// How an attempt to open a connection ended.
enum class ConnectResult {
  Connected,
  /// The server or the network refused the connection, or reset it.
  Refused,
  TimedOut,
};

/// The result's name in logs and metrics.
const char *toText(ConnectResult result);

/// Callbacks for the progress of one call. All run on the event loop's thread
/// and never from inside send().
struct HttpCallHooks {
  /// Returns whether the response belongs to this call. If not, it is a late
  /// response to an earlier call: it is read to its end and discarded, and the
  /// next response is awaited.
  std::function<bool(const HttpReplyHead &)> IsForThisCall;
  std::function<void(const HttpReplyHead &)> OnHead;
  std::function<void(std::string_view)> OnBody;
  std::function<void()> OnEnd;
  std::function<void(HttpFailure)> OnFailure;
  /// Called just before the request is written to the connection. If it returns
  /// false, nothing is written, the connection is closed, and the call fails
  /// with Withdrawn.
  std::function<bool()> OnSending;
  /// Called if the call needs a new connection, when the attempt to open it has
  /// ended.
  std::function<void(ConnectResult)> OnConnect;
};

/// A handle to a call in flight. Destroying it does not cancel the call.
class HttpCallHandle {
public:
  virtual ~HttpCallHandle() = default;
  /// Cancels the call: closes its connection at once, so that the server can
  /// stop working on it. No hook runs afterwards.
  virtual void cancel() = 0;
  /// Pauses reading the response, because its receiver is slower.
  virtual void pause() = 0;
  /// Resumes reading the response.
  virtual void resume() = 0;
};

struct HttpClientCounts {
  std::uint64_t Opened = 0;
  std::uint64_t Reused = 0;
  /// Responses that belonged to an earlier call.
  std::uint64_t LateResponses = 0;
  /// Connections closed because they had input that belongs to no call.
  std::uint64_t UnexpectedInput = 0;
  /// Keep-alive timeouts of servers that could not be read.
  std::uint64_t MalformedKeepAlives = 0;
  /// Responses refused because their header is not one of HTTP/1.1.
  std::uint64_t MalformedHeads = 0;
};

struct AsyncHttpClientSettings {
  /// The longest time to connect; beyond it the call fails with NotSent.
  Duration ConnectTimeout = milliseconds(500);
  /// The longest time that an idle connection is kept for reuse before it is
  /// closed. A shorter timeout announced by the server takes precedence.
  Duration KeepAliveTimeout = seconds(4);
  /// The largest response header in bytes; beyond it the call fails with
  /// Broken.
  std::size_t MaxHeadBytes = 32UL * 1024;
  /// The most responses before the one to a call: informational ones, and late
  /// ones to earlier calls. Beyond it the call fails with Broken.
  int MaxOtherResponses = 32;
  /// The same for the bytes of their bodies.
  std::size_t MaxOtherBytes = 1024UL * 1024;
};

/// An HTTP/1.1 client on a shared event loop that keeps idle connections by
/// address. A connection is reused only after a complete response with no
/// further input, because further input belongs to no call. All members are
/// used on the loop's thread only.
class AsyncHttpClient {
public:
  AsyncHttpClient(boost::asio::io_context &loop,
                  AsyncHttpClientSettings settings = {});
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

  /// Sends the call to "ip:port". The call's ConnectTimeout and ReadTimeout are
  /// ignored: the caller has a deadline and cancels. With maxIdleTime only a
  /// connection used within that time is reused, and a new one is opened
  /// otherwise; this is for calls that must not be lost because the server has
  /// just closed an idle connection.
  std::shared_ptr<HttpCallHandle>
  send(const std::string &address, const HttpCall &call, HttpCallHooks hooks,
       std::optional<Duration> maxIdleTime = {});
  /// Opens a connection to "ip:port" and keeps it for later calls. `done` is
  /// called with the result, and never from inside this function.
  void openIdle(const std::string &address,
                std::function<void(ConnectResult)> done);
  /// The number of connections to the address, active and idle.
  std::size_t connections(const std::string &address) const;
  /// Whether there is an idle connection to the address.
  bool hasIdle(const std::string &address) const;
  /// Closes the idle connections to an address that is no longer used.
  void forget(const std::string &address);
  HttpClientCounts counts() const;

  struct SharedState;

private:
  std::shared_ptr<SharedState> ClientState;
};

} // namespace sorrelbay
