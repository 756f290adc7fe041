#include "LibOperator/CallTimeline.h"
#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace sorrelbay;

namespace {

const char *const TwoHosts =
    R"(   1.0 edge-a {"time_ms":1000,"host":"a","event":"upstream ready","upstream":"u1"}
   2.0 edge-b {"time_ms":5000,"host":"b","event":"store view failed","kind":"plan"}
   2.0 edge-a {"time_ms":5100,"host":"a","event":"store view failed","kind":"plan"}
   4.1 edge-a {"time_ms":7000,"host":"a","event":"call","id":"other","outcome":"refused","status":502,"cause":"upstream_broke_off","ms":2000,"upstream":"u1"}
   4.0 edge-a {"time_ms":6900,"host":"a","event":"call","id":"x1","outcome":"refused","status":502,"cause":"upstream_broke_off","ms":2002,"upstream":"u1"}
   4.2 edge-b {"time_ms":7100,"host":"b","event":"call","id":"third","outcome":"cut","status":200,"cause":"upstream_broke_off","ms":900,"upstream":"u1"}
   4.3 edge-b {"time_ms":7200,"host":"b","event":"upstream gone","upstream":"u1"}
   4.4 edge-b {"time_ms":7300,"host":"b","event":"call","id":"good","outcome":"answered","status":200,"cause":"","ms":20,"upstream":"u2"}
   9.9 edge-b {"time_ms":99000,"host":"b","event":"upstream ready","upstream":"u1"}
)";

CallTimeline tell(const std::string &id, const std::string &log) {
  std::size_t unreadable = 0;
  std::istringstream in(log);
  const std::vector<TimelineEntry> lines = readTimeline(in, id, unreadable);
  CallTimeline story = buildTimeline(id, lines);
  story.Unreadable = unreadable;
  return story;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_story)

// A crew leader's booking ended in 502. The operator has the logs of all hosts
// and the call's id, and needs to know whether it was the host or the desk.
BOOST_AUTO_TEST_CASE(the_cause_comes_first_with_what_else_failed_there) {
  const CallTimeline story = tell("x1", TwoHosts);
  BOOST_REQUIRE(story.Causes.size() == 1U);
  const std::string &cause = story.Causes.front();
  BOOST_TEST(cause.find("x1 ended as refused with 502 on a after 2002 ms") ==
             0);
  BOOST_TEST(cause.find("the upstream broke off; it may have run") !=
             std::string::npos);
  BOOST_TEST(cause.find("at u1, 2 other calls failed there at that time, on 2 "
                        "hosts") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(lines_that_bear_on_it_follow_in_order_of_time) {
  const CallTimeline story = tell("x1", TwoHosts);
  BOOST_REQUIRE(story.Lines.size() == 4U);
  BOOST_TEST(story.Lines[0].Event == "upstream ready");
  BOOST_TEST(story.Lines[1].Event == "store view failed");
  BOOST_TEST(story.Lines[1].Host == "a");
  BOOST_TEST(story.Lines[2].CallId == "x1");
  BOOST_TEST(story.Lines[3].Event == "upstream gone");
}

// A host was killed while it wrote, and its log was copied in parts.
BOOST_AUTO_TEST_CASE(cut_and_torn_lines_are_counted_and_passed_over) {
  const std::string log =
      std::string("vent\":\"call\",\"id\":\"x1\"\n\nnot a log line\n") +
      TwoHosts + R"({"time_ms":7400,"host":"b","event":"cal)";
  const CallTimeline story = tell("x1", log);
  BOOST_TEST(story.Causes.size() == 1U);
  BOOST_TEST(story.Unreadable == 3U);
}

BOOST_AUTO_TEST_CASE(a_call_that_no_log_names_has_no_story) {
  const CallTimeline story = tell("nowhere", TwoHosts);
  BOOST_TEST(story.Causes.empty());
  BOOST_TEST(story.Lines.empty());
}

BOOST_AUTO_TEST_CASE(a_good_call_and_one_with_a_new_cause_are_told_too) {
  BOOST_TEST(tell("good", TwoHosts).Causes.front() ==
             "good ended as answered with 200 on b after 20 ms");
  const CallTimeline story = tell(
      "y", R"({"time_ms":1,"host":"a","event":"call","id":"y",)"
           R"("outcome":"refused","status":503,"cause":"new_one","ms":3})");
  BOOST_TEST(story.Causes.front() ==
             "y ended as refused with 503 on a after 3 ms: new_one (new_one)");
}

BOOST_AUTO_TEST_SUITE_END()
