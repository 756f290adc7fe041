#include "EarlyServer.h"
#include "GatewayFixture.h"
#include "ScriptedServer.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;
using namespace std::string_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr Duration KeyRemoval = seconds(60);
constexpr Duration Grace = seconds(2);
/// So many retries for each call that the budget allows all of them.
constexpr double RetryShare = 10;
constexpr int BadGateway = 502;
constexpr int MaxRelayTries = 40;
/// More than the buffers of both sockets hold.
constexpr std::size_t LongRequest = 4UL * 1024 * 1024;

/// A route of each kind: calls and streams that run once, and calls and streams
/// that may be repeated.
const std::string Paths[] = {"/a/1", "/n/1", "/q/1", "/s/1"};

/// Status lines and fields of responses that are none.
const std::string MalformedHeads[] = {
    "HTTP/1.1 000 Fine\r\n",
    "HTTP/1.1 099 Fine\r\n",
    "HTTP/1.1 600 Fine\r\n",
    "HTTP/1.1 999 Fine\r\n",
    "HTTP/1.1 101 Switching\r\n",
    "HTTP/1.1 200 OK\r\nX A: 1\r\n",
    "HTTP/1.1 200 OK\r\nX\0A: 1\r\n"s,
    "HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 1\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
};

/// The status that the caller gets; 0 if its response is cut off.
int statusAt(GatewayFixture &fixture, const std::string &address,
             const CallerRequest &request) {
  try {
    return fixture.callAt(address, request).Status;
  } catch (const HttpOutcomeUnknown &) {
    return 0;
  }
}

/// Replaces the fixture's upstream by the one at that address.
void useUpstream(GatewayFixture &fixture, const std::string &address) {
  fixture.Store.put(ResourceKind::Replicas, "r1", address + " ready");
  fixture.waitUntilSeen(ResourceKind::Replicas);
}

/// A host that reaches the upstreams through the first host only.
std::unique_ptr<GatewayHost> addRelayingHost(GatewayFixture &fixture) {
  auto out = fixture.addHost("cut");
  out->Path.set(PathState::Resets);
  int n = 0;
  while (fixture.callAt(out->CallerAddress, "/a/1").Status != 200) {
    BOOST_REQUIRE(++n < MaxRelayTries);
    std::this_thread::sleep_for(milliseconds(50));
  }
  return out;
}

/// Half of a response that ends with its connection, and a reset. The whole
/// request is never read.
void respondEarly(EarlyServer::Socket &it, const std::string &head) {
  EarlyServer::send(
      it, "HTTP/1.1 200 OK\r\nX-Call: " + scriptedHeader(head, "X-Call") +
              "\r\n\r\nid: 1\ndata: half\n\n");
  EarlyServer::drain(it, LongRequest / 8);
  EarlyServer::reset(it);
}

} // namespace

BOOST_AUTO_TEST_SUITE(broken_responses)

// An upstream in trouble sends something that is no response in HTTP/1.1, and
// the caller gets its status or its fields.
BOOST_DATA_TEST_CASE(a_malformed_head_is_never_an_answer,
                     data::make(Paths) * data::make(MalformedHeads), path,
                     head) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  fixture.callUntil(200, "key", path);
  ScriptedServer upstream([head = head](const std::string &request) {
    return ScriptedResponse{
        {head + "X-Call: " + scriptedHeader(request, "X-Call") + "\r\n\r\nok"}};
  });
  useUpstream(fixture, upstream.address());
  BOOST_TEST(fixture.call("key", path).Status == BadGateway);
}

// A replica answers a long upload before it has read it, sends a part of a body
// that ends with its connection, and resets it. The caller gets the part as the
// whole.
BOOST_DATA_TEST_CASE(an_early_response_that_is_reset_is_not_whole,
                     data::make(Paths), path) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  fixture.callUntil(200, "key", path);
  EarlyServer upstream(respondEarly);
  CallerRequest request;
  request.Path = path;
  request.Body.assign(LongRequest, 'u');
  useUpstream(fixture, upstream.address());
  const int status = statusAt(fixture, fixture.CallerAddress, request);
  BOOST_TEST(status / 100 != 2);
}

// The same where another host stands between the caller's and the replica.
BOOST_DATA_TEST_CASE(a_relayed_early_response_that_is_reset_is_not_whole,
                     data::make(Paths), path) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  const auto relaying = addRelayingHost(fixture);
  std::atomic<int> sends{0};
  EarlyServer upstream(
      [&](EarlyServer::Socket &it, const std::string &requestHead) {
        ++sends;
        respondEarly(it, requestHead);
      });
  CallerRequest request;
  request.Path = path;
  request.Body.assign(LongRequest, 'u');
  useUpstream(fixture, upstream.address());
  for (int n = 0; n < MaxRelayTries && sends == 0; ++n) {
    const int status = statusAt(fixture, relaying->CallerAddress, request);
    BOOST_TEST((sends == 0 || status / 100 != 2));
  }
  BOOST_TEST(sends > 0);
}

BOOST_AUTO_TEST_SUITE_END()
