#include "LibHttp/HttpServer.h"
#include "LibBase/LogLine.h"
#include "LibHttp/GrowingWorkerPool.h"
#include <httplib.h>
#include <thread>

namespace sorrelbay {

namespace {

/// Adapts GrowingWorkerPool to the interface of cpp-httplib.
class TaskQueueAdapter : public httplib::TaskQueue {
public:
  explicit TaskQueueAdapter(std::size_t limit) : Pool(limit) {}
  void enqueue(std::function<void()> work) override {
    Pool.enqueue(std::move(work));
  }
  void shutdown() override { Pool.shutdown(); }

private:
  GrowingWorkerPool Pool;
};

HttpRequest toHttpRequest(const httplib::Request &from) {
  HttpRequest request;
  request.Method = from.method;
  request.Path = from.path;
  request.Body = from.body;
  for (const auto &it : from.headers)
    request.Headers.push_back({it.first, it.second});
  for (const auto &it : from.params)
    request.Query.push_back({it.first, it.second});
  for (std::size_t n = 1; n < from.matches.size(); ++n)
    request.Parts.push_back(from.matches[n].str());
  return request;
}

void fillResponse(httplib::Response &to, HttpResponse from) {
  to.status = from.Status;
  for (const HttpHeader &it : from.Headers)
    to.set_header(it.Name, it.Value);
  if (!from.Stream) {
    to.set_content(from.Body, from.ContentType);
    return;
  }
  to.set_chunked_content_provider(
      from.ContentType,
      [stream = std::move(from.Stream)](std::size_t, httplib::DataSink &sink) {
        const bool isWhole = stream([&sink](std::string_view data) {
          return sink.write(data.data(), data.size());
        });
        if (isWhole)
          sink.done();
        return isWhole;
      });
}

} // namespace

struct HttpServer::ServerImpl {
  httplib::Server Server;
  int ListenSocket = -1;
  std::thread Listener;
  ErrorResponder RespondToError;
};

HttpServer::HttpServer(const HttpServerLimits &limits)
    : Implementation(std::make_unique<ServerImpl>()) {
  httplib::Server &server = Implementation->Server;
  const std::size_t workers = limits.Workers;
  server.new_task_queue = [workers] { return new TaskQueueAdapter(workers); };
  server.set_payload_max_length(limits.MaxBodyBytes);
  server.set_keep_alive_timeout(
      std::max<time_t>(1, duration_cast<seconds>(limits.KeepAlive).count()));
  server.set_read_timeout(limits.ReadTimeout);
  server.set_tcp_nodelay(true);
  // By default the library sets an option that lets a second process listen on
  // the same port, which would then receive some of this process's callers.
  server.set_socket_options([this](socket_t socket) {
    Implementation->ListenSocket = socket;
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  });
  server.set_exception_handler([this](const httplib::Request &request,
                                      httplib::Response &response,
                                      const std::exception_ptr &failure) {
    std::string text = "unknown exception";
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception &error) {
      text = error.what();
    }
    LogLine(Severity::Error, "HTTP request handler failed")
        .field("path", request.path)
        .field("error", text);
    response.status = 500;
    if (Implementation->RespondToError)
      fillResponse(response,
                   Implementation->RespondToError(500, toHttpRequest(request)));
  });
  server.set_error_handler(httplib::Server::HandlerWithResponse(
      [this](const httplib::Request &request, httplib::Response &response) {
        // The library calls this for every status from 400. A handler's
        // response has a content type, even with an empty body; it must not be
        // replaced by one that states that nothing ran.
        const bool isFromHandler = response.has_header("Content-Type");
        if (!isFromHandler && Implementation->RespondToError)
          fillResponse(response, Implementation->RespondToError(
                                     response.status, toHttpRequest(request)));
        return httplib::Server::HandlerResponse::Handled;
      }));
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::setErrorResponder(ErrorResponder errorResponder) {
  Implementation->RespondToError = std::move(errorResponder);
}

void HttpServer::route(const std::string &method, const std::string &pattern,
                       Handler handler) {
  auto serve = [handler = std::move(handler)](const httplib::Request &request,
                                              httplib::Response &response) {
    fillResponse(response, handler(toHttpRequest(request)));
  };
  httplib::Server &server = Implementation->Server;
  if (method == "GET")
    server.Get(pattern, serve);
  else if (method == "POST")
    server.Post(pattern, serve);
  else if (method == "PUT")
    server.Put(pattern, serve);
  else if (method == "DELETE")
    server.Delete(pattern, serve);
}

std::string HttpServer::bind(const std::string &address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    throw HttpListenFailed("expected an address as ip:port, got: " + address);
  const std::string host = address.substr(0, colon);
  int port = std::atoi(address.c_str() + colon + 1);
  if (port == 0)
    port = Implementation->Server.bind_to_any_port(host);
  else if (!Implementation->Server.bind_to_port(host, port))
    port = -1;
  if (port <= 0)
    throw HttpListenFailed("cannot listen on " + address);
  // The library sets a listen backlog of five connections. If more callers
  // connect at once, the kernel drops the others, and they hang until they
  // retry.
  if (listen(Implementation->ListenSocket, SOMAXCONN) != 0)
    throw HttpListenFailed("cannot set the listen backlog of " + address);
  return host + ":" + std::to_string(port);
}

void HttpServer::serve() {
  Implementation->Listener =
      std::thread([this] { Implementation->Server.listen_after_bind(); });
  while (!Implementation->Server.is_running())
    std::this_thread::sleep_for(milliseconds(1));
}

std::string HttpServer::start(const std::string &address) {
  std::string bound = bind(address);
  serve();
  return bound;
}

void HttpServer::stop() {
  if (!Implementation->Listener.joinable())
    return;
  Implementation->Server.stop();
  Implementation->Listener.join();
}

} // namespace sorrelbay
