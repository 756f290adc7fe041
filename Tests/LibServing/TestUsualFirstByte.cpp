#include "LibServing/UsualFirstByte.h"
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace sorrelbay;

namespace {

const ServiceId Service("model");
const RouteId Chat("chat");
const RouteId Quote("quote");

} // namespace

BOOST_AUTO_TEST_SUITE(usual_first_byte)

// A version answers several times slower than the one before, and still within
// the latency target. By the target alone it would be as good.
BOOST_AUTO_TEST_CASE(a_call_is_slow_by_what_is_usual_on_its_route) {
  UsualFirstByte usual;
  for (int n = 0; n < 100; ++n) {
    usual.note(Service, Chat, 0.9 + 0.002 * n);
    usual.note(Service, Quote, 3);
  }
  BOOST_TEST(!usual.isSlow(Service, Chat, 1.5));
  BOOST_TEST(usual.isSlow(Service, Chat, 3));
  BOOST_TEST(!usual.isSlow(Service, Quote, 4));
  BOOST_TEST(!usual.isSlow(ServiceId("other"), Chat, 50));
}

BOOST_AUTO_TEST_CASE(nothing_is_slow_before_enough_calls) {
  UsualFirstByte usual;
  for (int n = 0; n < 10; ++n) {
    usual.note(Service, Chat, 1);
    BOOST_TEST(!usual.isSlow(Service, Chat, 50));
  }
}

// A few calls that wait very long, or whose time is not known, do not
// change what is usual.
BOOST_AUTO_TEST_CASE(single_calls_change_little) {
  UsualFirstByte usual;
  for (int n = 0; n < 400; ++n)
    usual.note(Service, Chat, n % 10 == 0 ? 1000 : 1);
  usual.note(Service, Chat, std::numeric_limits<double>::quiet_NaN());
  usual.note(Service, Chat, -1);
  BOOST_TEST(!usual.isSlow(Service, Chat, 1.5));
  BOOST_TEST(usual.isSlow(Service, Chat, 3));
}

BOOST_AUTO_TEST_SUITE_END()
