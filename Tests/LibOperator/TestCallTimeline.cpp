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

CallTimeline timelineOf(const std::string &id, const std::string &log) {
  std::size_t unreadableCount = 0;
  std::istringstream in(log);
  const std::vector<TimelineEntry> lines =
      readTimeline(in, id, unreadableCount);
  CallTimeline timeline = buildTimeline(id, lines);
  timeline.UnreadableCount = unreadableCount;
  return timeline;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_timeline)

// A booking failed with status 502. From the logs of all hosts and the call's
// id the operator must find out whether the host or the desk was the cause.
BOOST_AUTO_TEST_CASE(cause_includes_other_failures_at_the_same_upstream) {
  const CallTimeline timeline = timelineOf("x1", TwoHosts);
  BOOST_REQUIRE(timeline.Causes.size() == 1U);
  const std::string &cause = timeline.Causes.front();
  BOOST_TEST(
      cause.find("x1 ended with outcome refused, status 502 on host a after "
                 "2002 ms") == 0);
  BOOST_TEST(
      cause.find(
          "the connection to the upstream was lost; the call may have run") !=
      std::string::npos);
  BOOST_TEST(cause.find("at upstream u1, 2 other calls failed there in that "
                        "period, on 2 hosts") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(relevant_lines_follow_in_order_of_time) {
  const CallTimeline timeline = timelineOf("x1", TwoHosts);
  BOOST_REQUIRE(timeline.Lines.size() == 4U);
  BOOST_TEST(timeline.Lines[0].Event == "upstream ready");
  BOOST_TEST(timeline.Lines[1].Event == "store view failed");
  BOOST_TEST(timeline.Lines[1].Host == "a");
  BOOST_TEST(timeline.Lines[2].CallId == "x1");
  BOOST_TEST(timeline.Lines[3].Event == "upstream gone");
}

// A host was killed while it wrote a line, and its log was copied in parts.
BOOST_AUTO_TEST_CASE(truncated_lines_are_counted_and_skipped) {
  const std::string log =
      std::string("vent\":\"call\",\"id\":\"x1\"\n\nnot a log line\n") +
      TwoHosts + R"({"time_ms":7400,"host":"b","event":"cal)";
  const CallTimeline timeline = timelineOf("x1", log);
  BOOST_TEST(timeline.Causes.size() == 1U);
  BOOST_TEST(timeline.UnreadableCount == 3U);
}

BOOST_AUTO_TEST_CASE(a_call_that_no_log_names_has_no_timeline) {
  const CallTimeline timeline = timelineOf("nowhere", TwoHosts);
  BOOST_TEST(timeline.Causes.empty());
  BOOST_TEST(timeline.Lines.empty());
}

BOOST_AUTO_TEST_CASE(a_successful_call_and_an_unknown_cause_are_described) {
  BOOST_TEST(
      timelineOf("good", TwoHosts).Causes.front() ==
      "good ended with outcome answered, status 200 on host b after 20 ms");
  const CallTimeline timeline = timelineOf(
      "y", R"({"time_ms":1,"host":"a","event":"call","id":"y",)"
           R"("outcome":"refused","status":503,"cause":"new_one","ms":3})");
  BOOST_TEST(
      timeline.Causes.front() ==
      "y ended with outcome refused, status 503 on host a after 3 ms: new_one "
      "(new_one)");
}

BOOST_AUTO_TEST_SUITE_END()
