#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace sorrelbay;

/// Connects within waitLimit; returns the socket, or -1.
static int connectWithin(const std::string &address, Duration waitLimit) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  const int out = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{duration_cast<seconds>(waitLimit).count(), 0};
  setsockopt(out, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (connect(out, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0)
    return out;
  close(out);
  return -1;
}

// Many callers connect at once while the thread that accepts connections does
// not run. With the library's listen backlog of five the others hang, and some
// give up although the daemon has capacity for them.
BOOST_AUTO_TEST_CASE(server_queues_many_connections_until_it_accepts) {
  constexpr int Callers = 64;
  HttpServer server;
  const std::string address = server.bind("127.0.0.1:0");
  std::vector<int> sockets;
  for (int n = 0; n < Callers; ++n) {
    sockets.push_back(connectWithin(address, seconds(2)));
    BOOST_REQUIRE(sockets.back() >= 0);
  }
  for (const int it : sockets)
    close(it);
}

// Two daemons are configured with the same address by mistake. If both could
// listen on it, callers would be split between them unnoticed.
BOOST_AUTO_TEST_CASE(server_refuses_a_port_in_use) {
  HttpServer first;
  HttpServer second;
  const std::string address = first.start("127.0.0.1:0");
  BOOST_CHECK_THROW(second.bind(address), HttpListenFailed);
}

// A desk runs a booking and responds with 404 and an empty body. If the server
// took that for an unknown path, the caller would receive the outcome that
// nothing ran.
BOOST_AUTO_TEST_CASE(server_leaves_a_handlers_empty_failure_alone) {
  HttpServer server;
  server.setErrorResponder([](int status, const HttpRequest &request) {
    HttpResponse out;
    out.Status = status;
    out.Body = "made for " + request.Path;
    return out;
  });
  server.route("GET", "/empty", [](const HttpRequest &) {
    HttpResponse out;
    out.Status = 404;
    out.Headers.push_back({"X-Outcome", "done"});
    return out;
  });
  const std::string address = server.start("127.0.0.1:0");
  HttpCall call;
  call.Path = "/empty";
  const HttpReply handlers = sendOnce(address, call);
  BOOST_TEST(handlers.Status == 404);
  BOOST_TEST(handlers.Body == "");
  BOOST_TEST(headerValue(handlers.Headers, "X-Outcome") == "done");
  call.Path = "/nowhere";
  BOOST_TEST(sendOnce(address, call).Body == "made for /nowhere");
}
