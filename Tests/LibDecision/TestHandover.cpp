#include "LibDecision/Handover.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

Handover example() {
  return {RequestId("r1"),
          TeamId("crew"),
          RouteId("chat"),
          VersionId("v2"),
          "{\"messages\":[]}",
          {"an", "\xc3", "\xb1os"},
          3,
          UpstreamId("e"),
          fromEpochMilliseconds(1234),
          "00-0af7-b7ad-01"};
}

} // namespace

BOOST_AUTO_TEST_SUITE(handover)

BOOST_AUTO_TEST_CASE(a_handover_is_parsed_as_it_was_encoded) {
  BOOST_CHECK(parseHandover(encodeHandover(example())) == example());
}

// A peer of another version, or a program that isn't a peer, sends a malformed
// message. The parser must report it rather than crash or accept it.
BOOST_AUTO_TEST_CASE(a_malformed_handover_is_refused) {
  const std::vector<std::uint8_t> whole = encodeHandover(example());
  for (std::size_t n = 0; n < whole.size(); ++n)
    BOOST_CHECK_THROW(parseHandover({whole.begin(), whole.begin() + n}),
                      HandoverRefused);
  Handover withoutAttempt = example();
  withoutAttempt.LastAttempt = 0;
  BOOST_CHECK_THROW(parseHandover(encodeHandover(withoutAttempt)),
                    HandoverRefused);
}

// When a whole zone is reclaimed, its entry hosts leave together: a peer in the
// same zone could not continue the answer.
BOOST_AUTO_TEST_CASE(peers_in_other_zones_come_first_and_leaving_ones_never) {
  const std::vector<HandoverPeer> peers = {
      {HostId("a"), ZoneId("z1"), "127.0.0.1:1", false},
      {HostId("b"), ZoneId("z2"), "127.0.0.2:1", false},
      {HostId("c"), ZoneId("z3"), "127.0.0.3:1", true},
      {HostId("d"), ZoneId("z3"), "127.0.0.4:1", false}};
  std::size_t firstIsB = 0;
  for (int i = 0; i < 100; ++i) {
    const auto order =
        orderPeers(RequestId(std::to_string(i)), ZoneId("z1"), peers);
    BOOST_REQUIRE(order.size() == 3);
    BOOST_CHECK(order[2].Host == HostId("a"));
    firstIsB += order[0].Host == HostId("b") ? 1 : 0;
  }
  BOOST_TEST(firstIsB > 25U);
  BOOST_TEST(firstIsB < 75U);
}

BOOST_AUTO_TEST_SUITE_END()
