#pragma once

#include "LibHttp/AsyncHttpClient.h"
#include "LibHttp/BeastCommon.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <optional>

namespace sorrelbay {

/// Reads the responses that arrive on a client's connection, one after the
/// other. Both clients read through it, and it alone decides whether bytes are
/// a response in HTTP/1.1. Beast parses; what Beast lets pass and HTTP/1.1 does
/// not is refused here.
class ResponseReader {
public:
  using Parser =
      beastcommon::http::response_parser<beastcommon::http::buffer_body>;

  /// Begins the next response, which is to a HEAD request or to another one. A
  /// longer header than that is an error.
  void start(bool isToHead, std::size_t maxHeadBytes);
  /// Where the next bytes of the header are to be read to.
  beastcommon::asio::mutable_buffer prepareHead();
  /// Takes that many bytes that were read; with 0, those that arrived with the
  /// response before. Returns whether the header is complete. Sets the error if
  /// it is not that of a response.
  bool takeHead(std::size_t bytes, beastcommon::ErrorCode &ec);
  /// Whether another response to the same request follows.
  bool isInformational() const;
  HttpReplyHead head() const;

  /// For Beast's reads of the body.
  Parser &parser() { return *ResponseParser; }
  boost::beast::flat_buffer &buffer() { return Buffer; }
  /// Whether what frames the response has ended.
  bool hasEnded() const { return ResponseParser && ResponseParser->is_done(); }
  /// Whether the response leaves the connection open for another request.
  bool keepsAlive() const { return ResponseParser->keep_alive(); }
  /// Whether bytes follow the response.
  bool hasFurtherInput() const { return Buffer.size() != 0; }

private:
  beastcommon::ErrorCode faultOfHead() const;
  beastcommon::ErrorCode faultOfEncoding() const;

  boost::beast::flat_buffer Buffer{beastcommon::MaxBufferBytes};
  std::optional<Parser> ResponseParser;
  std::size_t MaxHeadBytes = 0;
  /// The bytes of the header that were searched for its end.
  std::size_t SearchedBytes = 0;
};

} // namespace sorrelbay
