#pragma once

#include "LibHttp/AsyncHttpClient.h"
#include "LibHttp/BeastCommon.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <optional>

namespace sorrelbay {

/// Reads the responses that arrive on a client's connection, one after the
/// other. Both clients read through it, and it alone decides whether bytes are
/// a response in HTTP/1.1, and whether one that has ended is whole. Beast
/// parses; what Beast lets pass and HTTP/1.1 does not is refused here.
class ResponseReader {
public:
  using Parser =
      beastcommon::http::response_parser<beastcommon::http::buffer_body>;

  /// A request is about to be written; the next responses are to it.
  void noteRequestBegun(bool isHead);
  /// The request has been written, or writing it has failed with the error.
  void noteRequestWritten(const beastcommon::ErrorCode &ec);
  bool isRequestWritten() const { return !IsWriting; }

  /// Begins the next response. A longer header than that is an error.
  void start(std::size_t maxHeadBytes);
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
  /// Whether the response that has ended is whole only if the request can be
  /// written to its end. Until then a reset may look like an orderly end.
  bool dependsOnRequest() const;
  /// Whether the response that has ended may have been cut off, although its
  /// framing shows no fault: a connection that has failed marked its end.
  bool hasBrokenOff() const;
  /// The error that ended the connection. The system reports an error once, to
  /// a pending write or to a read; the other one sees an orderly end, or a
  /// consequence of the error.
  beastcommon::ErrorCode causeOf(const beastcommon::ErrorCode &ec) const;
  /// Whether the connection can take another request after the response.
  bool keepsAlive() const;
  /// Whether bytes follow the response.
  bool hasFurtherInput() const { return Buffer.size() != 0; }

private:
  beastcommon::ErrorCode faultOfHead() const;
  beastcommon::ErrorCode faultOfEncoding() const;

  boost::beast::flat_buffer Buffer{beastcommon::MaxBufferBytes};
  std::optional<Parser> ResponseParser;
  bool IsToHead = false;
  bool IsWriting = false;
  beastcommon::ErrorCode WriteError;
  std::size_t MaxHeadBytes = 0;
  /// The bytes of the header that were searched for its end.
  std::size_t SearchedBytes = 0;
};

} // namespace sorrelbay
