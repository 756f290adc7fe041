#pragma once

#include "LibHttp/HttpMessage.h"
#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace sorrelbay::beastcommon {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// The most bytes that are read ahead on a connection. A chunk's size and its
/// extensions, and the fields after the last chunk, must fit.
constexpr std::size_t MaxBufferBytes = 64UL * 1024;

/// Parses "ip:port". Throws std::exception if it is malformed.
Tcp::endpoint endpointOf(const std::string &address);

/// Disables Nagle's algorithm, which delays small writes, and bounds the time
/// to detect a silent peer: unacknowledged bytes and unanswered keep-alive
/// probes close the connection after about four seconds, instead of minutes by
/// default. A silence of two seconds is survived at any time.
void configureSocket(Tcp::socket &socket);

/// Whether bytes have arrived that were not read.
inline bool hasUnreadInput(const Tcp::socket &socket) {
  ErrorCode ec;
  return socket.available(ec) != 0;
}

/// Copies all header fields of a received message.
template <typename Fields> HttpHeaders headersOf(const Fields &fields) {
  HttpHeaders out;
  for (const auto &field : fields)
    out.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  return out;
}

} // namespace sorrelbay::beastcommon
