#include "LibDecision/CanaryJudge.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace sorrelbay;

namespace {

const EvidenceSource FirstHost{HostId("127.0.0.1"), IncarnationId("a")};
const EvidenceSource SecondHost{HostId("127.0.0.2"), IncarnationId("b")};
const EvidenceKey NewChat{VersionId("new"), RouteId("chat")};
const EvidenceKey OldChat{VersionId("old"), RouteId("chat")};
const EvidenceKey NewQuote{VersionId("new"), RouteId("quote")};
const EvidenceKey OldQuote{VersionId("old"), RouteId("quote")};

/// Counts of both versions on one route, and the expected result.
struct VerdictRow {
  const char *Name;
  EvidenceCount Old;
  EvidenceCount New;
  bool IsBad;
  BadCallKind Reason;
};

std::ostream &operator<<(std::ostream &out, const VerdictRow &row) {
  return out << row.Name;
}

const VerdictRow VerdictRows[] = {
    {"as good as the old one", {1000, 10, 40}, {200, 2, 8}, false, {}},
    {"nothing called yet", {1000, 10, 40}, {0, 0, 0}, false, {}},
    {"one failure is no evidence", {1000, 10, 40}, {5, 1, 0}, false, {}},
    {"fails ten times as often",
     {1000, 10, 40},
     {100, 12, 4},
     true,
     BadCallKind::Failure},
    {"fails at once", {1000, 10, 40}, {6, 6, 0}, true, BadCallKind::Failure},
    {"slow", {1000, 10, 40}, {100, 1, 30}, true, BadCallKind::Lateness},
    {"slow while the old one is slow too",
     {1000, 10, 300},
     {100, 1, 30},
     false,
     {}},
};

void count(EvidencePool &pool, const EvidenceSource &source,
           const EvidenceKey &key, const EvidenceCount &counts) {
  pool.mergeCount(source, key, counts);
}

CanaryJudge makeJudge(const EvidencePool &pool) {
  CanaryJudge judge(VersionId("new"), VersionId("old"),
                    {RouteId("chat"), RouteId("quote")});
  judge.observe(pool);
  return judge;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CanaryJudgeTests)

BOOST_DATA_TEST_CASE(judges_against_the_old_version_in_the_same_time,
                     boost::unit_test::data::make(VerdictRows), row) {
  EvidencePool pool;
  CanaryJudge judge = makeJudge(pool);
  count(pool, FirstHost, OldChat, row.Old);
  count(pool, FirstHost, NewChat, row.New);
  BOOST_REQUIRE_EQUAL(judge.observe(pool), row.IsBad);
  if (row.IsBad) {
    BOOST_CHECK(judge.finding().Reason == row.Reason);
    BOOST_CHECK_EQUAL(judge.finding().Seen.New.Calls, row.New.Calls);
  }
}

// A fault on a route with few calls is hidden by the good calls of the other
// routes, so that callers of that route would see it until the rollout had
// reached its full share.
BOOST_AUTO_TEST_CASE(finds_a_fault_on_one_quiet_route_and_names_it) {
  EvidencePool pool;
  CanaryJudge judge = makeJudge(pool);
  count(pool, FirstHost, OldChat, {8000, 80, 300});
  count(pool, FirstHost, NewChat, {1000, 10, 38});
  count(pool, FirstHost, OldQuote, {400, 4, 15});
  count(pool, FirstHost, NewQuote, {50, 12, 2});
  BOOST_REQUIRE(judge.observe(pool));
  BOOST_CHECK_EQUAL(judge.finding().OnRoute.text(), "quote");
}

// Each host sees too few failures to find the fault on its own.
BOOST_AUTO_TEST_CASE(pools_evidence_that_is_split_over_hosts) {
  EvidencePool first;
  EvidencePool second;
  CanaryJudge alone = makeJudge(first);
  CanaryJudge pooled = makeJudge(first);
  count(first, FirstHost, OldChat, {500, 5, 20});
  count(first, FirstHost, NewChat, {50, 4, 2});
  count(second, SecondHost, OldChat, {500, 5, 20});
  count(second, SecondHost, NewChat, {50, 5, 2});
  BOOST_CHECK(!alone.observe(first));
  first.merge(second);
  BOOST_CHECK(pooled.observe(first));
}

// A version turns bad after thousands of good calls. If these counted against
// the fault, it would take about as many bad calls to find it.
BOOST_AUTO_TEST_CASE(finds_a_fault_that_comes_late) {
  EvidencePool pool;
  CanaryJudge judge = makeJudge(pool);
  EvidenceCount old;
  EvidenceCount now;
  for (int n = 0; n < 100; ++n) {
    old.Calls += 100;
    old.Failures += 1;
    now.Calls += 50;
    now.Failures += n % 2;
    count(pool, FirstHost, OldChat, old);
    count(pool, FirstHost, NewChat, now);
    BOOST_REQUIRE(!judge.observe(pool));
  }
  count(pool, FirstHost, NewChat, {now.Calls + 150, now.Failures + 20, 0});
  BOOST_CHECK(judge.observe(pool));
}

// A zone's reclaim makes both versions late while only a few calls of the route
// still go to the old one. Another route, whose rollout has not begun, has no
// calls to compare; if its calls counted, they would end each interval before
// the old version's lateness showed, and a good version would be rolled back.
BOOST_AUTO_TEST_CASE(lateness_of_both_versions_does_not_fail_the_new_one) {
  EvidencePool pool;
  EvidenceCount old{2000, 20, 100};
  EvidenceCount waiting{2000, 20, 100};
  EvidenceCount now;
  count(pool, FirstHost, OldChat, old);
  count(pool, FirstHost, OldQuote, waiting);
  CanaryJudge judge = makeJudge(pool);
  for (int n = 0; n < 100; ++n) {
    old.Calls += 5;
    old.Late += 1;
    now.Calls += 45;
    now.Late += 9;
    waiting.Calls += 40;
    waiting.Late += 8;
    count(pool, FirstHost, OldChat, old);
    count(pool, FirstHost, NewChat, now);
    count(pool, FirstHost, OldQuote, waiting);
    BOOST_REQUIRE(!judge.observe(pool));
  }
}

BOOST_AUTO_TEST_CASE(evidence_for_a_step_grows_with_good_calls_only) {
  EvidencePool pool;
  CanaryJudge judge = makeJudge(pool);
  count(pool, FirstHost, OldChat, {1000, 10, 40});
  count(pool, FirstHost, NewChat, {20, 0, 0});
  judge.observe(pool);
  const double few = judge.evidence(RouteId("chat"));
  count(pool, FirstHost, NewChat, {120, 1, 4});
  judge.observe(pool);
  const double more = judge.evidence(RouteId("chat"));
  BOOST_CHECK_GT(more, few);
  count(pool, FirstHost, NewChat, {125, 5, 4});
  judge.observe(pool);
  BOOST_CHECK_LT(judge.evidence(RouteId("chat")), more);
  BOOST_CHECK_EQUAL(judge.evidence(RouteId("quote")), 0);
}

BOOST_AUTO_TEST_SUITE_END()
