#include "EarlyServer.h"
#include "LibHttp/AsyncHttpClient.h"
#include <boost/asio.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <limits>
#include <optional>

using namespace sorrelbay;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;

namespace {

/// How many parts of a body are read before the receiver pauses.
constexpr int PartsBeforePause = 3;
const std::string Half = "half of the body";
const std::size_t Sizes[] = {1,      16384,  65536,   262143,
                             262144, 262145, 1048576, 8388608};
const std::string Framings[] = {"length", "chunks", "connection"};

std::string responseText(const std::string &framing, const std::string &body) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  if (framing == "length")
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  if (framing == "connection")
    return head + "\r\n" + body;
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
  return head + "Transfer-Encoding: chunked\r\n\r\n" + size + body +
         "\r\n0\r\n\r\n";
}

/// A call whose receiver pauses after some parts of the body, or after its
/// head.
struct PausingCall {
  asio::io_context Loop;
  std::optional<AsyncHttpClient> Client{Loop};
  std::shared_ptr<HttpCallHandle> Handle;
  std::string Address;
  std::string Body;
  int Parts = 0;
  int Pauses = 0;
  bool IsPaused = false;
  bool IsWhole = false;
  std::optional<HttpFailure> Failure;

  explicit PausingCall(std::string address) : Address(std::move(address)) {
    HttpCallHooks hooks;
    hooks.IsForThisCall = [](const HttpReplyHead &) { return true; };
    hooks.OnHead = [this](const HttpReplyHead &) { pause(); };
    hooks.OnBody = [this](std::string_view bytes) {
      Body.append(bytes);
      if (++Parts % PartsBeforePause == 0)
        pause();
    };
    hooks.OnEnd = [this] { IsWhole = true; };
    hooks.OnFailure = [this](HttpFailure why) { Failure = why; };
    Handle = Client->send(Address, {}, hooks);
  }
  void pause() {
    IsPaused = true;
    ++Pauses;
    Handle->pause();
  }
  void runUntilPaused() {
    while (!IsPaused)
      Loop.run_one();
    // Nothing is left to do for the connection.
    Loop.poll();
    Loop.restart();
  }
  void resume() {
    IsPaused = false;
    Handle->resume();
  }
  /// Runs until the call has ended, or nothing is left that could end it.
  void runToEnd() {
    while (!IsWhole && !Failure) {
      if (IsPaused) {
        Loop.poll();
        Loop.restart();
        resume();
      }
      const bool hasEnded = IsWhole || Failure;
      if (!hasEnded && Loop.run_one() == 0)
        return;
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(paused_responses)

// The receiver of a response is slower than its server and pauses. A connection
// that is dropped then loses the rest.
BOOST_DATA_TEST_CASE(a_response_with_pauses_is_received_whole,
                     data::make(Sizes) * data::make(Framings), size, framing) {
  const std::string body(size, 'b');
  EarlyServer server(
      [&, &framing = framing](EarlyServer::Socket &it, const std::string &) {
        EarlyServer::send(it, responseText(framing, body));
        if (framing == "connection")
          it.shutdown(EarlyServer::Socket::shutdown_send);
        EarlyServer::drain(it, std::numeric_limits<std::size_t>::max());
      });
  PausingCall call(server.address());
  call.runToEnd();
  BOOST_TEST(call.Pauses > 0);
  BOOST_TEST(call.IsWhole);
  BOOST_TEST((call.Body == body));
  BOOST_TEST(call.Client->hasIdle(server.address()) ==
             (framing != "connection"));
}

// The server resets the connection in the pause. What was received must not
// pass for the whole.
BOOST_DATA_TEST_CASE(a_reset_in_a_pause_fails, data::make(Framings), framing) {
  std::promise<void> isPaused;
  std::promise<void> isReset;
  EarlyServer server(
      [&, &framing = framing](EarlyServer::Socket &it, const std::string &) {
        const std::string whole = responseText(framing, Half + Half);
        EarlyServer::send(it, whole.substr(0, whole.find(Half) + Half.size()));
        isPaused.get_future().wait();
        EarlyServer::reset(it);
        isReset.set_value();
      });
  PausingCall call(server.address());
  call.runUntilPaused();
  isPaused.set_value();
  isReset.get_future().wait();
  call.runToEnd();
  BOOST_TEST(!call.IsWhole);
}

// The caller leaves in the pause, or the client ends. A connection that is kept
// lets the server go on sending to nobody.
BOOST_DATA_TEST_CASE(a_call_that_ends_in_a_pause_closes_its_connection,
                     data::make({"cancelled", "client ends"}), how) {
  std::promise<bool> isClosed;
  EarlyServer server([&](EarlyServer::Socket &it, const std::string &) {
    EarlyServer::send(it, responseText("length", Half).substr(0, 60));
    EarlyServer::drain(it, std::numeric_limits<std::size_t>::max());
    isClosed.set_value(true);
  });
  PausingCall call(server.address());
  call.runUntilPaused();
  BOOST_TEST(call.Client->connections(server.address()) == 1);
  const bool isCancelled = how == std::string("cancelled");
  isCancelled ? call.Handle->cancel() : call.Client.reset();
  call.Loop.poll();
  BOOST_TEST(isClosed.get_future().get());
  if (isCancelled)
    BOOST_TEST(call.Client->connections(server.address()) == 0);
  call.Handle->resume();
  BOOST_TEST(!call.IsWhole);
  BOOST_TEST(!call.Failure.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
