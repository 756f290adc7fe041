#include "LibObjectApi/RelayedChangesParts.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

constexpr std::size_t ObjectBytes = 100;

ResourceChange change(std::uint64_t revision, bool isRemoved = false) {
  const std::string name = "r" + std::to_string(revision);
  return {{name, std::string(ObjectBytes, 'x'), "", revision}, isRemoved};
}

/// The given number of changes after revision 100, the newest first.
RelayedChanges relayedOf(std::uint64_t changes) {
  RelayedChanges relayed;
  relayed.Kind = ResourceKind::Replicas;
  relayed.From = 100;
  relayed.Age = milliseconds(20);
  relayed.Echo = 7;
  for (std::uint64_t n = changes; n > 0; --n)
    relayed.Changes.Changes.push_back(change(100 + n));
  relayed.Changes.AtRevision = 100 + changes + 5;
  return relayed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(relayed_changes_parts)

BOOST_AUTO_TEST_CASE(small_changes_are_one_part) {
  const RelayedChanges relayed = relayedOf(3);
  const auto parts = splitIntoParts(relayed, 1000);
  BOOST_REQUIRE(parts.size() == 1U);
  BOOST_TEST(parts[0].From == 100U);
  BOOST_TEST(parts[0].Changes.AtRevision == 108U);
  BOOST_TEST(parts[0].Echo == 7);
  BOOST_TEST(splitIntoParts(relayedOf(0), 1000).size() == 1U);
}

// Half of a large fleet's replicas leave at once. The changes were too large to
// be relayed, so hundreds of hosts queried the store, most of them without
// success, and calls were sent to upstreams that had long been removed.
BOOST_AUTO_TEST_CASE(large_changes_are_split_into_consecutive_parts) {
  const auto parts = splitIntoParts(relayedOf(1500), 48000);
  BOOST_REQUIRE(parts.size() >= 3U);
  std::uint64_t lastRevision = 100;
  std::size_t changes = 0;
  for (const RelayedChanges &it : parts) {
    const bool isLast = &it == &parts.back();
    BOOST_TEST(it.From == lastRevision);
    BOOST_TEST(it.Changes.AtRevision > lastRevision);
    for (const ResourceChange &one : it.Changes.Changes) {
      BOOST_TEST(one.Object.Revision > it.From);
      BOOST_TEST(one.Object.Revision <= it.Changes.AtRevision);
    }
    BOOST_TEST(it.Changes.Changes.size() * ObjectBytes <= 48000U);
    // Only the last part confirms the receiver's view.
    BOOST_TEST((it.Echo == 0) == !isLast);
    lastRevision = it.Changes.AtRevision;
    changes += it.Changes.Changes.size();
  }
  BOOST_TEST(lastRevision == 1605U);
  BOOST_TEST(changes == 1500U);
}

// After the store has dropped its history, the removals derived from a new list
// carry old revisions.
BOOST_AUTO_TEST_CASE(old_removals_do_not_lower_the_revision) {
  RelayedChanges relayed = relayedOf(10);
  for (std::uint64_t n = 1; n <= 10; ++n)
    relayed.Changes.Changes.push_back(change(n, true));
  std::uint64_t lastRevision = relayed.From;
  for (const RelayedChanges &it : splitIntoParts(relayed, 3 * ObjectBytes)) {
    BOOST_TEST(it.From == lastRevision);
    BOOST_TEST(it.Changes.AtRevision >= lastRevision);
    lastRevision = it.Changes.AtRevision;
  }
  BOOST_TEST(lastRevision == relayed.Changes.AtRevision);
}

BOOST_AUTO_TEST_SUITE_END()
