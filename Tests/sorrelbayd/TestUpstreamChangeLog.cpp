#include "UpstreamChangeLog.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

ReplicaRecord recordOf(int number) {
  ReplicaRecord out;
  out.Id = UpstreamId("engine-" + std::to_string(number));
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(upstream_change_log)

// A thousand hosts that each log three thousand upstreams at a start write
// millions of lines, which takes more of their time than learning of them.
BOOST_AUTO_TEST_CASE(a_host_logs_few_of_many_changes) {
  constexpr int Upstreams = 3000;
  const Instant now{seconds(1000)};
  UpstreamChangeLog log;
  int logged = 0;
  for (int n = 0; n < Upstreams; ++n)
    logged += log.noteState(recordOf(n), 1, false, now) ? 1 : 0;
  BOOST_TEST(logged == 20);
  BOOST_TEST(log.noteGone(UpstreamId("engine-1"), false, now + seconds(1)));
}

// The changes of a small fleet, and those that the fleet leader learns of, are
// needed whole to find out who knew what when.
BOOST_AUTO_TEST_CASE(few_changes_and_the_leaders_are_logged) {
  const Instant now{seconds(1000)};
  UpstreamChangeLog log;
  for (int n = 0; n < 20; ++n)
    BOOST_TEST(log.noteState(recordOf(n), 1, false, now));
  for (int n = 0; n < 1000; ++n)
    BOOST_REQUIRE(log.noteState(recordOf(n), 1, true, now));
}

BOOST_AUTO_TEST_SUITE_END()
