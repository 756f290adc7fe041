#pragma once

#include "LibBase/Time.h"
#include "LibHttp/BeastCommon.h"
#include <mutex>
#include <string>
#include <string_view>

namespace sorrelbay {

/// A client's TCP connection whose operations block for a limited time. Used by
/// one thread, except for cancel(). Beast's synchronous reads take it as their
/// stream.
class BlockingConnection {
public:
  BlockingConnection() = default;
  ~BlockingConnection();
  BlockingConnection(const BlockingConnection &) = delete;
  BlockingConnection &operator=(const BlockingConnection &) = delete;

  /// Connects to "ip:port". Throws HttpNotSent.
  void connect(const std::string &address, Duration timeout);
  /// Sets the longest time without progress of a read or write.
  void setTimeout(Duration timeout) { Timeout = timeout; }
  void write(std::string_view bytes, beastcommon::ErrorCode &ec);
  /// Lets this and all later operations fail. Callable from any thread.
  void cancel();

  /// Reads what has arrived, or waits for it; the error is eof once the server
  /// has closed the connection. Named as Beast requires.
  template <typename Buffers>
  // NOLINTNEXTLINE(readability-identifier-naming)
  std::size_t read_some(const Buffers &buffers, beastcommon::ErrorCode &ec) {
    for (auto it = beastcommon::asio::buffer_sequence_begin(buffers);
         it != beastcommon::asio::buffer_sequence_end(buffers); ++it) {
      const beastcommon::asio::mutable_buffer buffer = *it;
      if (buffer.size() != 0)
        return read(static_cast<char *>(buffer.data()), buffer.size(), ec);
    }
    ec = {};
    return 0;
  }

  template <typename Buffers>
  // NOLINTNEXTLINE(readability-identifier-naming)
  std::size_t read_some(const Buffers &buffers) {
    beastcommon::ErrorCode ec;
    const std::size_t n = read_some(buffers, ec);
    if (ec)
      throw boost::system::system_error(ec);
    return n;
  }

private:
  std::size_t read(char *to, std::size_t size, beastcommon::ErrorCode &ec);
  bool waitFor(short events, beastcommon::ErrorCode &ec) const;
  /// Takes over the descriptor, unless the connection was cancelled.
  bool adopt(int descriptor);

  Duration Timeout = seconds(5);
  std::mutex Mutex;
  int Descriptor = -1;
  bool IsCancelled = false;
};

} // namespace sorrelbay
