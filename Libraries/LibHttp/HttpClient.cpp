#include "LibHttp/HttpClient.h"
#include "LibBase/BootClock.h"
#include "LibHttp/BlockingConnection.h"
#include "LibHttp/ResponseReader.h"
#include <array>
#include <atomic>

namespace sorrelbay {

using namespace beastcommon;

namespace {

constexpr std::size_t MaxIdlePerAddress = 32;
constexpr std::size_t ReadBufferBytes = 16UL * 1024;
constexpr std::size_t MaxHeaderBytes = 32UL * 1024;
/// The largest body of a response that is kept as a whole.
constexpr std::size_t MaxReplyBytes = 64UL * 1024 * 1024;
/// The longest time for a response that goes on arriving.
constexpr Duration MaxTransferTime = seconds(10);
/// The most informational responses before the final one.
constexpr int MaxInformational = 32;

/// A call on a connection. The hooks return false to stop the call.
class BlockingCall {
public:
  using OnReply = std::function<bool(const HttpReply &)>;
  using OnData = std::function<bool(std::string_view)>;

  BlockingCall(BlockingConnection &connection, const HttpCall &call)
      : CallConnection(connection), What(call.Method + " " + call.Path),
        IsHead(call.Method == "HEAD") {}

  /// Returns false if a hook stopped the call. Throws HttpOutcomeUnknown unless
  /// the response is complete.
  bool run(const std::string &request, const OnReply &onReply,
           const OnData &onData) {
    ErrorCode ec;
    Reader.noteRequestBegun(IsHead);
    CallConnection.write(request, ec);
    Reader.noteRequestWritten(ec);
    if (ec)
      fail(ec);
    return onReply(readHeader()) && readBody(onData);
  }
  /// Whether the connection can take another call.
  bool isReusable() const {
    return Reader.hasEnded() && Reader.keepsAlive() &&
           !Reader.hasFurtherInput();
  }

private:
  [[noreturn]] void fail(const ErrorCode &ec) const {
    throw HttpOutcomeUnknown(What + ": " + ec.message());
  }

  HttpReply readHeader() {
    readNextHeader();
    for (int n = 0; Reader.isInformational(); ++n) {
      if (n == MaxInformational)
        throw HttpOutcomeUnknown(What + ": no final response");
      readNextHeader();
    }
    const HttpReplyHead head = Reader.head();
    HttpReply reply;
    reply.Status = head.Status;
    reply.Headers = head.Headers;
    return reply;
  }

  void readNextHeader() {
    Reader.start(MaxHeaderBytes);
    ErrorCode ec;
    bool isComplete = Reader.takeHead(0, ec);
    while (!isComplete && !ec) {
      const std::size_t n = CallConnection.read_some(Reader.prepareHead(), ec);
      if (!ec)
        isComplete = Reader.takeHead(n, ec);
    }
    if (ec)
      fail(ec);
  }

  bool readBody(const OnData &onData) {
    std::array<char, ReadBufferBytes> part{};
    auto &body = Reader.parser().get().body();
    while (!Reader.hasEnded()) {
      body.data = part.data();
      body.size = part.size();
      body.more = true;
      ErrorCode ec;
      http::read_some(CallConnection, Reader.buffer(), Reader.parser(), ec);
      const std::size_t n = part.size() - body.size;
      if (n != 0 && !onData({part.data(), n}))
        return false;
      if (ec && ec != http::error::need_buffer)
        fail(ec);
    }
    return true;
  }

  BlockingConnection &CallConnection;
  std::string What;
  bool IsHead;
  ResponseReader Reader;
};

/// The request in wire format.
std::string wireText(HttpCall call, const std::string &address,
                     bool isKeptAlive) {
  if (!isKeptAlive)
    call.Headers.push_back({"Connection", "close"});
  if (!call.Body.empty() && !hasHeader(call.Headers, "Content-Type"))
    call.Headers.push_back({"Content-Type", call.ContentType});
  return requestText(call, address);
}

/// Sends the call over a connected connection and waits for the complete
/// response; also returns whether the connection can take another call.
std::pair<HttpReply, bool> sendOver(BlockingConnection &connection,
                                    const HttpCall &call,
                                    const std::string &address,
                                    bool isKeptAlive) {
  connection.setTimeout(call.ReadTimeout);
  const Instant end = bootNow() + std::max(call.ReadTimeout, MaxTransferTime);
  HttpReply out;
  BlockingCall blockingCall(connection, call);
  blockingCall.run(
      wireText(call, address, isKeptAlive),
      [&out](const HttpReply &reply) {
        out = reply;
        return true;
      },
      [&](std::string_view bytes) {
        out.Body.append(bytes);
        if (out.Body.size() > MaxReplyBytes || bootNow() > end)
          throw HttpOutcomeUnknown(call.Path + ": the response has no end");
        return true;
      });
  return {std::move(out), blockingCall.isReusable()};
}

} // namespace

HttpReply sendOnce(const std::string &address, const HttpCall &call) {
  BlockingConnection connection;
  connection.connect(address, call.ConnectTimeout);
  return sendOver(connection, call, address, false).first;
}

struct HttpPool::Connection {
  BlockingConnection Link;
};

HttpPool::HttpPool() = default;
HttpPool::~HttpPool() = default;

std::unique_ptr<HttpPool::Connection>
HttpPool::acquireConnection(const std::string &address) {
  const std::lock_guard<std::mutex> lock(Mutex);
  auto &idle = Idle[address];
  if (idle.empty())
    return nullptr;
  auto it = std::move(idle.back());
  idle.pop_back();
  return it;
}

void HttpPool::releaseConnection(const std::string &address,
                                 std::unique_ptr<Connection> it) {
  const std::lock_guard<std::mutex> lock(Mutex);
  auto &idle = Idle[address];
  if (idle.size() < MaxIdlePerAddress)
    idle.push_back(std::move(it));
}

HttpReply HttpPool::send(const std::string &address, const HttpCall &call) {
  auto pooled = acquireConnection(address);
  if (pooled) {
    try {
      auto [reply, isReusable] = sendOver(pooled->Link, call, address, true);
      if (isReusable)
        releaseConnection(address, std::move(pooled));
      return reply;
    } catch (const HttpOutcomeUnknown &) {
      // The pooled connection was closed or lost while idle; a new one may work
      // at once.
    }
  }
  auto fresh = std::make_unique<Connection>();
  fresh->Link.connect(address, call.ConnectTimeout);
  auto [reply, isReusable] = sendOver(fresh->Link, call, address, true);
  if (isReusable)
    releaseConnection(address, std::move(fresh));
  return reply;
}

struct HttpStream::Connection {
  std::string Address;
  BlockingConnection Link;
  std::atomic<bool> IsCancelled{false};
};

HttpStream::HttpStream(const std::string &address, HttpCall call)
    : StreamConnection(std::make_unique<Connection>()), Call(std::move(call)) {
  StreamConnection->Address = address;
}

HttpStream::~HttpStream() = default;

void HttpStream::cancel() {
  StreamConnection->IsCancelled = true;
  StreamConnection->Link.cancel();
}

bool HttpStream::run(const OnReply &onReply, const OnData &onData) {
  const std::atomic<bool> &isCancelled = StreamConnection->IsCancelled;
  BlockingConnection &link = StreamConnection->Link;
  try {
    link.connect(StreamConnection->Address, Call.ConnectTimeout);
    link.setTimeout(Call.ReadTimeout);
    BlockingCall blockingCall(link, Call);
    const bool isWhole = blockingCall.run(
        wireText(Call, StreamConnection->Address, false),
        [&](const HttpReply &reply) { return !isCancelled && onReply(reply); },
        [&](std::string_view data) { return !isCancelled && onData(data); });
    // Cancelling shuts the connection down, which reads as an orderly end.
    return isWhole && !isCancelled;
  } catch (const HttpNotSent &) {
    if (!isCancelled)
      throw;
  } catch (const HttpOutcomeUnknown &) {
    if (!isCancelled)
      throw;
  }
  return false;
}

} // namespace sorrelbay
