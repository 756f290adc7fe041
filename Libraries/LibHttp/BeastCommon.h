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

/// "ip:port" as an endpoint. Throws std::exception when it isn't one.
Tcp::endpoint endpointOf(const std::string &address);

/// Small answers must not wait for more, and a peer that has gone silent must
/// be noticed: unacknowledged bytes and unanswered probes end the connection
/// after two seconds, where it would otherwise hang for minutes.
void configureSocket(Tcp::socket &socket);

/// Copies all header fields of a message that was read.
template <typename Fields> HttpHeaders headersOf(const Fields &fields) {
  HttpHeaders out;
  for (const auto &field : fields)
    out.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  return out;
}

} // namespace sorrelbay::beastcommon
