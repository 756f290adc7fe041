#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sorrelbay {

/// A header field; names are compared without regard to case.
struct HttpHeader {
  std::string Name;
  std::string Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first header field with that name, or the empty string.
std::string headerValue(const HttpHeaders &headers, std::string_view name);

/// Whether there is a header field with that name.
bool hasHeader(const HttpHeaders &headers, std::string_view name);

/// The header fields without those with that name.
HttpHeaders withoutHeader(const HttpHeaders &headers, std::string_view name);

/// Whether a response with the status tells the client that its request has not
/// run and will not run, so that it may be sent again: 408, 421, 429 and 503.
bool isNotRunStatus(int status);

/// The header fields without those that concern only one connection. Host
/// belongs to the request and stays.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/// No byte of the request has left this host, because the connection was
/// refused or timed out. The server has not run the request.
class HttpNotSent : public Error {
public:
  using Error::Error;
};

/// The connection failed after bytes may have left this host. The server may
/// have run the request.
class HttpOutcomeUnknown : public Error {
public:
  using Error::Error;
};

/// The server cannot listen on the address.
class HttpListenFailed : public Error {
public:
  using Error::Error;
};

/// A request as a client sends it.
struct HttpCall {
  std::string Method = "GET";
  /// Path with query.
  std::string Path = "/";
  HttpHeaders Headers;
  std::string Body;
  std::string ContentType = "application/json";
  /// The longest time to connect; beyond it the call fails with HttpNotSent.
  Duration ConnectTimeout = seconds(1);
  /// The longest time without a received byte while the response is awaited or
  /// read; beyond it the call fails with HttpOutcomeUnknown.
  Duration ReadTimeout = seconds(5);
};

/// The request in wire format. Without a Host header field of its own it names
/// the address.
std::string requestText(const HttpCall &call, const std::string &address);

/// A response as a client receives it.
struct HttpReply {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;
};

/// A request as a server receives it.
struct HttpRequest {
  std::string Method;
  std::string Path;
  HttpHeaders Headers;
  HttpHeaders Query;
  std::string Body;
  /// The text matched by each group of the route's regular expression.
  std::vector<std::string> Parts;
};

/// Receives the next bytes of a streamed response; returns false once the
/// client has disconnected.
using HttpSink = std::function<bool(std::string_view)>;

/// A response as a server sends it: a whole body, or a stream.
struct HttpResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  HttpHeaders Headers;
  /// If set, the body is what this hook writes to the sink. The hook returns
  /// whether the stream is complete; if not, the connection is closed so that
  /// the client detects it.
  std::function<bool(const HttpSink &)> Stream;
};

} // namespace sorrelbay
