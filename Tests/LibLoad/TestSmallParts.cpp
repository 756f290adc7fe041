#include "LibLoad/EngineDemand.h"
#include "LibLoad/PromptCacheEstimate.h"
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

using namespace sorrelbay;

namespace {

const ServiceId Model("model");
const UpstreamId First("r0");
const UpstreamId Second("r1");

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_cache_estimate)

BOOST_AUTO_TEST_CASE(a_part_is_cached_where_it_was_sent_recently) {
  PromptCacheEstimate cache;
  const Instant now{seconds(100)};
  BOOST_TEST(cache.likelihood(First, "a", 1, 20, now) == 0);
  cache.note(First, "a", now);
  BOOST_TEST(cache.likelihood(First, "a", 1, 20, now + seconds(5)) == 1);
  BOOST_TEST(cache.likelihood(Second, "a", 1, 20, now) < 0.1);
  BOOST_TEST(cache.likelihood(First, "a", 1, 20, now + seconds(60)) < 0.1);
}

// A few prefixes are shared by nearly all prompts, and each upstream has
// prefilled them for calls of some host. A host that considers only its own
// sends would keep calls at upstreams that have much more work.
BOOST_AUTO_TEST_CASE(a_frequently_used_part_is_cached_everywhere) {
  PromptCacheEstimate cache;
  Instant now{seconds(100)};
  for (int n = 0; n < 20; ++n, now += milliseconds(100))
    cache.note(First, "a", now);
  BOOST_TEST(cache.likelihood(Second, "a", 10, 20, now) > 0.9);
  BOOST_TEST(cache.likelihood(Second, "a", 10, 2000, now) < 0.2);
}

BOOST_AUTO_TEST_CASE(the_number_of_entries_stays_bounded) {
  PromptCacheEstimate cache({seconds(10), 100});
  Instant now{seconds(100)};
  for (int n = 0; n < 1000; ++n, now += milliseconds(1))
    cache.note(First, "part" + std::to_string(n), now);
  BOOST_TEST(cache.size() <= 102U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(engine_demand)

BOOST_AUTO_TEST_CASE(demand_is_what_arrives_at_all_hosts) {
  EngineDemand demand;
  Instant now{seconds(100)};
  for (int n = 0; n < 400; ++n, now += milliseconds(50))
    demand.note(Model, 100, now);
  BOOST_TEST(demand.total(Model, now) > 1.9);
  BOOST_TEST(demand.total(Model, now) < 2.1);
  demand.notePeer(SourceId("p"), {{Model, 3}});
  BOOST_TEST(demand.total(Model, now) > 4.9);
  // A peer's newer report replaces the older one.
  demand.notePeer(SourceId("p"), {{Model, 1}});
  BOOST_TEST(demand.total(Model, now) < 3.1);
  demand.forgetPeer(SourceId("p"));
  BOOST_TEST(demand.total(Model, now) < 2.1);
  BOOST_TEST(demand.total(Model, now + seconds(30)) < 0.01);
}

BOOST_AUTO_TEST_CASE(an_impossible_rate_is_ignored) {
  EngineDemand demand;
  const Instant now{seconds(100)};
  for (const double rate :
       {-1.0, 1e12, std::nan(""), std::numeric_limits<double>::infinity()}) {
    demand.notePeer(SourceId("p"), {{Model, rate}});
    BOOST_TEST(demand.total(Model, now) == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
