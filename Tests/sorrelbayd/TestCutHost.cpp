#include "GatewayFixture.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

constexpr int Attempts = 12;
constexpr int Pairs = 10;
/// The upstream's time for a response.
constexpr Duration WorkTime = milliseconds(30);

const PathState CutStates[] = {PathState::Hangs, PathState::Resets,
                               PathState::RefusesNew};

/// Calls twice at the same time, so that one open connection does not suffice.
/// Returns whether both calls are served.
bool isPairServed(GatewayFixture &fixture, const std::string &address) {
  bool isOtherServed = false;
  std::thread other(
      [&] { isOtherServed = fixture.callAt(address, "/s/1").Status == 200; });
  const bool isServed = fixture.callAt(address, "/a/1").Status == 200;
  other.join();
  return isServed && isOtherServed;
}

/// Calls until both calls of a pair are served; returns whether they were.
bool isServedSoon(GatewayFixture &fixture, const std::string &address) {
  for (int n = 0; n < Attempts; ++n) {
    if (isPairServed(fixture, address))
      return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

/// Calls until a pair is not served; returns how many were.
int servedPairs(GatewayFixture &fixture, const std::string &address) {
  int n = 0;
  while (n < Pairs && isPairServed(fixture, address))
    ++n;
  return n;
}

/// Responds after WorkTime.
void respondLater(const std::shared_ptr<HttpExchange> &it,
                  boost::asio::io_context &loop) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(loop, WorkTime);
  timer->async_wait([it, timer](boost::system::error_code) {
    it->respond(200, {{"X-Call", headerValue(it->request().Headers, "X-Call")}},
                "");
  });
}

} // namespace

namespace boost::test_tools::tt_detail {
template <> struct print_log_value<PathState> {
  void operator()(std::ostream &out, PathState state) {
    out << static_cast<int>(state);
  }
};
} // namespace boost::test_tools::tt_detail

BOOST_AUTO_TEST_SUITE(cut_host)

// A host loses its paths to all upstreams while callers, the store and other
// hosts reach it, and refuses its callers although another host could serve
// them. The end of the cut must lose no calls either.
BOOST_DATA_TEST_CASE(callers_of_a_host_cut_from_all_upstreams_are_served,
                     boost::unit_test::data::make(CutStates), state) {
  GatewayFixture fixture;
  fixture.Upstream = [&](const std::shared_ptr<HttpExchange> &it) {
    respondLater(it, fixture.UpstreamLoop);
  };
  const auto cut = fixture.addHost("cut");
  cut->Path.set(state);
  BOOST_REQUIRE(isServedSoon(fixture, cut->CallerAddress));
  BOOST_TEST(servedPairs(fixture, cut->CallerAddress) == Pairs);
  cut->Path.set(PathState::Open);
  BOOST_TEST(servedPairs(fixture, cut->CallerAddress) == Pairs);
}

BOOST_AUTO_TEST_SUITE_END()
