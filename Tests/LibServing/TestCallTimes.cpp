#include "LibServing/CallTimes.h"
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

using namespace sorrelbay;

namespace {

const ServiceId Model("model");
constexpr Duration Expected = milliseconds(400);

bool isNear(Duration a, Duration b) {
  return std::abs(toSeconds(a - b)) <= 0.01 * toSeconds(b);
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_times)

// Expectations that are half of what prompts take, or twice as much, would
// let too many calls wait, or refuse calls that could still end in time.
BOOST_AUTO_TEST_CASE(expectations_that_are_wrong_by_two_are_corrected) {
  for (const int percent : {50, 200}) {
    CallTimes times;
    BOOST_TEST((times.firstToken(Model, 1, Expected) == Expected));
    BOOST_TEST(
        (times.firstTokenTimeout(Model, 1, Expected) == Duration::zero()));
    for (int n = 0; n < 100; ++n)
      times.noteFirstToken(Model, 1, Expected, Expected * percent / 100);
    BOOST_TEST(isNear(times.firstToken(Model, 1, 3 * Expected),
                      3 * Expected * percent / 100));
    // Other priorities wait for others.
    BOOST_TEST((times.firstToken(Model, 0, Expected) == Expected));
    BOOST_TEST(isNear(times.firstTokenTimeout(Model, 1, Expected),
                      2 * Expected * percent / 100));
  }
}

// One engine that has stopped must not make calls for all others be refused.
BOOST_AUTO_TEST_CASE(one_wait_without_end_changes_little) {
  CallTimes times;
  for (int n = 0; n < 100; ++n)
    times.noteFirstToken(Model, 1, Expected, Expected);
  times.noteFirstToken(Model, 1, Expected, seconds(3600));
  BOOST_TEST((times.firstToken(Model, 1, Expected) < 3 * Expected / 2));
  times.noteFirstToken(Model, 1, Duration::zero(), seconds(1));
}

// A short output during which the engine prefills a long prompt takes several
// times as long for each token. Taken for all, long outputs would be refused.
BOOST_AUTO_TEST_CASE(short_outputs_weigh_little) {
  CallTimes times;
  BOOST_TEST((times.output(Model, 100) == Duration::zero()));
  for (int n = 0; n < 100; ++n) {
    times.noteOutput(Model, 300, seconds(3));
    times.noteOutput(Model, 10, seconds(1));
  }
  BOOST_TEST((times.output(Model, 300) < milliseconds(4000)));
  BOOST_TEST((times.output(Model, 300) > milliseconds(3000)));
  times.noteOutput(Model, 0, seconds(1));
}

// Engines that were slow a moment ago are taken to be slow for a whole output,
// and calls are refused that would have ended in time.
BOOST_AUTO_TEST_CASE(the_shortest_output_is_that_of_the_fastest_engine) {
  CallTimes times;
  BOOST_TEST((times.shortestOutput(Model, 100) == Duration::zero()));
  for (int n = 0; n < 20; ++n)
    times.noteOutput(Model, 100, n == 10 ? seconds(1) : seconds(5));
  BOOST_TEST((times.shortestOutput(Model, 100) >= seconds(1)));
  BOOST_TEST((times.shortestOutput(Model, 100) < milliseconds(1200)));
  // A single event of few tokens takes no time at all.
  times.noteOutput(Model, 2, Duration::zero());
  BOOST_TEST((times.shortestOutput(Model, 100) >= seconds(1)));
  // Engines that stay slow are believed in the end.
  for (int n = 0; n < 200; ++n)
    times.noteOutput(Model, 100, seconds(5));
  BOOST_TEST((times.shortestOutput(Model, 100) > milliseconds(4900)));
}

BOOST_AUTO_TEST_CASE(a_response_is_late_only_far_beyond_the_usual_time) {
  CallTimes times;
  for (int n = 0; n < 9; ++n)
    times.noteResponse(Model, Expected);
  BOOST_TEST((times.responseTimeout(Model) == Duration::zero()));
  for (int n = 0; n < 100; ++n)
    times.noteResponse(Model, Expected);
  BOOST_TEST(isNear(times.response(Model), Expected));
  BOOST_TEST(isNear(times.responseTimeout(Model), 2 * Expected));
  for (int n = 0; n < 100; ++n)
    times.noteResponse(Model, n % 2 == 0 ? Expected / 2 : 3 * Expected / 2);
  BOOST_TEST((times.responseTimeout(Model) > 5 * Expected / 2));
  // Processes pause for some time without being broken.
  for (int n = 0; n < 100; ++n)
    times.noteResponse(Model, milliseconds(2));
  BOOST_TEST((times.responseTimeout(Model) == milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(values_that_are_no_times_are_ignored) {
  RunningEstimate estimate;
  for (const double it :
       {-1.0, std::nan(""), std::numeric_limits<double>::infinity()})
    for (int n = 0; n < 20; ++n)
      estimate.note(it);
  BOOST_TEST(!estimate.isKnown());
  BOOST_TEST(estimate.upperBound() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
