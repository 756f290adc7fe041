#include "EndlessResponse.h"
#include "LibHttp/AsyncHttpClient.h"
#include "LibHttp/AsyncHttpServer.h"
#include "LibHttp/EventSplitter.h"
#include "LibHttp/HttpClient.h"
#include <boost/asio.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;

namespace {

/// What a client may have read of a response without end: its own buffer, and
/// those of the sockets.
constexpr std::size_t MostBytes = 32UL * 1024 * 1024;
const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n";
const std::string Late = "HTTP/1.1 200 OK\r\nX-Call: other\r\n"
                         "Content-Length: 1\r\n\r\nx";

const std::vector<EndlessResponse> WithoutBody = {
    {"no response", "", repeated("a")},
    {"zero bytes", "", repeated(std::string(1, '\0'))},
    {"a line", "HTTP/1.1 200 ", repeated("a")},
    {"empty lines", "", repeated("\r\n")},
    {"a field", "HTTP/1.1 200 OK\r\nX-A: ", repeated("a")},
    {"fields", "HTTP/1.1 200 OK\r\n", repeated("X-A: a\r\n")},
    {"informational responses", "", repeated("HTTP/1.1 100 Continue\r\n\r\n")},
    {"late responses", "", repeated(Late)},
    {"a late response's body", "HTTP/1.1 200 OK\r\nX-Call: other\r\n\r\n",
     repeated("a")},
    {"an extension of a chunk", Chunked + "5;", repeated("a")},
    {"the size of a chunk", Chunked, repeated("0")},
    {"a field after the last chunk", Chunked + "0\r\nX-A: ", repeated("a")},
    {"fields after the last chunk", Chunked + "0\r\n", repeated("X-A: a\r\n")},
};

} // namespace

BOOST_AUTO_TEST_SUITE(endless_bytes)

// A faulty server sends bytes that are no response until its client closes the
// connection. A client that waits for their end keeps them all in memory.
BOOST_DATA_TEST_CASE(a_response_without_an_end_fails, data::make(WithoutBody),
                     response) {
  ScriptedServer server(endlessly(response));
  asio::io_context loop;
  AsyncHttpClient client(loop);
  bool hasEnded = false;
  std::optional<HttpFailure> failure;
  HttpCallHooks hooks;
  hooks.IsForThisCall = [](const HttpReplyHead &head) {
    return headerValue(head.Headers, "X-Call") != "other";
  };
  hooks.OnHead = [](const HttpReplyHead &) {};
  hooks.OnBody = [](std::string_view) {};
  hooks.OnEnd = [&] { hasEnded = true; };
  hooks.OnFailure = [&](HttpFailure why) { failure = why; };
  client.send(server.address(), {}, hooks);
  while (!hasEnded && !failure)
    loop.run_one();
  BOOST_TEST(failure.has_value());
  while (server.closedEndless() == 0 && server.mostEndlessBytes() < MostBytes)
    loop.run_for(std::chrono::milliseconds(5));
  BOOST_TEST(server.mostEndlessBytes() < MostBytes);
}

// The same for a client that waits for the whole response, and takes the first
// one that is whole.
BOOST_DATA_TEST_CASE(a_whole_response_without_an_end_fails,
                     data::make(WithoutBody), response) {
  if (response.Rest.find(Late) == 0)
    return;
  ScriptedServer server(endlessly(response));
  HttpCall call;
  call.ReadTimeout = seconds(10);
  BOOST_CHECK_THROW(sendOnce(server.address(), call), HttpOutcomeUnknown);
}

BOOST_AUTO_TEST_CASE(a_whole_response_has_a_largest_size) {
  ScriptedServer server(
      endlessly({"a body", "HTTP/1.1 200 OK\r\n\r\n", repeated("a")}));
  HttpCall call;
  call.ReadTimeout = seconds(10);
  BOOST_CHECK_THROW(sendOnce(server.address(), call), HttpOutcomeUnknown);
  BOOST_TEST(server.closedEndless() <= 1);
}

// A client's request may have no end either.
BOOST_AUTO_TEST_CASE(a_chunk_without_an_end_is_refused) {
  for (const char *begin : {"5;", "0\r\nX-A: ", ""}) {
    asio::io_context loop;
    AsyncHttpServer server(
        loop, "127.0.0.1:0",
        {[] { return HttpLimits{}; },
         [](const std::shared_ptr<HttpExchange> &) {
           BOOST_TEST(false, "a request without an end was handled");
         }});
    const auto worker = asio::executor_work_guard(loop.get_executor());
    std::thread thread([&loop] { loop.run(); });
    asio::io_context callerLoop;
    asio::ip::tcp::socket socket(callerLoop);
    const std::string address = server.address();
    socket.connect({asio::ip::address_v4::loopback(),
                    static_cast<unsigned short>(
                        std::stoi(address.substr(address.find(':') + 1)))});
    boost::system::error_code ec;
    asio::write(socket,
                asio::buffer("POST / HTTP/1.1\r\nHost: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n" +
                             std::string(begin)),
                ec);
    const std::string rest = repeated("0");
    std::size_t sent = 0;
    while (!ec && sent < 2 * MostBytes)
      sent += asio::write(socket, asio::buffer(rest), ec);
    BOOST_TEST(sent < MostBytes);
    loop.stop();
    thread.join();
  }
}

// A stream's event has no end. Only a part of it is kept.
BOOST_AUTO_TEST_CASE(an_event_without_an_end_is_dropped) {
  EventSplitter splitter;
  BOOST_TEST(splitter.feed("data: a\n\ndata: ") == "data: a\n\n");
  const std::string part(64UL * 1024, 'a');
  for (std::size_t n = 0; n < 2 * MaxEventBytes; n += part.size())
    BOOST_TEST(splitter.feed(part).empty());
  BOOST_TEST(splitter.isEventTooLarge());
  BOOST_TEST(splitter.feed("\n\ndata: b\n\n").empty());
  BOOST_TEST(splitter.takePartialEvent().size() <= MaxEventBytes + part.size());
  BOOST_TEST(!splitter.isEventTooLarge());
  BOOST_TEST(splitter.feed("data: c\n\n") == "data: c\n\n");
}

BOOST_AUTO_TEST_SUITE_END()
