#include "LibHttp/AsyncHttpServer.h"
#include "platform/JsonCall.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()
