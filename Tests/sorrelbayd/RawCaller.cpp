#include "RawCaller.h"
#include "LibHttp/BeastCommon.h"

namespace sorrelbay {

using namespace beastcommon;

static const std::string HeaderEnd = "\r\n\r\n";
static constexpr int ReceiveBufferBytes = 16 * 1024;

/// Decodes a body in chunks. Returns whether its last chunk has arrived.
static bool decodeChunks(const std::string &wire, std::string &body) {
  std::size_t at = 0;
  while (true) {
    const std::size_t lineEnd = wire.find("\r\n", at);
    if (lineEnd == std::string::npos)
      return false;
    const std::size_t size =
        std::stoul(wire.substr(at, lineEnd - at), nullptr, 16);
    at = lineEnd + 2;
    if (size == 0)
      return wire.substr(at) == "\r\n";
    body += wire.substr(at, size);
    if (at + size + 2 > wire.size())
      return false;
    at += size + 2;
  }
}

/// Reads the reply from what arrived until the connection ended with the error.
static RawReply parseReply(const std::string &wire, const ErrorCode &ec) {
  RawReply reply;
  const std::size_t headEnd = wire.find(HeaderEnd);
  if (headEnd == std::string::npos)
    return reply;
  const std::string head = wire.substr(0, headEnd + 2);
  const std::string rest = wire.substr(headEnd + HeaderEnd.size());
  reply.Status = std::stoi(head.substr(head.find(' ') + 1));
  reply.IsChunked =
      head.find("\r\nTransfer-Encoding: chunked\r\n") != std::string::npos;
  if (reply.IsChunked) {
    reply.IsComplete = decodeChunks(rest, reply.Body);
    return reply;
  }
  reply.Body = rest;
  static const std::string lengthField = "\r\nContent-Length: ";
  const std::size_t length = head.find(lengthField);
  reply.IsComplete =
      length == std::string::npos
          ? ec == asio::error::eof
          : std::stoul(head.substr(length + lengthField.size())) == rest.size();
  return reply;
}

RawReply callRaw(const std::string &address, const std::string &request) {
  asio::io_context loop;
  Tcp::socket socket(loop);
  socket.connect(endpointOf(address));
  asio::write(socket, asio::buffer(request));
  std::string wire;
  ErrorCode ec;
  asio::read(socket, asio::dynamic_buffer(wire), ec);
  return parseReply(wire, ec);
}

RawReply callRaw(const std::string &address, const std::string &request,
                 const std::function<void()> &afterFirstByte) {
  asio::io_context loop;
  Tcp::socket socket(loop, Tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
  socket.connect(endpointOf(address));
  asio::write(socket, asio::buffer(request));
  std::string wire(1, '\0');
  ErrorCode ec;
  asio::read(socket, asio::buffer(wire), ec);
  afterFirstByte();
  asio::read(socket, asio::dynamic_buffer(wire), ec);
  return parseReply(wire, ec);
}

} // namespace sorrelbay
