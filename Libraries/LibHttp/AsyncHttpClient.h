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

/// The start of an answer, as it came from the other side.
struct HttpReplyHead {
  int Status = 0;
  HttpHeaders Headers;
  /// In bytes; without one the body comes in chunks or ends with its
  /// connection.
  std::optional<std::uint64_t> Length;
};

/// Why a call got no whole answer.
enum class HttpFailure {
  /// No byte left this host: the other side has run nothing.
  NotSent,
  /// The connection ended, or the answer can't be read, before its head came.
  Broken,
  /// The answer broke off after its head.
  Truncated,
};

/// What happens to one call. All hooks run on the loop's thread, never from
/// inside send().
struct HttpCallHooks {
  /// Whether the answer belongs to this call. One that doesn't is a late answer
  /// to an earlier call; it is read over, and the next one awaited.
  std::function<bool(const HttpReplyHead &)> IsForThisCall;
  std::function<void(const HttpReplyHead &)> OnHead;
  std::function<void(std::string_view)> OnBody;
  std::function<void()> OnEnd;
  std::function<void(HttpFailure)> OnFailure;
  /// The request's bytes are about to leave this host.
  std::function<void()> OnSending;
};

/// One call under way. Dropping it does not end the call.
class HttpCallHandle {
public:
  virtual ~HttpCallHandle() = default;
  /// Gives the call up: closes its connection at once, so that the other side
  /// can stop working, and calls no hook any more.
  virtual void cancel() = 0;
  /// Stops and goes on reading the answer, for a receiver that is slower.
  virtual void pause() = 0;
  virtual void resume() = 0;
};

struct HttpClientCounts {
  std::uint64_t Opened = 0;
  std::uint64_t Reused = 0;
  std::uint64_t LateAnswers = 0;
  std::uint64_t ExtraBytes = 0;
};

struct AsyncHttpClientSettings {
  Duration ConnectTimeout = milliseconds(500);
  /// How long a quiet connection is kept for the next call.
  Duration KeepAliveTimeout = seconds(4);
  /// The longest answer head, in bytes.
  std::size_t MaxHeadBytes = 32UL * 1024;
};

/// An HTTP/1.1 client on an event loop that others share, with kept
/// connections by address. A connection is used again only after a whole
/// answer with not a byte more: whatever else is on it belongs to no call. All
/// of it belongs to the loop's thread.
class AsyncHttpClient {
public:
  AsyncHttpClient(boost::asio::io_context &loop,
                  AsyncHttpClientSettings settings = {});
  ~AsyncHttpClient();
  AsyncHttpClient(const AsyncHttpClient &) = delete;
  AsyncHttpClient &operator=(const AsyncHttpClient &) = delete;

  /// Sends the call to "ip:port". The call's ConnectTimeout and ReadTimeout are
  /// not used: who calls has a deadline and cancels. A call that must not be
  /// lost to a connection that the other side has just dropped asks for a fresh
  /// one, or for one that was in use at most that long ago.
  std::shared_ptr<HttpCallHandle> send(const std::string &address,
                                       const HttpCall &call,
                                       HttpCallHooks hooks,
                                       std::optional<Duration> freshness = {});
  /// Connections to the address, in use and kept.
  std::size_t connections(const std::string &address) const;
  /// Whether a kept connection to the address waits for a call.
  bool hasIdle(const std::string &address) const;
  /// Closes the kept connections to an address that is no longer used.
  void forget(const std::string &address);
  HttpClientCounts counts() const;

  struct Shared;

private:
  std::shared_ptr<Shared> All;
};

} // namespace sorrelbay
