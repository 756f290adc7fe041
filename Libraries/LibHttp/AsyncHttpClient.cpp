#include "LibHttp/AsyncHttpClient.h"
#include "LibHttp/BeastCommon.h"
#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <set>

namespace sorrelbay {

using namespace beastcommon;

namespace {
class Channel;
using ChannelPointer = std::shared_ptr<Channel>;
using SteadyInstant = std::chrono::steady_clock::time_point;
constexpr std::size_t BodyBlockBytes = 16UL * 1024;
constexpr int FirstFinalStatus = 200;
} // namespace

struct AsyncHttpClient::Shared {
  Shared(asio::io_context &loop, AsyncHttpClientSettings settings)
      : Loop(loop), Settings(settings) {}

  asio::io_context &Loop;
  AsyncHttpClientSettings Settings;
  /// Kept connections, the one used last at the end.
  std::map<std::string, std::vector<ChannelPointer>> Idle;
  std::map<std::string, std::size_t> Open;
  HttpClientCounts Counts;
  bool IsEnding = false;
};

namespace {

using Shared = AsyncHttpClient::Shared;
using ReplyParser = http::response_parser<http::buffer_body>;

/// One connection, with the call that is under way on it. It keeps itself alive
/// through the operations that are pending.
class Channel : public std::enable_shared_from_this<Channel> {
public:
  Channel(std::shared_ptr<Shared> all, std::string address)
      : All(std::move(all)), Address(std::move(address)), Socket(All->Loop),
        Timer(All->Loop) {
    ++All->Open[Address];
  }
  ~Channel() {
    const auto it = All->Open.find(Address);
    if (it != All->Open.end() && --it->second == 0)
      All->Open.erase(it);
  }
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  void connect();
  void start(const HttpCall &call, HttpCallHooks hooks);
  void close();
  void cancel();
  void pause() { IsPaused = true; }
  void resume();
  bool isUsable() const { return !IsClosed && !IsWriting; }
  SteadyInstant usedAt() const { return UsedAt; }

private:
  void send();
  void awaitReply();
  void headRead();
  void readBody();
  void bodyRead(ErrorCode ec);
  void replyEnded();
  void keep();
  void watchIdle();
  void fail(HttpFailure why);

  std::shared_ptr<Shared> All;
  std::string Address;
  Tcp::socket Socket;
  asio::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<ReplyParser> Parser;
  std::array<char, BodyBlockBytes> Block{};
  HttpCallHooks Hooks;
  std::string Request;
  SteadyInstant UsedAt{};
  /// How long the other side says that it keeps the connection.
  Duration OtherKeeps = hours(1);
  bool IsHead = false;
  bool IsActive = false;
  bool IsForThisCall = false;
  bool IsWriting = false;
  bool IsPaused = false;
  bool WaitsForResume = false;
  bool IsClosed = false;
  bool IsConnected = false;
};

class Handle : public HttpCallHandle {
public:
  explicit Handle(std::weak_ptr<Channel> on) : On(std::move(on)) {}
  void cancel() override {
    if (const auto on = On.lock())
      on->cancel();
    On.reset();
  }
  void pause() override {
    if (const auto on = On.lock())
      on->pause();
  }
  void resume() override {
    if (const auto on = On.lock())
      on->resume();
  }

private:
  std::weak_ptr<Channel> On;
};

/// The request as it goes on the wire.
std::string requestText(const HttpCall &call, const std::string &address) {
  std::string out = call.Method;
  out += ' ';
  out += call.Path;
  out += " HTTP/1.1\r\n";
  if (!hasHeader(call.Headers, "Host"))
    out += "Host: " + address + "\r\n";
  for (const HttpHeader &it : call.Headers) {
    out += it.Name;
    out += ": ";
    out += it.Value;
    out += "\r\n";
  }
  if (!call.Body.empty() || (call.Method != "GET" && call.Method != "HEAD"))
    out += "Content-Length: " + std::to_string(call.Body.size()) + "\r\n";
  out += "\r\n";
  out += call.Body;
  return out;
}

void Channel::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  ErrorCode ignored;
  Timer.cancel(ignored);
  Socket.close(ignored);
}

void Channel::cancel() {
  if (!IsActive)
    return;
  IsActive = false;
  Hooks = {};
  close();
}

void Channel::fail(HttpFailure why) {
  const auto self = shared_from_this();
  close();
  if (!IsActive)
    return;
  IsActive = false;
  const HttpCallHooks hooks = std::move(Hooks);
  Hooks = {};
  hooks.OnFailure(why);
}

void Channel::connect() {
  Timer.expires_after(All->Settings.ConnectTimeout);
  Timer.async_wait([self = shared_from_this()](ErrorCode ec) {
    if (!ec && !self->IsConnected)
      self->fail(HttpFailure::NotSent);
  });
  Tcp::endpoint endpoint;
  try {
    endpoint = endpointOf(Address);
  } catch (const std::exception &) {
    asio::post(All->Loop, [self = shared_from_this()] {
      self->fail(HttpFailure::NotSent);
    });
    return;
  }
  Socket.async_connect(endpoint, [self = shared_from_this()](ErrorCode ec) {
    if (self->IsClosed)
      return;
    if (ec)
      return self->fail(HttpFailure::NotSent);
    self->IsConnected = true;
    ErrorCode ignored;
    self->Timer.cancel(ignored);
    configureSocket(self->Socket);
    self->send();
  });
}

void Channel::start(const HttpCall &call, HttpCallHooks hooks) {
  Hooks = std::move(hooks);
  IsActive = true;
  IsPaused = false;
  WaitsForResume = false;
  IsHead = call.Method == "HEAD";
  Request = requestText(call, Address);
  if (!IsConnected)
    return connect();
  ErrorCode ignored;
  Timer.cancel(ignored);
  asio::post(All->Loop, [self = shared_from_this()] {
    if (self->IsActive)
      self->send();
  });
}

void Channel::send() {
  if (IsClosed)
    return fail(HttpFailure::NotSent);
  if (Hooks.OnSending)
    Hooks.OnSending();
  if (!IsActive)
    return;
  IsWriting = true;
  asio::async_write(Socket, asio::buffer(Request),
                    [self = shared_from_this()](ErrorCode ec, std::size_t) {
                      self->IsWriting = false;
                      // The reader finds the end as well, and may still find
                      // an answer that came before it.
                      if (ec && self->IsClosed)
                        return;
                    });
  awaitReply();
}

void Channel::awaitReply() {
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(All->Settings.MaxHeadBytes));
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (IsHead)
    Parser->skip(true);
  http::async_read_header(
      Socket, Buffer, *Parser,
      [self = shared_from_this()](ErrorCode ec, std::size_t) {
        if (self->IsClosed)
          return;
        if (ec)
          return self->fail(HttpFailure::Broken);
        self->headRead();
      });
}

void Channel::headRead() {
  const auto &message = Parser->get();
  HttpReplyHead head;
  head.Status = static_cast<int>(message.result_int());
  if (head.Status < FirstFinalStatus)
    return awaitReply();
  head.Headers = headersOf(message);
  if (const auto length = Parser->content_length())
    head.Length = *length;
  const std::string keep = headerValue(head.Headers, "Keep-Alive");
  const std::size_t at = keep.find("timeout=");
  if (at != std::string::npos)
    OtherKeeps = seconds(std::atoi(keep.c_str() + at + 8));
  IsForThisCall = IsActive && Hooks.IsForThisCall(head);
  if (IsForThisCall)
    Hooks.OnHead(head);
  else
    ++All->Counts.LateAnswers;
  if (IsClosed)
    return;
  readBody();
}

void Channel::readBody() {
  if (Parser->is_done())
    return replyEnded();
  if (IsPaused) {
    WaitsForResume = true;
    return;
  }
  Parser->get().body().data = Block.data();
  Parser->get().body().size = Block.size();
  Parser->get().body().more = true;
  http::async_read_some(Socket, Buffer, *Parser,
                        [self = shared_from_this()](ErrorCode ec, std::size_t) {
                          if (!self->IsClosed)
                            self->bodyRead(ec);
                        });
}

void Channel::resume() {
  IsPaused = false;
  if (!WaitsForResume || IsClosed)
    return;
  WaitsForResume = false;
  readBody();
}

void Channel::bodyRead(ErrorCode ec) {
  const std::size_t n = Block.size() - Parser->get().body().size;
  if (n != 0 && IsForThisCall)
    Hooks.OnBody({Block.data(), n});
  if (IsClosed)
    return;
  if (ec && ec != http::error::need_buffer)
    return fail(HttpFailure::Truncated);
  readBody();
}

void Channel::replyEnded() {
  const bool keeps = Parser->keep_alive() && !IsWriting;
  Parser.reset();
  if (!IsForThisCall) {
    // The answer to an earlier call; ours is behind it.
    if (!keeps)
      return fail(HttpFailure::Broken);
    return awaitReply();
  }
  const auto self = shared_from_this();
  IsActive = false;
  const HttpCallHooks hooks = std::move(Hooks);
  Hooks = {};
  if (!keeps) {
    close();
  } else if (Buffer.size() != 0) {
    ++All->Counts.ExtraBytes;
    close();
  } else {
    keep();
  }
  hooks.OnEnd();
}

void Channel::keep() {
  const Duration atMost = OtherKeeps - milliseconds(500);
  const Duration limit = std::min(All->Settings.KeepAliveTimeout, atMost);
  if (limit <= Duration::zero() || All->IsEnding)
    return close();
  UsedAt = std::chrono::steady_clock::now();
  All->Idle[Address].push_back(shared_from_this());
  Timer.expires_after(limit);
  Timer.async_wait([self = shared_from_this()](ErrorCode ec) {
    if (ec || self->IsActive)
      return;
    self->close();
    auto &idle = self->All->Idle[self->Address];
    idle.erase(std::remove(idle.begin(), idle.end(), self), idle.end());
  });
  watchIdle();
}

/// The other side's end, or bytes that belong to no call, must be seen before
/// the next call is sent: a call that is lost with its connection may have run.
void Channel::watchIdle() {
  Socket.async_wait(
      Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode ec) {
        if (ec || self->IsActive || self->IsClosed)
          return;
        ++self->All->Counts.ExtraBytes;
        self->close();
        auto &idle = self->All->Idle[self->Address];
        idle.erase(std::remove(idle.begin(), idle.end(), self), idle.end());
      });
}

/// A kept connection that was in use lately enough, the last one first.
ChannelPointer takeIdle(Shared &all, const std::string &address,
                        std::optional<Duration> freshness) {
  const auto it = all.Idle.find(address);
  if (it == all.Idle.end())
    return nullptr;
  auto &idle = it->second;
  while (!idle.empty()) {
    ChannelPointer channel = idle.back();
    const auto age = std::chrono::steady_clock::now() - channel->usedAt();
    if (channel->isUsable() && freshness && age > *freshness)
      return nullptr;
    idle.pop_back();
    if (channel->isUsable())
      return channel;
  }
  all.Idle.erase(it);
  return nullptr;
}

} // namespace

AsyncHttpClient::AsyncHttpClient(asio::io_context &loop,
                                 AsyncHttpClientSettings settings)
    : All(std::make_shared<Shared>(loop, settings)) {}

AsyncHttpClient::~AsyncHttpClient() {
  All->IsEnding = true;
  for (const auto &[address, idle] : All->Idle)
    for (const ChannelPointer &it : idle)
      it->close();
  All->Idle.clear();
}

std::shared_ptr<HttpCallHandle>
AsyncHttpClient::send(const std::string &address, const HttpCall &call,
                      HttpCallHooks hooks, std::optional<Duration> freshness) {
  ChannelPointer channel = takeIdle(*All, address, freshness);
  if (channel) {
    ++All->Counts.Reused;
  } else {
    ++All->Counts.Opened;
    channel = std::make_shared<Channel>(All, address);
  }
  auto handle = std::make_shared<Handle>(channel);
  channel->start(call, std::move(hooks));
  return handle;
}

std::size_t AsyncHttpClient::connections(const std::string &address) const {
  const auto it = All->Open.find(address);
  return it == All->Open.end() ? 0 : it->second;
}

bool AsyncHttpClient::hasIdle(const std::string &address) const {
  const auto it = All->Idle.find(address);
  return it != All->Idle.end() && !it->second.empty();
}

void AsyncHttpClient::forget(const std::string &address) {
  const auto it = All->Idle.find(address);
  if (it == All->Idle.end())
    return;
  const std::vector<ChannelPointer> idle = std::move(it->second);
  All->Idle.erase(it);
  for (const ChannelPointer &channel : idle)
    channel->close();
}

HttpClientCounts AsyncHttpClient::counts() const { return All->Counts; }

} // namespace sorrelbay
