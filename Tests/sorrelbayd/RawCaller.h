#pragma once

#include <functional>
#include <string>
#include <vector>

namespace sorrelbay {

/// A response as it is seen on the caller's socket.
struct RawReply {
  int Status = 0;
  std::string Body;
  /// The caller takes the response for complete, by its length, its last chunk
  /// or, if it has neither, a connection that was closed and not reset.
  bool IsComplete = false;
  bool IsChunked = false;
};

/// Sends the request in wire format over a connection of its own, and reads
/// until the connection ends. The address is "ip:port".
RawReply callRaw(const std::string &address, const std::string &request);

/// The same, for a caller that does something else after the first byte, and
/// whose socket holds little.
RawReply callRaw(const std::string &address, const std::string &request,
                 const std::function<void()> &afterFirstByte);

} // namespace sorrelbay
