#include "LibHttp/AsyncHttpClient.h"
#include "LibHttp/BeastCommon.h"
#include "LibHttp/ResponseReader.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>

namespace sorrelbay {

using namespace beastcommon;

const char *toText(ConnectResult result) {
  switch (result) {
  case ConnectResult::Connected:
    return "connected";
  case ConnectResult::Refused:
    return "refused";
  case ConnectResult::TimedOut:
    return "timed_out";
  }
  return "";
}

const char *toText(BodyFraming framing) {
  switch (framing) {
  case BodyFraming::None:
    return "none";
  case BodyFraming::Length:
    return "length";
  case BodyFraming::Chunks:
    return "chunks";
  case BodyFraming::ConnectionEnd:
    return "connection_end";
  }
  return "";
}

namespace {
class ClientConnection;
using ClientConnectionPointer = std::shared_ptr<ClientConnection>;
using SteadyInstant = std::chrono::steady_clock::time_point;
constexpr std::size_t ReadBufferBytes = 16UL * 1024;
const std::string KeepAliveTimeoutName = "timeout=";
} // namespace

struct AsyncHttpClient::SharedState {
  SharedState(asio::io_context &loop, AsyncHttpClientSettings settings)
      : Loop(loop), Settings(settings) {}

  asio::io_context &Loop;
  AsyncHttpClientSettings Settings;
  /// Idle connections by address, the most recently used one last.
  std::map<std::string, std::vector<ClientConnectionPointer>> Idle;
  /// Connections that wait to be resumed. They have no pending operation, which
  /// would hold them.
  std::set<ClientConnectionPointer> Paused;
  std::map<std::string, std::size_t> ConnectionCounts;
  HttpClientCounts Counts;
  bool IsEnding = false;
};

namespace {

using SharedState = AsyncHttpClient::SharedState;

/// A connection and the call in flight on it. Pending operations hold
/// references that keep it alive, and the client holds those without any.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  ClientConnection(std::shared_ptr<SharedState> clientState,
                   std::string address)
      : ClientState(std::move(clientState)), Address(std::move(address)),
        Socket(ClientState->Loop), Timer(ClientState->Loop) {
    ++ClientState->ConnectionCounts[Address];
  }
  ~ClientConnection() {
    const auto it = ClientState->ConnectionCounts.find(Address);
    if (it != ClientState->ConnectionCounts.end() && --it->second == 0)
      ClientState->ConnectionCounts.erase(it);
  }
  ClientConnection(const ClientConnection &) = delete;
  ClientConnection &operator=(const ClientConnection &) = delete;

  void connect();
  void openIdle(std::function<void(ConnectResult)> done);
  void start(const HttpCall &call, HttpCallHooks hooks);
  void close();
  void cancel();
  void pause() { IsPaused = true; }
  void resume();
  bool isUsable() const { return !IsClosed && Reader.isRequestWritten(); }
  SteadyInstant lastUsedAt() const { return LastUsedAt; }

private:
  void send();
  void onRequestWritten(ErrorCode ec);
  void readResponseHeader();
  void readNextResponse();
  void readHeaderBytes();
  void onHeaderBytes(std::size_t bytes);
  void onHeaderRead();
  void readBody();
  void waitForResume();
  void onBodyRead(ErrorCode ec);
  void onResponseEnd();
  void onOpenedIdle();
  void returnToPool();
  void watchIdle();
  HttpFailure failureOf(ErrorCode ec, HttpFailure otherwise) const;
  void fail(HttpFailure why);
  void failToConnect(ConnectResult result);

  std::shared_ptr<SharedState> ClientState;
  std::string Address;
  Tcp::socket Socket;
  asio::steady_timer Timer;
  ResponseReader Reader;
  std::array<char, ReadBufferBytes> ReadBuffer{};
  HttpCallHooks Hooks;
  std::string Request;
  SteadyInstant LastUsedAt{};
  /// The server's keep-alive timeout, from the header of its last response.
  Duration PeerKeepAliveTimeout = hours(1);
  bool IsHead = false;
  bool IsActive = false;
  bool IsForThisCall = false;
  bool HasResponded = false;
  int OtherResponses = 0;
  std::size_t OtherBytes = 0;
  bool IsPaused = false;
  bool WaitsForResume = false;
  /// The response has ended, and its request is still being written.
  bool WaitsForRequest = false;
  bool IsClosed = false;
  bool IsConnected = false;
  /// The connection is opened for later calls.
  bool IsOpenedIdle = false;
};

class CallHandle : public HttpCallHandle {
public:
  explicit CallHandle(std::weak_ptr<ClientConnection> callConnection)
      : CallConnection(std::move(callConnection)) {}
  void cancel() override {
    if (const auto callConnection = CallConnection.lock())
      callConnection->cancel();
    CallConnection.reset();
  }
  void pause() override {
    if (const auto callConnection = CallConnection.lock())
      callConnection->pause();
  }
  void resume() override {
    if (const auto callConnection = CallConnection.lock())
      callConnection->resume();
  }

private:
  std::weak_ptr<ClientConnection> CallConnection;
};

/// The timeout in a Keep-Alive header field; empty if it has none or it is
/// malformed.
std::optional<Duration> keepAliveTimeout(const std::string &field) {
  const std::size_t at = field.find(KeepAliveTimeoutName);
  if (at == std::string::npos)
    return std::nullopt;
  const std::size_t begin = at + KeepAliveTimeoutName.size();
  const std::size_t end =
      std::min(field.find_first_of(", ", begin), field.size());
  std::uint32_t number = 0;
  const auto [parsed, ec] =
      std::from_chars(field.data() + begin, field.data() + end, number);
  if (ec != std::errc() || parsed != field.data() + end)
    return std::nullopt;
  return seconds(number);
}

void ClientConnection::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  ErrorCode ignored;
  Timer.cancel(ignored);
  Socket.close(ignored);
  const auto self = shared_from_this();
  ClientState->Paused.erase(self);
}

void ClientConnection::cancel() {
  if (!IsActive)
    return;
  IsActive = false;
  Hooks = {};
  close();
}

void ClientConnection::fail(HttpFailure why) {
  const auto self = shared_from_this();
  close();
  if (!IsActive)
    return;
  IsActive = false;
  const HttpCallHooks hooks = std::move(Hooks);
  Hooks = {};
  hooks.OnFailure(why);
}

/// The failure that an error on reading stands for.
HttpFailure ClientConnection::failureOf(ErrorCode ec,
                                        HttpFailure otherwise) const {
  return Reader.causeOf(ec) == asio::error::timed_out
             ? HttpFailure::Unacknowledged
             : otherwise;
}

void ClientConnection::failToConnect(ConnectResult result) {
  if (IsActive && Hooks.OnConnect)
    Hooks.OnConnect(result);
  fail(HttpFailure::NotSent);
}

void ClientConnection::connect() {
  Timer.expires_after(ClientState->Settings.ConnectTimeout);
  Timer.async_wait([self = shared_from_this()](ErrorCode ec) {
    if (!ec && !self->IsConnected)
      self->failToConnect(ConnectResult::TimedOut);
  });
  Tcp::endpoint endpoint;
  try {
    endpoint = endpointOf(Address);
  } catch (const std::exception &) {
    asio::post(ClientState->Loop, [self = shared_from_this()] {
      self->failToConnect(ConnectResult::Refused);
    });
    return;
  }
  Socket.async_connect(endpoint, [self = shared_from_this()](ErrorCode ec) {
    if (self->IsClosed)
      return;
    if (ec)
      return self->failToConnect(ConnectResult::Refused);
    self->IsConnected = true;
    ErrorCode ignored;
    self->Timer.cancel(ignored);
    configureSocket(self->Socket);
    if (self->Hooks.OnConnect)
      self->Hooks.OnConnect(ConnectResult::Connected);
    if (self->IsOpenedIdle)
      return self->onOpenedIdle();
    self->send();
  });
}

void ClientConnection::openIdle(std::function<void(ConnectResult)> done) {
  Hooks.OnConnect = std::move(done);
  Hooks.OnFailure = [](HttpFailure) {};
  IsActive = true;
  IsOpenedIdle = true;
  connect();
}

void ClientConnection::onOpenedIdle() {
  IsActive = false;
  IsOpenedIdle = false;
  Hooks = {};
  returnToPool();
}

void ClientConnection::start(const HttpCall &call, HttpCallHooks hooks) {
  Hooks = std::move(hooks);
  IsActive = true;
  IsPaused = false;
  WaitsForResume = false;
  WaitsForRequest = false;
  OtherResponses = 0;
  OtherBytes = 0;
  IsHead = call.Method == "HEAD";
  Request = requestText(call, Address);
  if (!IsConnected)
    return connect();
  ErrorCode ignored;
  Timer.cancel(ignored);
  asio::post(ClientState->Loop, [self = shared_from_this()] {
    if (self->IsActive)
      self->send();
  });
}

void ClientConnection::send() {
  if (IsClosed)
    return fail(HttpFailure::NotSent);
  const bool isWithdrawn = Hooks.OnSending && !Hooks.OnSending();
  if (isWithdrawn)
    return fail(HttpFailure::Withdrawn);
  if (!IsActive)
    return;
  Reader.noteRequestBegun(IsHead);
  asio::async_write(Socket, asio::buffer(Request),
                    [self = shared_from_this()](ErrorCode ec, std::size_t) {
                      self->onRequestWritten(ec);
                    });
  readResponseHeader();
}

/// The pending read detects a failed connection too, and may still receive a
/// response that was sent before it failed.
void ClientConnection::onRequestWritten(ErrorCode ec) {
  Reader.noteRequestWritten(ec);
  if (!WaitsForRequest || IsClosed)
    return;
  WaitsForRequest = false;
  onResponseEnd();
}

void ClientConnection::readResponseHeader() {
  Reader.start(ClientState->Settings.MaxHeadBytes);
  onHeaderBytes(0);
}

void ClientConnection::onHeaderBytes(std::size_t bytes) {
  ErrorCode ec;
  const bool isComplete = Reader.takeHead(bytes, ec);
  if (ec) {
    ++ClientState->Counts.MalformedHeads;
    return fail(HttpFailure::Broken);
  }
  isComplete ? onHeaderRead() : readHeaderBytes();
}

void ClientConnection::readHeaderBytes() {
  Socket.async_read_some(
      Reader.prepareHead(),
      [self = shared_from_this()](ErrorCode ec, std::size_t n) {
        if (self->IsClosed)
          return;
        if (ec)
          return self->fail(self->failureOf(ec, HttpFailure::Broken));
        self->onHeaderBytes(n);
      });
}

/// Awaits the response that follows one that is not the call's.
void ClientConnection::readNextResponse() {
  if (++OtherResponses > ClientState->Settings.MaxOtherResponses)
    return fail(HttpFailure::Broken);
  readResponseHeader();
}

void ClientConnection::onHeaderRead() {
  if (Reader.isInformational())
    return readNextResponse();
  HttpReplyHead head = Reader.head();
  head.IsFirstOnConnection = !HasResponded;
  HasResponded = true;
  const std::string keepAliveHeader = headerValue(head.Headers, "Keep-Alive");
  if (const auto timeout = keepAliveTimeout(keepAliveHeader))
    PeerKeepAliveTimeout = *timeout;
  else if (keepAliveHeader.find(KeepAliveTimeoutName) != std::string::npos)
    ++ClientState->Counts.MalformedKeepAlives;
  IsForThisCall = IsActive && Hooks.IsForThisCall(head);
  if (IsForThisCall)
    Hooks.OnHead(head);
  else
    ++ClientState->Counts.LateResponses;
  if (IsClosed)
    return;
  readBody();
}

void ClientConnection::readBody() {
  if (Reader.hasEnded())
    return onResponseEnd();
  if (IsPaused)
    return waitForResume();
  auto &body = Reader.parser().get().body();
  body.data = ReadBuffer.data();
  body.size = ReadBuffer.size();
  body.more = true;
  http::async_read_some(Socket, Reader.buffer(), Reader.parser(),
                        [self = shared_from_this()](ErrorCode ec, std::size_t) {
                          if (!self->IsClosed)
                            self->onBodyRead(ec);
                        });
}

void ClientConnection::waitForResume() {
  if (ClientState->IsEnding)
    return cancel();
  WaitsForResume = true;
  ClientState->Paused.insert(shared_from_this());
}

void ClientConnection::resume() {
  IsPaused = false;
  if (!WaitsForResume || IsClosed)
    return;
  WaitsForResume = false;
  const auto self = shared_from_this();
  ClientState->Paused.erase(self);
  readBody();
}

void ClientConnection::onBodyRead(ErrorCode ec) {
  const std::size_t n = ReadBuffer.size() - Reader.parser().get().body().size;
  if (n != 0 && IsForThisCall)
    Hooks.OnBody({ReadBuffer.data(), n});
  if (IsClosed)
    return;
  if (ec && ec != http::error::need_buffer)
    return fail(failureOf(ec, HttpFailure::Truncated));
  OtherBytes += IsForThisCall ? 0 : n;
  if (OtherBytes > ClientState->Settings.MaxOtherBytes)
    return fail(HttpFailure::Broken);
  readBody();
}

void ClientConnection::onResponseEnd() {
  const bool keeps = Reader.keepsAlive();
  if (!IsForThisCall) {
    // This was a late response to an earlier call; the one to this call follows
    // it.
    if (!keeps)
      return fail(HttpFailure::Broken);
    return readNextResponse();
  }
  if (Reader.dependsOnRequest()) {
    WaitsForRequest = true;
    return;
  }
  if (Reader.hasBrokenOff())
    return fail(failureOf({}, HttpFailure::Truncated));
  const auto self = shared_from_this();
  IsActive = false;
  const HttpCallHooks hooks = std::move(Hooks);
  Hooks = {};
  if (!keeps) {
    close();
  } else if (Reader.hasFurtherInput()) {
    ++ClientState->Counts.UnexpectedInput;
    close();
  } else {
    returnToPool();
  }
  hooks.OnEnd();
}

void ClientConnection::returnToPool() {
  const Duration peerLimit = PeerKeepAliveTimeout - milliseconds(500);
  const Duration limit =
      std::min(ClientState->Settings.KeepAliveTimeout, peerLimit);
  if (limit <= Duration::zero() || ClientState->IsEnding)
    return close();
  LastUsedAt = std::chrono::steady_clock::now();
  ClientState->Idle[Address].push_back(shared_from_this());
  Timer.expires_after(limit);
  Timer.async_wait([self = shared_from_this()](ErrorCode ec) {
    if (ec || self->IsActive)
      return;
    self->close();
    auto &idle = self->ClientState->Idle[self->Address];
    idle.erase(std::remove(idle.begin(), idle.end(), self), idle.end());
  });
  watchIdle();
}

/// A close by the server, or input that belongs to no call, must be detected
/// before the next call is sent: a call that is lost with its connection may
/// have run.
void ClientConnection::watchIdle() {
  Socket.async_wait(
      Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode ec) {
        if (ec || self->IsActive || self->IsClosed)
          return;
        if (hasUnreadInput(self->Socket))
          ++self->ClientState->Counts.UnexpectedInput;
        self->close();
        auto &idle = self->ClientState->Idle[self->Address];
        idle.erase(std::remove(idle.begin(), idle.end(), self), idle.end());
      });
}

/// Returns the most recently used idle connection, or null if there is none or
/// it was last used longer ago than maxIdleTime.
ClientConnectionPointer takeIdle(SharedState &clientState,
                                 const std::string &address,
                                 std::optional<Duration> maxIdleTime) {
  const auto it = clientState.Idle.find(address);
  if (it == clientState.Idle.end())
    return nullptr;
  auto &idle = it->second;
  while (!idle.empty()) {
    ClientConnectionPointer clientConnection = idle.back();
    const auto age =
        std::chrono::steady_clock::now() - clientConnection->lastUsedAt();
    if (clientConnection->isUsable() && maxIdleTime && age > *maxIdleTime)
      return nullptr;
    idle.pop_back();
    if (clientConnection->isUsable())
      return clientConnection;
  }
  clientState.Idle.erase(it);
  return nullptr;
}

} // namespace

AsyncHttpClient::AsyncHttpClient(asio::io_context &loop,
                                 AsyncHttpClientSettings settings)
    : ClientState(std::make_shared<SharedState>(loop, settings)) {}

AsyncHttpClient::~AsyncHttpClient() {
  ClientState->IsEnding = true;
  for (const auto &[address, idle] : ClientState->Idle)
    for (const ClientConnectionPointer &it : idle)
      it->close();
  ClientState->Idle.clear();
  // They hold the state that holds them.
  const std::set<ClientConnectionPointer> paused =
      std::move(ClientState->Paused);
  for (const ClientConnectionPointer &it : paused)
    it->cancel();
}

std::shared_ptr<HttpCallHandle>
AsyncHttpClient::send(const std::string &address, const HttpCall &call,
                      HttpCallHooks hooks,
                      std::optional<Duration> maxIdleTime) {
  ClientConnectionPointer clientConnection =
      takeIdle(*ClientState, address, maxIdleTime);
  if (clientConnection) {
    ++ClientState->Counts.Reused;
  } else {
    ++ClientState->Counts.Opened;
    clientConnection = std::make_shared<ClientConnection>(ClientState, address);
  }
  auto handle = std::make_shared<CallHandle>(clientConnection);
  clientConnection->start(call, std::move(hooks));
  return handle;
}

void AsyncHttpClient::openIdle(const std::string &address,
                               std::function<void(ConnectResult)> done) {
  ++ClientState->Counts.Opened;
  std::make_shared<ClientConnection>(ClientState, address)
      ->openIdle(std::move(done));
}

std::size_t AsyncHttpClient::connections(const std::string &address) const {
  const auto it = ClientState->ConnectionCounts.find(address);
  return it == ClientState->ConnectionCounts.end() ? 0 : it->second;
}

bool AsyncHttpClient::hasIdle(const std::string &address) const {
  const auto it = ClientState->Idle.find(address);
  return it != ClientState->Idle.end() && !it->second.empty();
}

void AsyncHttpClient::forget(const std::string &address) {
  const auto it = ClientState->Idle.find(address);
  if (it == ClientState->Idle.end())
    return;
  const std::vector<ClientConnectionPointer> idle = std::move(it->second);
  ClientState->Idle.erase(it);
  for (const ClientConnectionPointer &clientConnection : idle)
    clientConnection->close();
}

HttpClientCounts AsyncHttpClient::counts() const { return ClientState->Counts; }

} // namespace sorrelbay
