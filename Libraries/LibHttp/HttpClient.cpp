#include "LibHttp/HttpClient.h"
#include <atomic>
#include <httplib.h>

namespace sorrelbay {

namespace {

constexpr std::size_t MaxIdlePerAddress = 32;

std::unique_ptr<httplib::Client> connectTo(const std::string &address,
                                           bool keepAlive) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    throw HttpNotSent("expected an address as ip:port, got: " + address);
  const std::string host = address.substr(0, colon);
  const int port = std::atoi(address.c_str() + colon + 1);
  auto client = std::make_unique<httplib::Client>(host, port);
  client->set_keep_alive(keepAlive);
  client->set_tcp_nodelay(true);
  return client;
}

void setTimeouts(httplib::Client &client, const HttpCall &call) {
  client.set_connection_timeout(call.ConnectTimeout);
  client.set_read_timeout(call.ReadTimeout);
  client.set_write_timeout(call.ReadTimeout);
}

httplib::Request toRequest(const HttpCall &call) {
  httplib::Request request;
  request.method = call.Method;
  request.path = call.Path;
  request.body = call.Body;
  for (const HttpHeader &it : call.Headers)
    request.headers.emplace(it.Name, it.Value);
  if (!call.Body.empty())
    request.headers.emplace("Content-Type", call.ContentType);
  return request;
}

HttpReply toReply(const httplib::Response &response) {
  HttpReply reply;
  reply.Status = response.status;
  reply.Body = response.body;
  for (const auto &it : response.headers)
    reply.Headers.push_back({it.first, it.second});
  return reply;
}

[[noreturn]] void throwFailure(const std::string &what, httplib::Error error) {
  const std::string text = what + ": " + httplib::to_string(error);
  switch (error) {
  case httplib::Error::Connection:
  case httplib::Error::ConnectionTimeout:
  case httplib::Error::BindIPAddress:
    throw HttpNotSent(text);
  default:
    throw HttpOutcomeUnknown(text);
  }
}

HttpReply sendOver(httplib::Client &client, const HttpCall &call) {
  setTimeouts(client, call);
  httplib::Request request = toRequest(call);
  httplib::Response response;
  auto error = httplib::Error::Success;
  if (!client.send(request, response, error))
    throwFailure(call.Method + " " + call.Path, error);
  return toReply(response);
}

} // namespace

HttpReply sendOnce(const std::string &address, const HttpCall &call) {
  return sendOver(*connectTo(address, false), call);
}

struct HttpPool::Connection {
  std::unique_ptr<httplib::Client> Client;
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
      HttpReply reply = sendOver(*pooled->Client, call);
      releaseConnection(address, std::move(pooled));
      return reply;
    } catch (const HttpOutcomeUnknown &) {
      // The pooled connection was closed or lost while idle; a new one may work
      // at once.
    }
  }
  auto fresh = std::make_unique<Connection>();
  fresh->Client = connectTo(address, true);
  HttpReply reply = sendOver(*fresh->Client, call);
  releaseConnection(address, std::move(fresh));
  return reply;
}

struct HttpStream::Connection {
  std::unique_ptr<httplib::Client> Client;
  std::atomic<bool> IsCancelled{false};
};

HttpStream::HttpStream(const std::string &address, HttpCall call)
    : StreamConnection(std::make_unique<Connection>()), Call(std::move(call)) {
  StreamConnection->Client = connectTo(address, false);
}

HttpStream::~HttpStream() = default;

void HttpStream::cancel() {
  StreamConnection->IsCancelled = true;
  StreamConnection->Client->stop();
}

bool HttpStream::run(const OnReply &onReply, const OnData &onData) {
  setTimeouts(*StreamConnection->Client, Call);
  httplib::Request request = toRequest(Call);
  bool wasStopped = false;
  request.response_handler = [&](const httplib::Response &response) {
    wasStopped = StreamConnection->IsCancelled || !onReply(toReply(response));
    return !wasStopped;
  };
  request.content_receiver = [&](const char *data, std::size_t n, std::uint64_t,
                                 std::uint64_t) {
    wasStopped =
        StreamConnection->IsCancelled || !onData(std::string_view(data, n));
    return !wasStopped;
  };
  httplib::Response response;
  auto error = httplib::Error::Success;
  if (StreamConnection->IsCancelled)
    return false;
  const bool isWhole = StreamConnection->Client->send(request, response, error);
  if (isWhole && !wasStopped)
    return true;
  if (wasStopped || StreamConnection->IsCancelled)
    return false;
  throwFailure(Call.Method + " " + Call.Path, error);
}

} // namespace sorrelbay
