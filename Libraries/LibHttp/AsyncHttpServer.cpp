#include "LibHttp/AsyncHttpServer.h"
#include "LibBase/LogLine.h"
#include "LibHttp/BeastCommon.h"
#include "LibHttp/TimerExpiry.h"
#include <set>

namespace sorrelbay {

using namespace beastcommon;

namespace {

class Connection;

constexpr int ListenBacklog = 1024;
constexpr std::size_t FirstReadBytes = 4096;
/// HTTP/1.1, as Beast writes it.
constexpr unsigned FirstVersionWithChunks = 11;
constexpr Duration AcceptRetryDelay = milliseconds(50);
/// The longest time to send the response to a malformed request, and to wait
/// for a client to close the connection after its last response.
constexpr Duration RefusalTimeout = seconds(1);

} // namespace

struct AsyncHttpServer::SharedState
    : public std::enable_shared_from_this<AsyncHttpServer::SharedState> {
  SharedState(asio::io_context &loop, AsyncHttpServerHooks hooks)
      : Loop(loop), Acceptor(loop), RetryTimer(loop), Hooks(std::move(hooks)) {}

  void accept();

  asio::io_context &Loop;
  Tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  AsyncHttpServerHooks Hooks;
  std::set<std::shared_ptr<Connection>> Connections;
  std::size_t OpenRequests = 0;
  bool IsClosing = false;
  Duration IdleTimeoutWhileClosing{};
};

namespace {

using SharedState = AsyncHttpServer::SharedState;
using RequestParser = http::request_parser<http::string_body>;

/// Whether the end of the request's body is known. The parser takes a
/// request with another transfer encoding to have no body, and what follows for
/// the next request, which its client never sent as one.
bool hasKnownEncoding(const RequestParser &parser) {
  const auto [first, last] =
      parser.get().equal_range(http::field::transfer_encoding);
  if (first == last)
    return true;
  return std::next(first) == last &&
         boost::beast::iequals(first->value(), "chunked");
}

/// A client's connection and the exchange in flight on it. Pending operations
/// hold references that keep it alive.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(std::shared_ptr<SharedState> serverState, Tcp::socket socket)
      : ServerState(std::move(serverState)), Socket(std::move(socket)),
        Timer(ServerState->Loop) {}

  void readNext();
  void closeWhenIdle();
  void close();

  // Called by the exchange.
  void respond(int status, const HttpHeaders &headers, const std::string &body);
  void begin(int status, const HttpHeaders &headers,
             std::optional<std::uint64_t> length);
  void write(std::string_view bytes);
  void end();
  std::size_t queuedBytes() const {
    return QueuedOutput.size() + OutputInFlight.size();
  }

  std::function<void()> DisconnectHook;
  std::function<void()> DrainHook;

private:
  void startTimer(Duration limit);
  void closeIfExpired();
  void readHeader();
  void readBody();
  void handleRequest();
  void refuse(http::status status);
  void watchForDisconnect();
  void checkDisconnect();
  void handleDisconnect();
  template <typename Message>
  void fillHeader(Message &message, int status, const HttpHeaders &headers);
  void resetOnClose(bool isReset);
  void flush();
  void onResponseSent();
  bool closesAfterResponse() const {
    return !KeepsAlive || EndsWithConnection || ServerState->IsClosing;
  }

  std::shared_ptr<SharedState> ServerState;
  Tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<RequestParser> Parser;
  HttpLimits Limits;
  bool HasRequest = false;
  /// The connection is idle, and a read waits for the next request.
  bool WaitsForRequest = false;
  bool KeepsAlive = true;
  bool IsHead = false;
  /// The client understands chunks, as clients of HTTP/1.1 do.
  bool TakesChunks = true;
  bool IsChunked = false;
  /// The response has neither a length nor chunks and ends with its connection.
  bool EndsWithConnection = false;
  bool HasEnded = false;
  bool ClosesAfterResponse = false;
  bool IsWatching = false;
  bool IsWriting = false;
  bool IsClosed = false;
  /// Bytes of the response in wire format, framing included: those queued, and
  /// those being written.
  std::string QueuedOutput;
  std::string OutputInFlight;
};

/// The exchange as the handler holds it; it may outlive the connection.
class Exchange : public HttpExchange {
public:
  Exchange(std::shared_ptr<Connection> connection, HttpRequest request)
      : HeldConnection(std::move(connection)),
        ParsedRequest(std::move(request)) {}
  ~Exchange() override {
    // Without a response the client would wait indefinitely.
    if (HeldConnection && !IsDone)
      HeldConnection->close();
  }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  const HttpRequest &request() const override { return ParsedRequest; }
  void respond(int status, const HttpHeaders &headers,
               std::string body) override {
    if (!HeldConnection)
      return;
    const auto heldConnection = release();
    heldConnection->respond(status, headers, body);
  }
  void begin(int status, const HttpHeaders &headers,
             std::optional<std::uint64_t> length) override {
    if (HeldConnection)
      HeldConnection->begin(status, headers, length);
  }
  void write(std::string_view bytes) override {
    if (HeldConnection)
      HeldConnection->write(bytes);
  }
  void end() override {
    if (!HeldConnection)
      return;
    const auto heldConnection = release();
    heldConnection->end();
  }
  void abort() override {
    if (!HeldConnection)
      return;
    const auto heldConnection = release();
    heldConnection->close();
  }
  std::size_t queuedBytes() const override {
    return HeldConnection ? HeldConnection->queuedBytes() : 0;
  }
  void onClientDisconnected(std::function<void()> hook) override {
    if (HeldConnection)
      HeldConnection->DisconnectHook = std::move(hook);
  }
  void onDrained(std::function<void()> hook) override {
    if (HeldConnection)
      HeldConnection->DrainHook = std::move(hook);
  }

private:
  std::shared_ptr<Connection> release() {
    IsDone = true;
    HeldConnection->DisconnectHook = nullptr;
    HeldConnection->DrainHook = nullptr;
    return std::move(HeldConnection);
  }

  std::shared_ptr<Connection> HeldConnection;
  HttpRequest ParsedRequest;
  bool IsDone = false;
};

void Connection::startTimer(Duration limit) {
  Timer.expires_after(limit);
  Timer.async_wait([self = shared_from_this()](ErrorCode ec) {
    // If the loop was busy, input that arrived meanwhile may have been read and
    // its handler be queued; that one goes first.
    if (!ec)
      asio::post(self->ServerState->Loop, [self] { self->closeIfExpired(); });
  });
}

void Connection::closeIfExpired() {
  const bool hasNextRequest = WaitsForRequest && hasUnreadInput(Socket);
  if (!IsClosed && !HasRequest && hasExpired(Timer) && !hasNextRequest)
    close();
}

void Connection::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  if (HasRequest) {
    HasRequest = false;
    --ServerState->OpenRequests;
  }
  ErrorCode ignored;
  Timer.cancel(ignored);
  Socket.close(ignored);
  ServerState->Connections.erase(shared_from_this());
}

void Connection::closeWhenIdle() {
  if (!HasRequest && !IsClosed)
    startTimer(ServerState->IdleTimeoutWhileClosing);
}

void Connection::readNext() {
  Limits = ServerState->Hooks.Limits();
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
  Parser->body_limit(Limits.MaxBodyBytes);
  Buffer.max_size(Limits.MaxHeaderBytes + MaxBufferBytes);
  if (Buffer.size() == 0) {
    startTimer(ServerState->IsClosing ? ServerState->IdleTimeoutWhileClosing
                                      : Limits.IdleTimeout);
    WaitsForRequest = true;
    Socket.async_read_some(
        Buffer.prepare(FirstReadBytes),
        [self = shared_from_this()](ErrorCode ec, std::size_t n) {
          self->WaitsForRequest = false;
          if (ec)
            return self->close();
          self->Buffer.commit(n);
          self->readHeader();
        });
    return;
  }
  readHeader();
}

void Connection::readHeader() {
  if (IsClosed)
    return;
  startTimer(Limits.ReadTimeout);
  http::async_read_header(
      Socket, Buffer, *Parser,
      [self = shared_from_this()](ErrorCode ec, std::size_t) {
        if (self->IsClosed)
          return;
        if (ec == http::error::header_limit ||
            ec == http::error::buffer_overflow)
          return self->refuse(http::status::request_header_fields_too_large);
        if (ec == http::error::body_limit)
          return self->refuse(http::status::payload_too_large);
        if (ec.category() ==
                http::make_error_code(http::error::bad_method).category() &&
            ec != http::error::end_of_stream &&
            ec != http::error::partial_message)
          return self->refuse(http::status::bad_request);
        if (ec)
          return self->close();
        if (!hasKnownEncoding(*self->Parser))
          return self->refuse(http::status::not_implemented);
        self->readBody();
      });
}

void Connection::readBody() {
  if (Parser->is_done())
    return handleRequest();
  startTimer(Limits.ReadTimeout);
  const auto expect = Parser->get().find(http::field::expect);
  if (expect != Parser->get().end()) {
    static const std::string continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode ignored;
    asio::write(Socket, asio::buffer(continueResponse), ignored);
  }
  http::async_read(Socket, Buffer, *Parser,
                   [self = shared_from_this()](ErrorCode ec, std::size_t) {
                     if (self->IsClosed)
                       return;
                     if (ec == http::error::body_limit)
                       return self->refuse(http::status::payload_too_large);
                     if (ec)
                       return self->close();
                     self->handleRequest();
                   });
}

void Connection::refuse(http::status status) {
  KeepsAlive = false;
  HasRequest = true;
  ++ServerState->OpenRequests;
  startTimer(RefusalTimeout);
  respond(static_cast<int>(status), {}, "");
}

void Connection::handleRequest() {
  ErrorCode ignored;
  Timer.cancel(ignored);
  auto message = Parser->release();
  Parser.reset();
  KeepsAlive = message.keep_alive();
  EndsWithConnection = false;
  IsHead = message.method() == http::verb::head;
  TakesChunks = message.version() >= FirstVersionWithChunks;
  HasRequest = true;
  HasEnded = false;
  ++ServerState->OpenRequests;
  HttpRequest request;
  request.Method = std::string(message.method_string());
  request.Path = std::string(message.target());
  request.Headers = headersOf(message);
  request.Body = std::move(message.body());
  const auto self = shared_from_this();
  watchForDisconnect();
  ServerState->Hooks.Handle(
      std::make_shared<Exchange>(self, std::move(request)));
}

/// A client that disconnects while its call is at an upstream is detected only
/// by the end of its input. Any bytes are its next request, which is not read
/// until the response to the current one has been sent.
void Connection::watchForDisconnect() {
  if (IsWatching || Buffer.size() != 0)
    return;
  IsWatching = true;
  Socket.async_wait(Tcp::socket::wait_read,
                    [self = shared_from_this()](ErrorCode ec) {
                      self->IsWatching = false;
                      if (!ec && self->HasRequest)
                        self->checkDisconnect();
                    });
}

void Connection::checkDisconnect() {
  char byte = 0;
  const ssize_t n =
      ::recv(Socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0)
    return;
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return watchForDisconnect();
  handleDisconnect();
}

void Connection::handleDisconnect() {
  const auto self = shared_from_this();
  auto disconnectHook = std::move(DisconnectHook);
  DisconnectHook = nullptr;
  DrainHook = nullptr;
  close();
  if (disconnectHook)
    disconnectHook();
}

template <typename Message>
void Connection::fillHeader(Message &message, int status,
                            const HttpHeaders &headers) {
  message.version(11);
  message.result(static_cast<unsigned>(status));
  for (const HttpHeader &it : headers)
    message.insert(it.Name, it.Value);
  // Decided once, so that the Connection header and the handling after the
  // response agree.
  ClosesAfterResponse = closesAfterResponse();
  if (ClosesAfterResponse)
    message.set(http::field::connection, "close");
}

/// The response header in wire format.
template <typename Message> std::string headerText(const Message &message) {
  std::string out = "HTTP/1.1 ";
  out += std::to_string(message.result_int());
  out += ' ';
  out += std::string(message.reason());
  out += "\r\n";
  for (const auto &field : message) {
    out += std::string(field.name_string());
    out += ": ";
    out += std::string(field.value());
    out += "\r\n";
  }
  out += "\r\n";
  return out;
}

void Connection::respond(int status, const HttpHeaders &headers,
                         const std::string &body) {
  if (IsClosed)
    return;
  http::response<http::empty_body> message;
  fillHeader(message, status, headers);
  if (status != 204 && status != 304)
    message.content_length(body.size());
  QueuedOutput += headerText(message);
  if (!IsHead)
    QueuedOutput += body;
  HasEnded = true;
  flush();
}

void Connection::begin(int status, const HttpHeaders &headers,
                       std::optional<std::uint64_t> length) {
  if (IsClosed)
    return;
  http::response<http::empty_body> message;
  IsChunked = !length && TakesChunks;
  EndsWithConnection = !length && !TakesChunks;
  if (EndsWithConnection)
    resetOnClose(true);
  fillHeader(message, status, headers);
  if (length)
    message.content_length(*length);
  else
    message.chunked(TakesChunks);
  QueuedOutput += headerText(message);
  flush();
}

void Connection::write(std::string_view bytes) {
  if (IsClosed || bytes.empty() || IsHead)
    return;
  if (IsChunked) {
    char size[24];
    const int n = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    QueuedOutput.append(size, static_cast<std::size_t>(n));
  }
  QueuedOutput.append(bytes);
  if (IsChunked)
    QueuedOutput += "\r\n";
  flush();
}

void Connection::end() {
  if (IsClosed)
    return;
  if (IsChunked && !IsHead)
    QueuedOutput += "0\r\n\r\n";
  IsChunked = false;
  HasEnded = true;
  if (!IsWriting && QueuedOutput.empty())
    return onResponseSent();
  flush();
}

/// The client takes a close of the connection for the end of a response that
/// ends with it. Until the response has ended, the connection is reset instead,
/// also by the end of this process.
void Connection::resetOnClose(bool isReset) {
  ErrorCode ignored;
  Socket.set_option(asio::socket_base::linger(isReset, 0), ignored);
}

void Connection::flush() {
  if (IsWriting || IsClosed || QueuedOutput.empty())
    return;
  IsWriting = true;
  OutputInFlight.swap(QueuedOutput);
  asio::async_write(Socket, asio::buffer(OutputInFlight),
                    [self = shared_from_this()](ErrorCode ec, std::size_t) {
                      self->IsWriting = false;
                      self->OutputInFlight.clear();
                      if (self->IsClosed)
                        return;
                      if (ec)
                        return self->handleDisconnect();
                      if (!self->QueuedOutput.empty())
                        return self->flush();
                      if (self->HasEnded)
                        return self->onResponseSent();
                      if (self->DrainHook)
                        self->DrainHook();
                    });
}

void Connection::onResponseSent() {
  if (EndsWithConnection)
    resetOnClose(false);
  HasRequest = false;
  HasEnded = false;
  --ServerState->OpenRequests;
  if (!ClosesAfterResponse)
    return readNext();
  // Closing a socket with unread input resets the connection, and the reset can
  // discard a response in transit. So only the sending side is closed, and the
  // socket after one more read, which receives the rest of the input or the end
  // of it.
  ErrorCode ignored;
  Socket.shutdown(Tcp::socket::shutdown_send, ignored);
  startTimer(RefusalTimeout);
  Buffer.consume(Buffer.size());
  Socket.async_read_some(
      Buffer.prepare(FirstReadBytes),
      [self = shared_from_this()](ErrorCode, std::size_t) { self->close(); });
}

} // namespace

void AsyncHttpServer::SharedState::accept() {
  Acceptor.async_accept(
      [self = shared_from_this()](ErrorCode ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
          return;
        if (ec) {
          // Usually the process is out of file descriptors; an immediate retry
          // would keep a processor busy.
          self->RetryTimer.expires_after(AcceptRetryDelay);
          self->RetryTimer.async_wait([self](ErrorCode failed) {
            if (!failed)
              self->accept();
          });
          return;
        }
        configureSocket(socket);
        auto connection = std::make_shared<Connection>(self, std::move(socket));
        self->Connections.insert(connection);
        connection->readNext();
        self->accept();
      });
}

AsyncHttpServer::AsyncHttpServer(asio::io_context &loop,
                                 const std::string &listen,
                                 AsyncHttpServerHooks hooks)
    : ServerState(std::make_shared<SharedState>(loop, std::move(hooks))) {
  try {
    const Tcp::endpoint endpoint = endpointOf(listen);
    ServerState->Acceptor.open(endpoint.protocol());
    ServerState->Acceptor.set_option(asio::socket_base::reuse_address(true));
    ServerState->Acceptor.bind(endpoint);
    ServerState->Acceptor.listen(ListenBacklog);
  } catch (const std::exception &error) {
    throw HttpListenFailed(listen + ": cannot listen: " + error.what());
  }
  ServerState->accept();
}

AsyncHttpServer::~AsyncHttpServer() {
  ErrorCode ignored;
  ServerState->Acceptor.close(ignored);
  const auto connections = ServerState->Connections;
  for (const auto &it : connections)
    it->close();
}

std::string AsyncHttpServer::address() const {
  const Tcp::endpoint endpoint = ServerState->Acceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void AsyncHttpServer::beginClosing(Duration idleLimit) {
  ServerState->IsClosing = true;
  ServerState->IdleTimeoutWhileClosing = idleLimit;
  const auto connections = ServerState->Connections;
  for (const auto &it : connections)
    it->closeWhenIdle();
}

std::size_t AsyncHttpServer::openRequests() const {
  return ServerState->OpenRequests;
}

std::size_t AsyncHttpServer::connections() const {
  return ServerState->Connections.size();
}

} // namespace sorrelbay
