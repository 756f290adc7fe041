#include "LibServing/PromptWaitLimits.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const ServiceId Model("model");
const RouteId Long("long");
const RouteId Short("short");

PromptWaitLimits limitsOf(Duration longest, Duration shortest) {
  PromptWaitLimits limits;
  limits.setRoutes({{Model, Long, longest}, {Model, Short, shortest}});
  return limits;
}

void note(PromptWaitLimits &limits, const RouteId &route, Duration work) {
  for (int n = 0; n < 200; ++n)
    limits.noteSent(Model, route, work);
}

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_wait_limits)

// Calls with much time fill the queues of all engines until a call with little
// time can no longer be served anywhere.
BOOST_AUTO_TEST_CASE(calls_with_little_time_can_still_be_served) {
  PromptWaitLimits limits = limitsOf(seconds(10), seconds(2));
  BOOST_TEST((limits.maxWait(Model) == seconds(2)));
  note(limits, Short, milliseconds(400));
  const Duration wait = limits.maxWait(Model);
  BOOST_TEST((wait > milliseconds(1590) && wait <= milliseconds(1600)));
  // A call that needs most of its time counts as well.
  note(limits, Long, milliseconds(9000));
  BOOST_TEST((limits.maxWait(Model) < milliseconds(1001)));
}

// A route whose calls can hardly be served must not leave the engines without
// work between two reports of other hosts.
BOOST_AUTO_TEST_CASE(a_route_without_time_does_not_empty_the_queues) {
  PromptWaitLimits limits = limitsOf(seconds(10), milliseconds(50));
  note(limits, Short, milliseconds(400));
  BOOST_TEST((limits.maxWait(Model) == milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(a_plan_keeps_what_is_known_of_its_routes) {
  PromptWaitLimits limits = limitsOf(seconds(10), seconds(2));
  note(limits, Short, milliseconds(400));
  limits.setRoutes({{Model, Short, seconds(3)}});
  BOOST_TEST((limits.maxWait(Model) < milliseconds(2601)));
  limits.setRoutes({});
  BOOST_TEST((limits.maxWait(Model) == Duration::max()));
  limits.setRoutes({{Model, Short, Duration::zero()}});
  BOOST_TEST((limits.maxWait(Model) == Duration::max()));
  limits.noteSent(ServiceId("other"), Short, seconds(1));
}

BOOST_AUTO_TEST_SUITE_END()
