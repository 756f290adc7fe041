#include "LibHttp/AsyncHttpServer.h"
#include "platform/JsonCall.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;
using namespace sorrelbay::platform;

namespace {

constexpr Duration Timeout = seconds(1);

/// A server that sends its response in parts, and the reply to one call.
struct SlowServer {
  boost::asio::io_context Loop;
  /// The parts that it sends before it stops.
  int Parts = 0;
  /// Whether it ends the response after the last part.
  bool Ends = true;
  Duration Interval{};
  boost::asio::steady_timer Timer{Loop};
  std::shared_ptr<HttpExchange> Exchange;
  AsyncHttpServer Server{Loop,
                         "127.0.0.1:0",
                         {[] { return HttpLimits{}; },
                          [this](std::shared_ptr<HttpExchange> it) {
                            Exchange = std::move(it);
                            Exchange->begin(200, {}, std::nullopt);
                            sendParts();
                          }}};
  AsyncHttpClient Client{Loop};

  void sendParts() {
    if (Parts-- == 0) {
      if (Ends)
        Exchange->end();
      return;
    }
    Exchange->write("x");
    Timer.expires_after(Interval);
    Timer.async_wait([this](boost::system::error_code ec) {
      if (!ec)
        sendParts();
    });
  }

  PlatformReply call() {
    std::optional<PlatformReply> reply;
    HttpCall call;
    call.Method = "GET";
    call.Path = "/";
    sendToPlatform(Loop, Client, Server.address(), call, Timeout,
                   [&](const PlatformReply &it) { reply = it; });
    while (!reply)
      Loop.run_one();
    return *reply;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(json_call)

// A configuration of half a megabyte takes longer than the timeout on a slow
// link. The host gave up each time and kept the old one.
BOOST_AUTO_TEST_CASE(a_response_that_goes_on_arriving_is_not_given_up) {
  SlowServer server;
  server.Parts = 8;
  server.Interval = Timeout / 5;
  const PlatformReply reply = server.call();
  BOOST_TEST(reply.Status == 200);
  BOOST_TEST(reply.Body.size() == 8);
}

// A connection falls silent in the middle of a response. The call would never
// end.
BOOST_AUTO_TEST_CASE(a_response_that_stops_arriving_is_given_up) {
  SlowServer server;
  server.Parts = 3;
  server.Ends = false;
  server.Interval = Timeout / 5;
  const PlatformReply reply = server.call();
  BOOST_TEST(reply.Status == 0);
}

// The event loop is busy while a part of the response arrives and the timeout
// ends.
BOOST_AUTO_TEST_CASE(a_response_that_arrived_on_a_busy_host_is_not_given_up) {
  boost::asio::io_context loop;
  AsyncHttpClient client(loop);
  using Tcp = boost::asio::ip::tcp;
  Tcp::acceptor acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  std::optional<PlatformReply> reply;
  HttpCall call;
  call.Method = "GET";
  call.Path = "/";
  sendToPlatform(
      loop, client,
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), call,
      milliseconds(200), [&](const PlatformReply &it) { reply = it; });
  Tcp::socket server(loop);
  bool isConnected = false;
  acceptor.async_accept(server,
                        [&](boost::system::error_code) { isConnected = true; });
  while (!isConnected || server.available() == 0)
    loop.run_one_for(milliseconds(10));
  const auto send = [&](const std::string &text) {
    boost::asio::write(server, boost::asio::buffer(text));
  };
  send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx");
  std::this_thread::sleep_for(milliseconds(400));
  for (int n = 0; n < 10; ++n)
    loop.poll_one();
  send("y");
  while (!reply)
    loop.run_one();
  BOOST_TEST(reply->Status == 200);
  BOOST_TEST(reply->Body == "xy");
}

BOOST_AUTO_TEST_SUITE_END()
