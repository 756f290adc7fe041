#include "GatewayFixture.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

constexpr int Ok = 200;
/// Time after which keys that the store may have removed are refused.
constexpr Duration KeyRemoval = seconds(2);

} // namespace

BOOST_AUTO_TEST_SUITE(refused_entries)

// An entry of another writer that can't be read must neither keep a host that
// starts from getting ready, nor its upstreams from changing.
BOOST_AUTO_TEST_CASE(a_host_starts_beside_entries_that_cannot_be_read) {
  GatewayFixture fixture;
  for (const ResourceKind kind :
       {ResourceKind::Plan, ResourceKind::Replicas, ResourceKind::Moves,
        ResourceKind::Hosts, ResourceKind::Quarantines})
    fixture.Store.put(kind, "foreign", "");
  fixture.restart();
  BOOST_TEST(fixture.callUntil(Ok, "key").Status == Ok);
  BOOST_TEST(fixture.metric(
                 "sorrelbay_refused_entries_total{kind=\"replicas\"}") == 1);
}

// The bytes of a known upstream's entry can no longer be read: it names no
// upstream to use.
BOOST_AUTO_TEST_CASE(an_upstream_whose_entry_becomes_unreadable_is_not_used) {
  GatewayFixture fixture;
  fixture.callUntil(Ok, "key");
  fixture.Store.put(ResourceKind::Replicas, "r1", "");
  BOOST_TEST(fixture.callUntil(503, "key").Status == 503);
}

// The plan in force becomes unreadable. It may have removed keys, so that these
// must not be accepted for longer than without news of the plan.
BOOST_AUTO_TEST_CASE(keys_are_refused_once_the_plan_stays_unreadable) {
  GatewayFixture fixture(KeyRemoval);
  fixture.callUntil(Ok, "key");
  fixture.Store.put(ResourceKind::Plan, "foreign", "");
  fixture.waitUntilSeen(ResourceKind::Plan);
  std::this_thread::sleep_for(KeyRemoval);
  BOOST_TEST(fixture.call("key").Status == Ok);
  fixture.Store.put(ResourceKind::Plan, "main", "");
  BOOST_TEST(fixture.callUntil(503, "key").Status == 503);
  fixture.Store.put(ResourceKind::Plan, "main", "9;key");
  BOOST_TEST(fixture.callUntil(Ok, "key").Status == Ok);
}

BOOST_AUTO_TEST_SUITE_END()
