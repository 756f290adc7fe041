#include "LibHttp/AsyncHttpClient.h"
#include "LibHttp/AsyncHttpServer.h"
#include <array>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

using namespace sorrelbay;
namespace asio = boost::asio;

namespace {

/// A server and a client on one event loop, and the result of one call.
struct Pair {
  asio::io_context Loop;
  std::function<void(std::shared_ptr<HttpExchange>)> Handle;
  HttpLimits Limits;
  AsyncHttpServer Server{
      Loop,
      "127.0.0.1:0",
      {[this] { return Limits; },
       [this](std::shared_ptr<HttpExchange> it) { Handle(std::move(it)); }}};
  AsyncHttpClient Client{Loop};
  HttpReplyHead Head;
  std::string Body;
  bool HasEnded = false;
  std::optional<HttpFailure> Failure;

  HttpCallHooks hooks() {
    HttpCallHooks out;
    out.IsForThisCall = [](const HttpReplyHead &) { return true; };
    out.OnHead = [this](const HttpReplyHead &head) { Head = head; };
    out.OnBody = [this](std::string_view bytes) { Body.append(bytes); };
    out.OnEnd = [this] { HasEnded = true; };
    out.OnFailure = [this](HttpFailure why) { Failure = why; };
    return out;
  }

  /// Runs the event loop until the condition holds; fails after 20 s, which is
  /// enough on a slow machine.
  void runUntil(const std::function<bool()> &holds) {
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds() && std::chrono::steady_clock::now() < limit)
      Loop.run_one_for(std::chrono::milliseconds(50));
    BOOST_REQUIRE(holds());
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(async_http)

// The server has asked for a pause while the connection was being opened, or
// before the next call on it. A call that is sent all the same reaches it.
BOOST_AUTO_TEST_CASE(a_call_that_is_withdrawn_is_not_sent) {
  for (const bool isReused : {false, true}) {
    Pair pair;
    int handled = 0;
    pair.Handle = [&](const std::shared_ptr<HttpExchange> &it) {
      ++handled;
      it->respond(200, {}, "");
    };
    if (isReused) {
      pair.Client.send(pair.Server.address(), {}, pair.hooks());
      pair.runUntil([&] { return pair.HasEnded; });
      BOOST_TEST(pair.Client.hasIdle(pair.Server.address()));
    }
    const int before = handled;
    HttpCallHooks hooks = pair.hooks();
    hooks.OnSending = [] { return false; };
    pair.Client.send(pair.Server.address(), {}, hooks);
    pair.runUntil([&] { return pair.Failure.has_value(); });
    BOOST_TEST((*pair.Failure == HttpFailure::Withdrawn));
    pair.HasEnded = false;
    pair.Client.send(pair.Server.address(), {}, pair.hooks());
    pair.runUntil([&] { return pair.HasEnded; });
    BOOST_TEST(handled == before + 1);
  }
}

// A server's keep-alive timeout can't be read. Taken for no time at all, it
// makes each call open a connection.
BOOST_AUTO_TEST_CASE(a_malformed_keep_alive_timeout_is_ignored) {
  struct Case {
    const char *Field;
    bool IsKept;
    bool IsMalformed;
  };
  const Case cases[] = {
      {"timeout=5", true, false}, {"timeout=5, max=100", true, false},
      {"max=100", true, false},   {"timeout=0", false, false},
      {"timeout=", true, true},   {"timeout=soon", true, true},
      {"timeout=-1", true, true}, {"timeout=99999999999999999999", true, true}};
  for (const Case &it : cases) {
    Pair pair;
    pair.Handle = [&](const std::shared_ptr<HttpExchange> &exchange) {
      exchange->respond(200, {{"Keep-Alive", it.Field}}, "");
    };
    pair.Client.send(pair.Server.address(), {}, pair.hooks());
    pair.runUntil([&] { return pair.HasEnded; });
    BOOST_TEST(pair.Client.hasIdle(pair.Server.address()) == it.IsKept,
               it.Field);
    BOOST_TEST(pair.Client.counts().MalformedKeepAlives ==
               (it.IsMalformed ? 1U : 0U));
  }
}

BOOST_AUTO_TEST_CASE(a_call_is_answered_whole_and_its_connection_kept) {
  Pair pair;
  pair.Handle = [](const std::shared_ptr<HttpExchange> &it) {
    it->respond(200, {{"X-Seen", it->request().Path}},
                it->request().Method + it->request().Body);
  };
  HttpCall call;
  call.Method = "POST";
  call.Path = "/a/b?c=d";
  call.Body = std::string(100000, 'x');
  for (int n = 0; n < 2; ++n) {
    pair.HasEnded = false;
    pair.Body.clear();
    pair.Client.send(pair.Server.address(), call, pair.hooks());
    pair.runUntil([&] { return pair.HasEnded || pair.Failure; });
    BOOST_TEST(pair.HasEnded);
    BOOST_TEST(pair.Head.Status == 200);
    BOOST_TEST(headerValue(pair.Head.Headers, "X-Seen") == "/a/b?c=d");
    BOOST_TEST(pair.Body == "POST" + call.Body);
  }
  BOOST_TEST(pair.Client.counts().Opened == 1U);
  BOOST_TEST(pair.Client.counts().Reused == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_comes_in_parts_and_ends) {
  Pair pair;
  std::shared_ptr<HttpExchange> open;
  pair.Handle = [&](std::shared_ptr<HttpExchange> it) {
    open = std::move(it);
    open->begin(200, {}, std::nullopt);
    open->write("one ");
  };
  pair.Client.send(pair.Server.address(), {}, pair.hooks());
  pair.runUntil([&] { return pair.Body == "one "; });
  open->write("two");
  open->end();
  pair.runUntil([&] { return pair.HasEnded; });
  BOOST_TEST(pair.Body == "one two");
}

// The last bytes of a response have been sent when its handler ends it. Its
// connection would never take another request.
BOOST_AUTO_TEST_CASE(
    a_response_that_ends_after_its_last_bytes_frees_its_connection) {
  Pair pair;
  pair.Handle = [&](const std::shared_ptr<HttpExchange> &it) {
    it->begin(200, {}, 4);
    it->write("part");
    it->onDrained([it] { it->end(); });
  };
  for (int n = 0; n < 2; ++n) {
    pair.HasEnded = false;
    pair.Client.send(pair.Server.address(), {}, pair.hooks());
    pair.runUntil([&] { return pair.HasEnded; });
    pair.runUntil([&] { return pair.Server.openRequests() == 0; });
  }
  BOOST_TEST(pair.Client.counts().Reused == 1U);
}

// A server closes the connection in the middle of a response. The part that was
// received must not pass for the whole response.
BOOST_AUTO_TEST_CASE(an_answer_that_is_cut_is_not_taken_for_whole) {
  for (const std::optional<std::uint64_t> length :
       {std::optional<std::uint64_t>(), std::optional<std::uint64_t>(100)}) {
    Pair pair;
    std::shared_ptr<HttpExchange> open;
    pair.Handle = [&](std::shared_ptr<HttpExchange> it) {
      open = std::move(it);
      open->begin(200, {}, length);
      open->write("part");
    };
    pair.Client.send(pair.Server.address(), {}, pair.hooks());
    pair.runUntil([&] { return pair.Body == "part"; });
    open->abort();
    pair.runUntil([&] { return pair.Failure.has_value(); });
    BOOST_TEST((pair.Failure == HttpFailure::Truncated));
    BOOST_TEST(!pair.HasEnded);
  }
}

// A caller disconnects while its call is at an upstream. Undetected, the
// upstream would go on working on a call that nobody waits for.
BOOST_AUTO_TEST_CASE(a_client_disconnect_is_detected_while_its_call_is_open) {
  Pair pair;
  std::shared_ptr<HttpExchange> open;
  bool isDisconnected = false;
  pair.Handle = [&](std::shared_ptr<HttpExchange> it) {
    open = std::move(it);
    open->onClientDisconnected([&] { isDisconnected = true; });
  };
  const auto handle = pair.Client.send(pair.Server.address(), {}, pair.hooks());
  pair.runUntil([&] { return open != nullptr; });
  handle->cancel();
  pair.runUntil([&] { return isDisconnected; });
  BOOST_TEST(pair.Server.openRequests() == 0U);
}

// A replica sends a second response after the first. Taken for the response to
// the next call, it would reach the wrong caller.
BOOST_AUTO_TEST_CASE(bytes_after_an_answer_end_the_connection) {
  asio::io_context loop;
  asio::ip::tcp::acceptor acceptor(loop,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  int accepted = 0;
  std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
  const std::string answers =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
  std::function<void()> accept = [&] {
    acceptor.async_accept(
        [&](boost::system::error_code ec, asio::ip::tcp::socket socket) {
          if (ec)
            return;
          ++accepted;
          sockets.push_back(
              std::make_shared<asio::ip::tcp::socket>(std::move(socket)));
          asio::write(*sockets.back(), asio::buffer(answers));
          accept();
        });
  };
  accept();
  AsyncHttpClient client(loop);
  for (int n = 0; n < 2; ++n) {
    std::string body;
    bool hasEnded = false;
    HttpCallHooks hooks;
    hooks.IsForThisCall = [](const HttpReplyHead &) { return true; };
    hooks.OnHead = [](const HttpReplyHead &) {};
    hooks.OnBody = [&](std::string_view bytes) { body.append(bytes); };
    hooks.OnEnd = [&] { hasEnded = true; };
    hooks.OnFailure = [](HttpFailure) {};
    client.send(address, {}, hooks);
    for (int step = 0; step < 400 && !hasEnded; ++step)
      loop.run_one_for(std::chrono::milliseconds(50));
    BOOST_TEST(hasEnded);
    BOOST_TEST(body == "ok");
  }
  BOOST_TEST(accepted == 2);
}

BOOST_AUTO_TEST_CASE(too_large_requests_are_refused_with_their_status) {
  Pair pair;
  pair.Limits.MaxBodyBytes = 10;
  pair.Limits.MaxHeaderBytes = 2000;
  bool isHandled = false;
  pair.Handle = [&](const std::shared_ptr<HttpExchange> &) {
    isHandled = true;
  };
  HttpCall large;
  large.Method = "POST";
  large.Body = "more than ten bytes";
  HttpCall longHeader;
  longHeader.Headers = {{"X-Long", std::string(4000, 'h')}};
  const std::pair<HttpCall, int> cases[] = {{large, 413}, {longHeader, 431}};
  for (const auto &[call, status] : cases) {
    pair.Head = {};
    pair.Client.send(pair.Server.address(), call, pair.hooks());
    pair.runUntil([&] { return pair.Head.Status != 0; });
    BOOST_TEST(pair.Head.Status == status);
  }
  BOOST_TEST(!isHandled);
}

// The event loop is busy while a request arrives on an idle connection and its
// idle timeout ends. The connection was closed without an answer.
BOOST_AUTO_TEST_CASE(
    a_request_before_the_idle_timeout_of_a_busy_server_is_answered) {
  Pair pair;
  pair.Limits.IdleTimeout = milliseconds(100);
  pair.Handle = [](const std::shared_ptr<HttpExchange> &it) {
    it->respond(200, {}, "");
  };
  const std::string address = pair.Server.address();
  const std::size_t colon = address.rfind(':');
  asio::ip::tcp::socket client(pair.Loop);
  client.connect(
      {asio::ip::make_address(address.substr(0, colon)),
       static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  const auto answer = [&] {
    std::string text;
    bool isClosed = false;
    client.non_blocking(true);
    pair.runUntil([&] {
      std::array<char, 1000> buf{};
      boost::system::error_code ec;
      text.append(buf.data(), client.read_some(asio::buffer(buf), ec));
      isClosed = isClosed || (ec && ec != asio::error::would_block);
      return isClosed || !text.empty();
    });
    return text.substr(0, text.find('\r'));
  };
  asio::write(client, asio::buffer(request));
  BOOST_TEST(answer() == "HTTP/1.1 200 OK");
  pair.Loop.poll();
  asio::write(client, asio::buffer(request));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(answer() == "HTTP/1.1 200 OK");
}

// A server closes idle connections as it may. Counted as input that belongs to
// no call, each would look like a protocol error of the server.
BOOST_AUTO_TEST_CASE(a_close_of_an_idle_connection_is_not_unexpected_input) {
  Pair pair;
  pair.Limits.IdleTimeout = milliseconds(50);
  pair.Handle = [](const std::shared_ptr<HttpExchange> &it) {
    it->respond(200, {}, "");
  };
  pair.Client.send(pair.Server.address(), {}, pair.hooks());
  pair.runUntil([&] { return pair.HasEnded; });
  pair.runUntil(
      [&] { return pair.Client.connections(pair.Server.address()) == 0; });
  BOOST_TEST(pair.Client.counts().UnexpectedInput == 0U);
}

// A client hides a request in the body of another one, whose encoding the
// server does not know. It would run with what a proxy in between has not seen.
BOOST_AUTO_TEST_CASE(a_request_in_a_body_of_unknown_encoding_is_not_handled) {
  for (const std::string encoding :
       {"identity", "gzip", "chunked, identity", "chunked, chunked",
        "gzip, chunked", "chunked\r\nTransfer-Encoding: identity",
        "identity\r\nTransfer-Encoding: chunked", "x", ""}) {
    Pair pair;
    int handled = 0;
    pair.Handle = [&](const std::shared_ptr<HttpExchange> &it) {
      ++handled;
      it->respond(200, {}, "");
    };
    const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 0\r\n\r\n";
    asio::ip::tcp::socket socket(pair.Loop);
    const std::string address = pair.Server.address();
    socket.connect({asio::ip::address_v4::loopback(),
                    static_cast<unsigned short>(
                        std::stoi(address.substr(address.find(':') + 1)))});
    std::string request = "POST /outer HTTP/1.1\r\nHost: h\r\n"
                          "Transfer-Encoding: ";
    request += encoding;
    request += "\r\n\r\n";
    request += inner;
    asio::write(socket, asio::buffer(request));
    std::string reply;
    bool isClosed = false;
    asio::async_read(
        socket, asio::dynamic_buffer(reply),
        [&](boost::system::error_code, std::size_t) { isClosed = true; });
    pair.runUntil([&] { return isClosed; });
    BOOST_TEST(handled == 0, encoding);
    BOOST_TEST(reply.find(" 200 ") == std::string::npos, encoding);
  }
}

BOOST_AUTO_TEST_SUITE_END()
