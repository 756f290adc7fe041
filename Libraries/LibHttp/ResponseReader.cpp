#include "LibHttp/ResponseReader.h"
#include <algorithm>
#include <limits>
#include <string_view>

namespace sorrelbay {

using namespace beastcommon;

static constexpr std::size_t ReadBytes = 16UL * 1024;
static constexpr std::string_view HeadEnd = "\r\n\r\n";
static constexpr unsigned SwitchingProtocols = 101;
static constexpr unsigned LowestStatus = 100;
static constexpr unsigned LowestFinalStatus = 200;
static constexpr unsigned HighestStatus = 599;
/// Beast's number for HTTP/1.1.
static constexpr unsigned Http11 = 11;

static std::string_view textOf(const boost::beast::flat_buffer &buffer) {
  return {static_cast<const char *>(buffer.data().data()), buffer.size()};
}

/// Whether a line of the header begins with a blank. Such a line continues the
/// field before it in older versions of HTTP, and is a field of its own for
/// some readers.
static bool hasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

/// What marks the end of the body of a response whose header was read.
static BodyFraming framingOf(const ResponseReader::Parser &parser) {
  if (parser.is_done())
    return BodyFraming::None;
  if (parser.chunked())
    return BodyFraming::Chunks;
  return parser.content_length() ? BodyFraming::Length
                                 : BodyFraming::ConnectionEnd;
}

void ResponseReader::noteRequestBegun(bool isHead) {
  IsToHead = isHead;
  IsWriting = true;
  WriteError = {};
}

void ResponseReader::noteRequestWritten(const ErrorCode &ec) {
  IsWriting = false;
  WriteError = ec;
}

void ResponseReader::start(std::size_t maxHeadBytes) {
  MaxHeadBytes = std::min(maxHeadBytes, Buffer.max_size());
  SearchedBytes = 0;
  ResponseParser.emplace();
  ResponseParser->header_limit(static_cast<std::uint32_t>(MaxHeadBytes));
  ResponseParser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (IsToHead)
    ResponseParser->skip(true);
}

asio::mutable_buffer ResponseReader::prepareHead() {
  return Buffer.prepare(std::min(ReadBytes, Buffer.max_size() - Buffer.size()));
}

bool ResponseReader::takeHead(std::size_t bytes, ErrorCode &ec) {
  ec = {};
  Buffer.commit(bytes);
  const std::string_view text = textOf(Buffer);
  const std::size_t end = text.find(HeadEnd, SearchedBytes);
  if (end == std::string_view::npos) {
    SearchedBytes = text.size() - std::min(text.size(), HeadEnd.size() - 1);
    if (text.size() >= MaxHeadBytes)
      ec = http::error::header_limit;
    return false;
  }
  if (hasFoldedLine(text.substr(0, end)))
    ec = http::error::bad_obs_fold;
  if (!ec)
    Buffer.consume(ResponseParser->put(Buffer.data(), ec));
  if (!ec)
    ec = faultOfHead();
  return !ec;
}

/// What Beast takes and HTTP/1.1 does not.
ErrorCode ResponseReader::faultOfHead() const {
  const unsigned status = ResponseParser->get().result_int();
  // No request asks for another protocol.
  if (status < LowestStatus || status > HighestStatus ||
      status == SwitchingProtocols)
    return http::error::bad_status;
  return faultOfEncoding();
}

/// A body in an encoding that is not decoded would be passed on as another one,
/// and one with two framings may end at two places.
ErrorCode ResponseReader::faultOfEncoding() const {
  const auto &message = ResponseParser->get();
  const std::size_t fields = message.count(http::field::transfer_encoding);
  if (fields == 0)
    return {};
  const bool isChunkedOnly =
      fields == 1 &&
      boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
  if (!isChunkedOnly || message.version() < Http11 ||
      message.count(http::field::content_length) != 0)
    return http::error::bad_transfer_encoding;
  return {};
}

bool ResponseReader::isInformational() const {
  return ResponseParser->get().result_int() < LowestFinalStatus;
}

HttpReplyHead ResponseReader::head() const {
  const auto &message = ResponseParser->get();
  HttpReplyHead out;
  out.Status = static_cast<int>(message.result_int());
  out.Headers = headersOf(message);
  if (const auto length = ResponseParser->content_length())
    out.Length = *length;
  out.Framing = framingOf(*ResponseParser);
  return out;
}

bool ResponseReader::dependsOnRequest() const {
  return ResponseParser->need_eof() && IsWriting;
}

bool ResponseReader::hasBrokenOff() const {
  return ResponseParser->need_eof() && WriteError.failed();
}

ErrorCode ResponseReader::causeOf(const ErrorCode &ec) const {
  return WriteError.failed() ? WriteError : ec;
}

bool ResponseReader::keepsAlive() const {
  return ResponseParser->keep_alive() && !IsWriting && !WriteError.failed();
}

} // namespace sorrelbay
