#include "FleetReportSamples.h"
#include "LibPeer/RepeatFilter.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

BOOST_AUTO_TEST_SUITE(repeat_filter)

// Each message wakes its receiver. A thousand hosts without news would wake
// each other tens of thousands of times a second; a host that says nothing at
// all would count as gone.
BOOST_AUTO_TEST_CASE(reports_without_news_are_sent_half_as_often) {
  std::mt19937_64 random(1);
  FleetReport report = drawReport({}, random);
  report.Crashes = {};
  RepeatFilter filter;
  Instant now{seconds(1000)};
  int sent = 0;
  for (int n = 0; n < 40; ++n, now += milliseconds(250)) {
    ++report.Sequence;
    report.Levels[TeamId("team-1")] += 1;
    sent += filter.isNeeded(report, now) ? 1 : 0;
  }
  BOOST_TEST(sent == 20);
}

BOOST_AUTO_TEST_CASE(news_is_sent_at_once) {
  std::mt19937_64 random(2);
  FleetReport report = drawReport({}, random);
  RepeatFilter filter;
  Instant now{seconds(1000)};
  BOOST_TEST(filter.isNeeded(report, now));
  for (int n = 0; n < 20; ++n) {
    now += milliseconds(20);
    ++report.Used[TeamId("team-1")];
    BOOST_TEST(filter.isNeeded(report, now));
    BOOST_TEST(!filter.isNeeded(report, now));
  }
}

BOOST_AUTO_TEST_SUITE_END()
