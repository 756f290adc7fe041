#include "LibServing/StopPolicy.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

struct StopCase {
  int SinceStopMs;
  int GraceMs;
  int PatienceMs;
  bool IsTaken;
};

std::ostream &operator<<(std::ostream &out, const StopCase &it) {
  return out << it.SinceStopMs << " of " << it.GraceMs << " ms, patience "
             << it.PatienceMs;
}

const StopCase Cases[] = {
    {0, 8000, 10000, true},     {2300, 8000, 10000, true},
    {5000, 8000, 10000, false}, {5000, 8000, 1000, true},
    {6800, 8000, 1000, false},  {1300, 4000, 10000, false},
};

} // namespace

// A caller keeps the address of a host that stops, and sends it a chat five
// seconds after the stop began. The chat goes on for longer than the grace: it
// was cut in its middle, and the user saw half an answer (seen in a hunt,
// trouble-2 with seed 103381953111).
BOOST_DATA_TEST_CASE(late_calls_are_taken_only_if_they_end_in_time,
                     boost::unit_test::data::make(Cases), it) {
  BOOST_TEST(acceptsCallWhileStopping(
                 milliseconds(it.SinceStopMs), milliseconds(it.GraceMs),
                 milliseconds(it.PatienceMs)) == it.IsTaken);
}
