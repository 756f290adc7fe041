#include "LibObjectApi/RelayedChangesParts.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

constexpr std::size_t ObjectBytes = 100;

ResourceChange change(std::uint64_t revision, bool isRemoved = false) {
  const std::string name = "r" + std::to_string(revision);
  return {{name, std::string(ObjectBytes, 'x'), "", revision}, isRemoved};
}

/// News from revision 100 of so many changes, the newest first.
RelayedChanges newsOf(std::uint64_t changes) {
  RelayedChanges news;
  news.Kind = ResourceKind::Replicas;
  news.From = 100;
  news.Age = milliseconds(20);
  news.Echo = 7;
  for (std::uint64_t n = changes; n > 0; --n)
    news.Changes.Changes.push_back(change(100 + n));
  news.Changes.AtRevision = 100 + changes + 5;
  return news;
}

} // namespace

BOOST_AUTO_TEST_SUITE(news_parts)

BOOST_AUTO_TEST_CASE(small_news_is_one_part) {
  const RelayedChanges news = newsOf(3);
  const auto parts = splitIntoParts(news, 1000);
  BOOST_REQUIRE(parts.size() == 1U);
  BOOST_TEST(parts[0].From == 100U);
  BOOST_TEST(parts[0].Changes.AtRevision == 108U);
  BOOST_TEST(parts[0].Echo == 7);
  BOOST_TEST(splitIntoParts(newsOf(0), 1000).size() == 1U);
}

// Half of a large fleet's replicas leave at once. Too large to be passed on,
// each of hundreds of hosts asked the store for it, most of them in vain, and
// calls reached upstreams that had long left.
BOOST_AUTO_TEST_CASE(large_news_goes_in_parts_that_follow_each_other) {
  const auto parts = splitIntoParts(newsOf(1500), 48000);
  BOOST_REQUIRE(parts.size() >= 3U);
  std::uint64_t reached = 100;
  std::size_t changes = 0;
  for (const RelayedChanges &it : parts) {
    const bool isLast = &it == &parts.back();
    BOOST_TEST(it.From == reached);
    BOOST_TEST(it.Changes.AtRevision > reached);
    for (const ResourceChange &one : it.Changes.Changes) {
      BOOST_TEST(one.Object.Revision > it.From);
      BOOST_TEST(one.Object.Revision <= it.Changes.AtRevision);
    }
    BOOST_TEST(it.Changes.Changes.size() * ObjectBytes <= 48000U);
    // A part says nothing of what is still to come.
    BOOST_TEST((it.Echo == 0) == !isLast);
    reached = it.Changes.AtRevision;
    changes += it.Changes.Changes.size();
  }
  BOOST_TEST(reached == 1605U);
  BOOST_TEST(changes == 1500U);
}

// A list after lost history names what is gone by revisions that are long past.
BOOST_AUTO_TEST_CASE(old_removals_lead_to_no_older_revision) {
  RelayedChanges news = newsOf(10);
  for (std::uint64_t n = 1; n <= 10; ++n)
    news.Changes.Changes.push_back(change(n, true));
  std::uint64_t reached = news.From;
  for (const RelayedChanges &it : splitIntoParts(news, 3 * ObjectBytes)) {
    BOOST_TEST(it.From == reached);
    BOOST_TEST(it.Changes.AtRevision >= reached);
    reached = it.Changes.AtRevision;
  }
  BOOST_TEST(reached == news.Changes.AtRevision);
}

BOOST_AUTO_TEST_SUITE_END()
