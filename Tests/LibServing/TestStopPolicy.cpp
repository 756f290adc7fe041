#include "LibServing/StopPolicy.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

struct StopCase {
  int SinceStopMs;
  int GraceMs;
  int WaitLimitMs;
  bool IsCallAccepted;
};

std::ostream &operator<<(std::ostream &out, const StopCase &it) {
  return out << it.SinceStopMs << " of " << it.GraceMs << " ms, wait limit "
             << it.WaitLimitMs;
}

const StopCase Cases[] = {
    {0, 8000, 10000, true},     {2300, 8000, 10000, true},
    {5000, 8000, 10000, false}, {5000, 8000, 1000, true},
    {6800, 8000, 1000, false},  {1300, 4000, 10000, false},
};

} // namespace

// A caller keeps the address of a host that is shutting down and sends it a
// chat call five seconds after the stop. The chat outlasts the grace period, so
// it was cut off and the caller got an incomplete response.
BOOST_DATA_TEST_CASE(late_calls_are_accepted_only_if_they_end_in_time,
                     boost::unit_test::data::make(Cases), it) {
  BOOST_TEST(acceptsCallWhileStopping(
                 milliseconds(it.SinceStopMs), milliseconds(it.GraceMs),
                 milliseconds(it.WaitLimitMs)) == it.IsCallAccepted);
}
