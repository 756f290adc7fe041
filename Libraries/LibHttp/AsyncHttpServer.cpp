#include "LibHttp/AsyncHttpServer.h"
#include "LibBase/LogLine.h"
#include "LibHttp/BeastCommon.h"
#include <set>

namespace sorrelbay {

using namespace beastcommon;

namespace {

class Connection;

constexpr int ListenBacklog = 1024;
constexpr std::size_t FirstReadBytes = 4096;
constexpr Duration AcceptRetryDelay = milliseconds(50);
/// How long an answer to a request that can't be read may take to be sent.
constexpr Duration RefusalTimeout = seconds(1);

} // namespace

struct AsyncHttpServer::Shared
    : public std::enable_shared_from_this<AsyncHttpServer::Shared> {
  Shared(asio::io_context &loop, AsyncHttpServerHooks hooks)
      : Loop(loop), Acceptor(loop), RetryTimer(loop), Hooks(std::move(hooks)) {}

  void accept();

  asio::io_context &Loop;
  Tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  AsyncHttpServerHooks Hooks;
  std::set<std::shared_ptr<Connection>> Connections;
  std::size_t OpenRequests = 0;
  bool IsClosing = false;
  Duration QuietWhileClosing{};
};

namespace {

using Shared = AsyncHttpServer::Shared;
using RequestParser = http::request_parser<http::string_body>;

/// One client's connection, and the exchange that is under way on it. It keeps
/// itself alive through the operations that are pending.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(std::shared_ptr<Shared> all, Tcp::socket socket)
      : All(std::move(all)), Socket(std::move(socket)), Timer(All->Loop) {}

  void readNext();
  void closeIfQuiet();
  void close();

  // Called by the exchange.
  void respond(int status, const HttpHeaders &headers, const std::string &body);
  void begin(int status, const HttpHeaders &headers,
             std::optional<std::uint64_t> length);
  void write(std::string_view bytes);
  void end();
  std::size_t queuedBytes() const { return Waiting.size() + Sending.size(); }

  std::function<void()> Gone;
  std::function<void()> Drained;

private:
  void startTimer(Duration limit);
  void readHeader();
  void readBody();
  void takeRequest();
  void refuse(http::status status);
  void watchClient();
  void clientMayHaveLeft();
  void clientHasLeft();
  template <typename Message>
  void fillHeader(Message &message, int status, const HttpHeaders &headers);
  void flush();
  void answerEnded();
  bool endsAfterAnswer() const { return !KeepsAlive || All->IsClosing; }

  std::shared_ptr<Shared> All;
  Tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<RequestParser> Parser;
  HttpLimits Limits;
  bool HasRequest = false;
  bool KeepsAlive = true;
  bool IsHead = false;
  bool IsChunked = false;
  bool HasEnded = false;
  bool ClosesAfterAnswer = false;
  bool IsWatching = false;
  bool IsWriting = false;
  bool IsClosed = false;
  /// Bytes of the answer as they go on the wire, framing included.
  std::string Waiting;
  std::string Sending;
};

/// What the handler holds; it outlives the connection where it must.
class Exchange : public HttpExchange {
public:
  Exchange(std::shared_ptr<Connection> connection, HttpRequest request)
      : On(std::move(connection)), Read(std::move(request)) {}
  ~Exchange() override {
    // An exchange that is dropped unanswered would hold its client forever.
    if (On && !IsDone)
      On->close();
  }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  const HttpRequest &request() const override { return Read; }
  void respond(int status, const HttpHeaders &headers,
               std::string body) override {
    if (!On)
      return;
    const auto on = release();
    on->respond(status, headers, body);
  }
  void begin(int status, const HttpHeaders &headers,
             std::optional<std::uint64_t> length) override {
    if (On)
      On->begin(status, headers, length);
  }
  void write(std::string_view bytes) override {
    if (On)
      On->write(bytes);
  }
  void end() override {
    if (!On)
      return;
    const auto on = release();
    on->end();
  }
  void abort() override {
    if (!On)
      return;
    const auto on = release();
    on->close();
  }
  std::size_t queuedBytes() const override {
    return On ? On->queuedBytes() : 0;
  }
  void onClientDisconnected(std::function<void()> hook) override {
    if (On)
      On->Gone = std::move(hook);
  }
  void onDrained(std::function<void()> hook) override {
    if (On)
      On->Drained = std::move(hook);
  }

private:
  std::shared_ptr<Connection> release() {
    IsDone = true;
    On->Gone = nullptr;
    On->Drained = nullptr;
    return std::move(On);
  }

  std::shared_ptr<Connection> On;
  HttpRequest Read;
  bool IsDone = false;
};

void Connection::startTimer(Duration limit) {
  Timer.expires_after(limit);
  Timer.async_wait([self = shared_from_this()](ErrorCode ec) {
    if (!ec && !self->HasRequest)
      self->close();
  });
}

void Connection::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  if (HasRequest) {
    HasRequest = false;
    --All->OpenRequests;
  }
  ErrorCode ignored;
  Timer.cancel(ignored);
  Socket.close(ignored);
  All->Connections.erase(shared_from_this());
}

void Connection::closeIfQuiet() {
  if (!HasRequest && !IsClosed)
    startTimer(All->QuietWhileClosing);
}

void Connection::readNext() {
  Limits = All->Hooks.Limits();
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
  Parser->body_limit(Limits.MaxBodyBytes);
  if (Buffer.size() == 0) {
    startTimer(All->IsClosing ? All->QuietWhileClosing : Limits.IdleTimeout);
    Socket.async_read_some(
        Buffer.prepare(FirstReadBytes),
        [self = shared_from_this()](ErrorCode ec, std::size_t n) {
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
        self->readBody();
      });
}

void Connection::readBody() {
  if (Parser->is_done())
    return takeRequest();
  startTimer(Limits.ReadTimeout);
  const auto expect = Parser->get().find(http::field::expect);
  if (expect != Parser->get().end()) {
    static const std::string goOn = "HTTP/1.1 100 Continue\r\n\r\n";
    ErrorCode ignored;
    asio::write(Socket, asio::buffer(goOn), ignored);
  }
  http::async_read(Socket, Buffer, *Parser,
                   [self = shared_from_this()](ErrorCode ec, std::size_t) {
                     if (self->IsClosed)
                       return;
                     if (ec == http::error::body_limit)
                       return self->refuse(http::status::payload_too_large);
                     if (ec)
                       return self->close();
                     self->takeRequest();
                   });
}

void Connection::refuse(http::status status) {
  KeepsAlive = false;
  HasRequest = true;
  ++All->OpenRequests;
  startTimer(RefusalTimeout);
  respond(static_cast<int>(status), {}, "");
}

void Connection::takeRequest() {
  ErrorCode ignored;
  Timer.cancel(ignored);
  auto message = Parser->release();
  Parser.reset();
  KeepsAlive = message.keep_alive();
  IsHead = message.method() == http::verb::head;
  HasRequest = true;
  HasEnded = false;
  ++All->OpenRequests;
  HttpRequest request;
  request.Method = std::string(message.method_string());
  request.Path = std::string(message.target());
  request.Headers = headersOf(message);
  request.Body = std::move(message.body());
  const auto self = shared_from_this();
  watchClient();
  All->Hooks.Handle(std::make_shared<Exchange>(self, std::move(request)));
}

/// A client that leaves while its call is at an upstream shows only as the end
/// of what it sends; bytes that come instead are its next request, which stays
/// unread until this one has its answer.
void Connection::watchClient() {
  if (IsWatching || Buffer.size() != 0)
    return;
  IsWatching = true;
  Socket.async_wait(Tcp::socket::wait_read,
                    [self = shared_from_this()](ErrorCode ec) {
                      self->IsWatching = false;
                      if (!ec && self->HasRequest)
                        self->clientMayHaveLeft();
                    });
}

void Connection::clientMayHaveLeft() {
  char byte = 0;
  const ssize_t n =
      ::recv(Socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0)
    return;
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return watchClient();
  clientHasLeft();
}

void Connection::clientHasLeft() {
  const auto self = shared_from_this();
  auto gone = std::move(Gone);
  Gone = nullptr;
  Drained = nullptr;
  close();
  if (gone)
    gone();
}

template <typename Message>
void Connection::fillHeader(Message &message, int status,
                            const HttpHeaders &headers) {
  message.version(11);
  message.result(static_cast<unsigned>(status));
  for (const HttpHeader &it : headers)
    message.insert(it.Name, it.Value);
  // Decided once, so that the header and what follows it agree.
  ClosesAfterAnswer = endsAfterAnswer();
  if (ClosesAfterAnswer)
    message.set(http::field::connection, "close");
}

/// The header as it goes on the wire.
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
  Waiting += headerText(message);
  if (!IsHead)
    Waiting += body;
  HasEnded = true;
  flush();
}

void Connection::begin(int status, const HttpHeaders &headers,
                       std::optional<std::uint64_t> length) {
  if (IsClosed)
    return;
  http::response<http::empty_body> message;
  fillHeader(message, status, headers);
  IsChunked = !length.has_value();
  if (length)
    message.content_length(*length);
  else
    message.chunked(true);
  Waiting += headerText(message);
  flush();
}

void Connection::write(std::string_view bytes) {
  if (IsClosed || bytes.empty() || IsHead)
    return;
  if (IsChunked) {
    char size[24];
    const int n = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    Waiting.append(size, static_cast<std::size_t>(n));
  }
  Waiting.append(bytes);
  if (IsChunked)
    Waiting += "\r\n";
  flush();
}

void Connection::end() {
  if (IsClosed)
    return;
  if (IsChunked && !IsHead)
    Waiting += "0\r\n\r\n";
  IsChunked = false;
  HasEnded = true;
  flush();
}

void Connection::flush() {
  if (IsWriting || IsClosed || Waiting.empty())
    return;
  IsWriting = true;
  Sending.swap(Waiting);
  asio::async_write(Socket, asio::buffer(Sending),
                    [self = shared_from_this()](ErrorCode ec, std::size_t) {
                      self->IsWriting = false;
                      self->Sending.clear();
                      if (self->IsClosed)
                        return;
                      if (ec)
                        return self->clientHasLeft();
                      if (!self->Waiting.empty())
                        return self->flush();
                      if (self->HasEnded)
                        return self->answerEnded();
                      if (self->Drained)
                        self->Drained();
                    });
}

void Connection::answerEnded() {
  HasRequest = false;
  HasEnded = false;
  --All->OpenRequests;
  if (!ClosesAfterAnswer)
    return readNext();
  // Closing with bytes unread resets the connection, and the reset can destroy
  // the answer on its way; so only our side is closed, and the client's rest is
  // read until it closes too.
  ErrorCode ignored;
  Socket.shutdown(Tcp::socket::shutdown_send, ignored);
  startTimer(RefusalTimeout);
  Buffer.consume(Buffer.size());
  Socket.async_read_some(
      Buffer.prepare(FirstReadBytes),
      [self = shared_from_this()](ErrorCode, std::size_t) { self->close(); });
}

} // namespace

void AsyncHttpServer::Shared::accept() {
  Acceptor.async_accept(
      [self = shared_from_this()](ErrorCode ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted)
          return;
        if (ec) {
          // Out of descriptors, mostly: a tight loop would eat the processor.
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
    : All(std::make_shared<Shared>(loop, std::move(hooks))) {
  try {
    const Tcp::endpoint endpoint = endpointOf(listen);
    All->Acceptor.open(endpoint.protocol());
    All->Acceptor.set_option(asio::socket_base::reuse_address(true));
    All->Acceptor.bind(endpoint);
    All->Acceptor.listen(ListenBacklog);
  } catch (const std::exception &error) {
    throw HttpListenFailed(listen + ": can't listen: " + error.what());
  }
  All->accept();
}

AsyncHttpServer::~AsyncHttpServer() {
  ErrorCode ignored;
  All->Acceptor.close(ignored);
  const auto connections = All->Connections;
  for (const auto &it : connections)
    it->close();
}

std::string AsyncHttpServer::address() const {
  const Tcp::endpoint endpoint = All->Acceptor.local_endpoint();
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void AsyncHttpServer::beginClosing(Duration quiet) {
  All->IsClosing = true;
  All->QuietWhileClosing = quiet;
  const auto connections = All->Connections;
  for (const auto &it : connections)
    it->closeIfQuiet();
}

std::size_t AsyncHttpServer::openRequests() const { return All->OpenRequests; }

std::size_t AsyncHttpServer::connections() const {
  return All->Connections.size();
}

} // namespace sorrelbay
