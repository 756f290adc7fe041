#include "EarlyServer.h"
#include "GatewayFixture.h"
#include "RawCaller.h"
#include "ScriptedServer.h"
#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <thread>

using namespace sorrelbay;
namespace asio = boost::asio;
namespace data = boost::unit_test::data;

namespace {

/// A route of each kind: calls and streams that run once, and calls and streams
/// that may be repeated.
const std::string Paths[] = {"/a/1", "/n/1", "/q/1", "/s/1"};
const std::string Framings[] = {"length", "chunks", "connection"};
const std::size_t Sizes[] = {1, 262143, 262145, 300000, 1048576, 4194304};
constexpr std::size_t LongBody = 1048576;
constexpr std::size_t EventBytes = 1000;
/// How long a slow caller reads nothing.
constexpr Duration SlowReaderPause = milliseconds(100);
const auto NoLimit = std::numeric_limits<std::size_t>::max();

/// A body of about that size that is whole as a stream, too.
std::string bodyOf(std::size_t size) {
  std::string out;
  for (int n = 1; out.empty() || out.size() + EventBytes < size; ++n) {
    out += "id: " + std::to_string(n) + "\ndata: ";
    out += std::string(EventBytes, 'b') + "\n\n";
  }
  return out;
}

std::string responseText(const std::string &request, const std::string &framing,
                         const std::string &body) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Call: " + scriptedHeader(request, "X-Call") +
      "\r\n";
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

std::string requestText(const std::string &path) {
  static int lastId = 0;
  return "GET " + path +
         " HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\nX-Key: "
         "key\r\nX-Call: long" +
         std::to_string(++lastId) + "\r\n\r\n";
}

/// Replaces the fixture's upstream by the one at that address.
void useUpstream(GatewayFixture &fixture, const std::string &address) {
  fixture.Store.put(ResourceKind::Replicas, "r1", address + " ready");
  fixture.waitUntilSeen(ResourceKind::Replicas);
}

void readNothing() { std::this_thread::sleep_for(SlowReaderPause); }

/// Sends the response as fast as it is taken, and ends it in order.
void serveWhole(EarlyServer::Socket &it, const std::string &request,
                const std::string &framing, const std::string &body) {
  EarlyServer::send(it, responseText(request, framing, body));
  if (framing == "connection")
    it.shutdown(EarlyServer::Socket::shutdown_send);
}

} // namespace

BOOST_AUTO_TEST_SUITE(long_responses)

// Responses that are longer than what is kept for a caller are cut, whether or
// not their callers read slowly.
BOOST_DATA_TEST_CASE(a_long_response_is_received_whole,
                     data::make(Paths) * data::make(Framings), path, framing) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key", path);
  std::string body;
  EarlyServer upstream([&, &framing = framing](EarlyServer::Socket &it,
                                               const std::string &request) {
    serveWhole(it, request, framing, body);
  });
  useUpstream(fixture, upstream.address());
  for (const std::size_t size : Sizes)
    for (const bool isSlow : {false, true}) {
      body = bodyOf(size);
      const RawReply reply = callRaw(
          fixture.CallerAddress, requestText(path),
          isSlow ? readNothing : [] {});
      BOOST_TEST_CONTEXT("size " << size << " slow " << isSlow) {
        BOOST_TEST(reply.Status == 200);
        BOOST_TEST(reply.IsComplete);
        BOOST_TEST((reply.Body == body));
      }
    }
}

// The upstream crashes while its response waits for a slow caller, who must be
// able to tell that it is not whole.
BOOST_DATA_TEST_CASE(a_reset_in_a_pause_is_seen,
                     data::make({"/a/1", "/n/1", "/q/1"}) *
                         data::make(Framings),
                     path, framing) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key", path);
  EarlyServer upstream([&, &framing = framing](EarlyServer::Socket &it,
                                               const std::string &request) {
    const std::string whole =
        responseText(request, framing, bodyOf(2 * LongBody));
    EarlyServer::send(it, whole.substr(0, whole.size() / 2));
    EarlyServer::reset(it);
  });
  useUpstream(fixture, upstream.address());
  const RawReply reply =
      callRaw(fixture.CallerAddress, requestText(path), readNothing);
  BOOST_TEST((reply.Status != 200 || !reply.IsComplete));
}

// A slow caller leaves. A connection to the upstream that is kept for it makes
// the upstream work for nobody.
BOOST_DATA_TEST_CASE(a_caller_that_leaves_in_a_pause_frees_the_upstream,
                     data::make(Paths), path) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key", path);
  std::atomic<bool> isClosed{false};
  EarlyServer upstream([&](EarlyServer::Socket &it,
                           const std::string &request) {
    try {
      EarlyServer::send(it, responseText(request, "length", bodyOf(LongBody)));
      EarlyServer::drain(it, NoLimit);
    } catch (const boost::system::system_error &) {
      // The connection was closed in the middle of the response.
    }
    isClosed = true;
  });
  useUpstream(fixture, upstream.address());
  {
    asio::io_context loop;
    EarlyServer::Socket caller(loop);
    const std::string &address = fixture.CallerAddress;
    const std::size_t colon = address.rfind(':');
    caller.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    EarlyServer::send(caller, requestText(path));
    char first = 0;
    asio::read(caller, asio::buffer(&first, 1));
    readNothing();
  }
  BOOST_TEST(holdsSoon([&] { return isClosed.load(); }));
  BOOST_TEST(
      holdsSoon([&] { return fixture.metric("sorrelbay_open_calls") == 0; }));
}

// The host stops while a response waits for a slow caller. The call has run,
// and a host that closes the connection loses its answer.
BOOST_DATA_TEST_CASE(a_host_that_stops_in_a_pause_delivers_the_response,
                     data::make(Paths) * data::make(Framings), path, framing) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key", path);
  const std::string body = bodyOf(LongBody);
  EarlyServer upstream([&, &framing = framing](EarlyServer::Socket &it,
                                               const std::string &request) {
    serveWhole(it, request, framing, body);
  });
  useUpstream(fixture, upstream.address());
  std::thread stopping;
  const RawReply reply = callRaw(fixture.CallerAddress, requestText(path), [&] {
    stopping = std::thread([&] {
      fixture.Served->stop();
      fixture.Served.reset();
    });
    readNothing();
  });
  stopping.join();
  BOOST_TEST(reply.Status == 200);
  BOOST_TEST(reply.IsComplete);
  BOOST_TEST((reply.Body == body));
}

BOOST_AUTO_TEST_SUITE_END()
