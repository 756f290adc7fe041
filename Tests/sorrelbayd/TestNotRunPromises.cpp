#include "GatewayFixture.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

/// So many retries for each call that the budget allows all of them.
constexpr double RetryShare = 10;
constexpr Duration KeyRemoval = seconds(60);
constexpr Duration Grace = seconds(2);
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
/// More than is kept of a response before it is passed on.
constexpr std::size_t LongBody = 300000;
constexpr int MaxRelayTries = 40;

/// The statuses that tell a caller that its call has not run and will not run.
const int Promises[] = {408, 421, 429, 503};
/// A route of each kind: calls and streams that run once, and calls and streams
/// that may be repeated.
const std::string Paths[] = {"/a/1", "/n/1", "/q/1", "/s/1"};

HttpHeader idOf(const HttpExchange &it) {
  return {"X-Call", headerValue(it.request().Headers, "X-Call")};
}

GatewayFixture::UpstreamHandler respondWith(int status,
                                            const std::string &body = "") {
  return [=](const std::shared_ptr<HttpExchange> &it) {
    it->respond(status, {idOf(*it)}, body);
  };
}

/// A host that reaches the upstream through the first host only.
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

} // namespace

BOOST_AUTO_TEST_SUITE(not_run_promises)

// An upstream runs a booking and fails it with a status that promises that it
// did not run. A caller that gets the status books again.
BOOST_DATA_TEST_CASE(a_failed_call_is_not_answered_as_not_run,
                     boost::unit_test::data::make(Promises) *
                         boost::unit_test::data::make(Paths),
                     status, path) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  fixture.callUntil(200, "key", path);
  for (const std::string &body : {std::string(), std::string(LongBody, 'x')}) {
    fixture.Upstream = respondWith(status, body);
    const int before = fixture.UpstreamCalls;
    const HttpReply reply = fixture.call("key", path);
    BOOST_TEST(fixture.UpstreamCalls > before);
    BOOST_TEST(reply.Status == BadGateway);
    BOOST_TEST(reply.Body.empty());
  }
}

// The same where another host stands between the caller's and the upstream.
BOOST_DATA_TEST_CASE(a_failed_call_is_not_relayed_as_not_run,
                     boost::unit_test::data::make(Promises), status) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  const auto relaying = addRelayingHost(fixture);
  for (const std::string &path : Paths) {
    fixture.Upstream = respondWith(status);
    const int before = fixture.UpstreamCalls;
    BOOST_TEST(fixture.callAt(relaying->CallerAddress, path).Status ==
               BadGateway);
    BOOST_TEST(fixture.UpstreamCalls > before);
  }
}

// A call is sent to an upstream that fails, and then relayed to a host whose
// upstream rejects it. The rejection is true of the second send only.
BOOST_AUTO_TEST_CASE(a_relays_rejection_does_not_cover_an_earlier_send) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  for (const char *id : {"r2", "r3", "r4"})
    fixture.addReplica(id);
  const auto cut = addRelayingHost(fixture);
  std::atomic<int> rejected{0};
  for (int n = 0; n < MaxRelayTries && rejected == 0; ++n) {
    cut->Path.set(PathState::Open);
    std::atomic<int> sends{0};
    fixture.Upstream = [&](const std::shared_ptr<HttpExchange> &it) {
      if (sends++ > 0) {
        ++rejected;
        return it->respond(Unavailable, {idOf(*it), {"X-Not-Run", "1"}}, "");
      }
      cut->Path.set(PathState::Resets);
      it->abort();
    };
    const int status = fixture.callAt(cut->CallerAddress, "/q/1").Status;
    BOOST_TEST((sends == 0 || status == BadGateway));
  }
  BOOST_TEST(rejected > 0);
}

// A response states that a call did not run, and does not name it. It may be
// input that a faulty upstream has added, and the call of this caller runs.
BOOST_DATA_TEST_CASE(a_rejection_that_names_no_call_proves_nothing,
                     boost::unit_test::data::make(Promises) *
                         boost::unit_test::data::make(Paths),
                     status, path) {
  GatewayFixture fixture(KeyRemoval, Grace, RetryShare);
  fixture.callUntil(200, "key", path);
  fixture.Upstream = [status =
                          status](const std::shared_ptr<HttpExchange> &it) {
    it->respond(status, {{"X-Not-Run", "1"}, {"Connection", "close"}}, "");
  };
  // The first call uses an open connection, the second a new one.
  for (int n = 0; n < 2; ++n)
    BOOST_TEST(fixture.call("key", path).Status == BadGateway);
}

// Failures that promise nothing stay the upstream's own.
BOOST_AUTO_TEST_CASE(other_failures_are_passed_on) {
  GatewayFixture fixture;
  fixture.callUntil(200, "key");
  for (const int status : {301, 400, 404, 409, 500, 501, 504, 599}) {
    fixture.Upstream = respondWith(status, "because");
    const HttpReply reply = fixture.call("key");
    BOOST_TEST(reply.Status == status);
    BOOST_TEST(reply.Body == "because");
  }
}

BOOST_AUTO_TEST_SUITE_END()
