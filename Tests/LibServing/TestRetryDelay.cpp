#include "LibServing/RetryDelay.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

struct DelayCase {
  const char *Name;
  RetryDelayInput Input;
  Duration Earliest;
  Duration Latest;
};

std::ostream &operator<<(std::ostream &out, const DelayCase &it) {
  return out << it.Name;
}

const DelayCase Delays[] = {
    {"spread over as long again",
     {milliseconds(200), Duration::max(), seconds(10), {}},
     milliseconds(200),
     milliseconds(400)},
    {"spread over a bounded time",
     {seconds(2), seconds(1), seconds(30), {}},
     seconds(2),
     seconds(3)},
    {"at most a third of the time left",
     {seconds(2), seconds(1), seconds(3), {}},
     seconds(1),
     seconds(1)},
    {"time is left for the call itself",
     {seconds(2), seconds(1), seconds(3), milliseconds(2500)},
     milliseconds(500),
     milliseconds(500)},
    {"no time is left for the call itself",
     {seconds(2), seconds(1), seconds(3), seconds(4)},
     Duration::zero(),
     Duration::zero()},
    {"no time is left",
     {seconds(2), seconds(1), seconds(-1), {}},
     Duration::zero(),
     Duration::zero()},
};

} // namespace

BOOST_AUTO_TEST_SUITE(retry_delay)

// A caller ignores a delay that is too long and returns at once, or returns
// when its call can no longer be answered in time.
BOOST_DATA_TEST_CASE(callers_return_while_they_have_time,
                     boost::unit_test::data::make(Delays), it) {
  BOOST_TEST((retryDelay(it.Input, 0) == it.Earliest));
  BOOST_TEST((retryDelay(it.Input, 1) == it.Latest));
}

BOOST_AUTO_TEST_SUITE_END()
