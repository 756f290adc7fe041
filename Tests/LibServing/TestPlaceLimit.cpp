#include "LibServing/PlaceLimit.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const Instant Begin{seconds(1000)};
constexpr Duration Took = milliseconds(20);

struct ShareCase {
  const char *Name;
  PlaceShare Share;
  int Limit;
};

std::ostream &operator<<(std::ostream &out, const ShareCase &it) {
  return out << it.Name;
}

const ShareCase Shares[] = {
    {"more hosts than slots", {24, 68, 0, 0}, 1},
    {"no slots", {0, 68, 0, 0}, 1},
    {"no calls, few hosts", {24, 6, 0, 0}, 4},
    {"half of the calls", {24, 68, 200, 400}, 11},
    {"late reports show too few calls", {24, 68, 400, 0}, 23},
};

PlaceLimit limitFor(const PlaceShare &share) {
  PlaceLimit limit;
  for (int n = 0; n < 100; ++n)
    limit.updateShare(share);
  return limit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(place_limit)

// A host that gets no place at all could never serve a call, and one that takes
// all slots for its own would have others rejected.
BOOST_DATA_TEST_CASE(the_limit_begins_at_the_hosts_part,
                     boost::unit_test::data::make(Shares), it) {
  PlaceLimit limit;
  limit.updateShare({it.Share.Slots, it.Share.Hosts, 0, 0});
  const PlaceLimit settled = limitFor(it.Share);
  BOOST_TEST(limit.limit() >= 1);
  // The first update sets the limit; later ones only move what it recovers to.
  PlaceLimit recovered = settled;
  for (int n = 0; n < 100 && recovered.limit() < it.Limit; ++n)
    recovered.noteResponse(Took, recovered.limit());
  BOOST_TEST(recovered.limit() == it.Limit);
}

// Without a reduction all hosts would go on sending what full upstreams reject;
// without a floor a host could not learn that they have room again.
BOOST_AUTO_TEST_CASE(rejections_lower_the_limit_but_never_below_one) {
  PlaceLimit limit = limitFor({24, 2, 0, 0});
  int before = limit.limit();
  BOOST_TEST(before == 12);
  Instant now = Begin;
  for (int n = 0; n < 20; ++n) {
    now += Took;
    BOOST_TEST(limit.noteRejected(now - microseconds(1), now));
    BOOST_TEST(limit.limit() <= before);
    BOOST_TEST(limit.limit() >= 1);
    before = limit.limit();
  }
  BOOST_TEST(limit.limit() == 1);
}

// The calls of one burst are rejected together. If each of them lowered the
// limit, one burst would take all of this host's places.
BOOST_AUTO_TEST_CASE(a_burst_of_rejections_lowers_the_limit_once) {
  PlaceLimit limit = limitFor({24, 2, 0, 0});
  BOOST_TEST(limit.noteRejected(Begin, Begin + Took));
  const int lowered = limit.limit();
  BOOST_TEST(lowered < 12);
  for (int n = 0; n < 10; ++n)
    BOOST_TEST(!limit.noteRejected(Begin, Begin + Took));
  BOOST_TEST(limit.limit() == lowered);
}

BOOST_AUTO_TEST_CASE(responses_raise_a_limit_that_is_used_up) {
  PlaceLimit limit = limitFor({24, 68, 0, 0});
  BOOST_TEST(limit.limit() == 1);
  limit.noteResponse(Took, 0);
  BOOST_TEST(limit.limit() == 1);
  limit.noteResponse(Took, 1);
  BOOST_TEST(limit.limit() == 2);
  for (int n = 0; n < 1000; ++n)
    limit.noteResponse(Took, limit.limit());
  BOOST_TEST(limit.limit() == 24);
  BOOST_TEST((limit.startInterval() == limit.responseTime() / 24));
  BOOST_TEST((limit.longestResponseTime() < Took + milliseconds(1)));
}

// An upstream that keeps calls waiting responds later than usual. If the limit
// rose all the same, the calls would wait there, where no order applies.
BOOST_AUTO_TEST_CASE(responses_slower_than_usual_do_not_raise_the_limit) {
  PlaceLimit limit = limitFor({24, 68, 0, 0});
  for (int n = 0; n < 20; ++n)
    limit.noteResponse(Took, 0);
  BOOST_TEST(limit.limit() == 1);
  limit.noteResponse(3 * Took, 1);
  BOOST_TEST(limit.limit() == 1);
  limit.noteResponse(Took, 1);
  BOOST_TEST(limit.limit() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
