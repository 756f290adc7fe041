#include "FleetCostModel.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

namespace {

constexpr int WarmUpRounds = 16;
constexpr int RoundsPerSecond = 4;
constexpr int CountedSeconds = 5;
/// Of an ordinary host's 20 Mbit/s and eighth of a core, reports may take 50 KB
/// a second and 0.02 of a core. At a microsecond for each value that is decoded
/// and merged that is 20,000 values a second.
constexpr std::int64_t OrdinaryBytes = 50'000;
constexpr std::int64_t OrdinaryValues = 20'000;
/// Of a large host's core an aggregator may spend a tenth, and 2 MB a second.
constexpr std::int64_t AggregatorValues = 100'000;
constexpr std::int64_t AggregatorBytes = 2'000'000;
/// The most by which a figure of an ordinary host may grow from 985 to 2,000
/// hosts.
constexpr double AllowedGrowth = 1.1;

const FleetSize Sizes[] = {
    {60, 300, 50}, {250, 800, 100}, {985, 3000, 333}, {2000, 6000, 333}};

struct CostAtSize {
  RoleCost Ordinary;
  RoleCost Aggregator;
};

CostAtSize costAt(const FleetSize &size) {
  FleetCostModel model(size);
  model.rounds(WarmUpRounds, false);
  model.rounds(CountedSeconds * RoundsPerSecond, true);
  return {model.ordinaryHost(), model.aggregator()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_cost)

// What a host knows of others is paid for by its callers: a host of an eighth
// of a core that decodes the whole fleet's state several times a second serves
// late.
BOOST_DATA_TEST_CASE(reports_stay_within_the_budget, data::make(Sizes), size) {
  const CostAtSize cost = costAt(size);
  BOOST_TEST(cost.Ordinary.BytesReceived <= OrdinaryBytes * CountedSeconds);
  BOOST_TEST(cost.Ordinary.ValuesDecoded <= OrdinaryValues * CountedSeconds);
  BOOST_TEST(cost.Aggregator.ValuesDecoded <=
             AggregatorValues * CountedSeconds);
  BOOST_TEST_MESSAGE(size.Hosts
                     << " hosts, a second: ordinary "
                     << cost.Ordinary.MessagesReceived / CountedSeconds
                     << " messages, "
                     << cost.Ordinary.BytesReceived / CountedSeconds << " B, "
                     << cost.Ordinary.ValuesDecoded / CountedSeconds
                     << " values; aggregator receives "
                     << cost.Aggregator.MessagesReceived / CountedSeconds
                     << " messages, "
                     << cost.Aggregator.BytesReceived / CountedSeconds << " B, "
                     << cost.Aggregator.ValuesDecoded / CountedSeconds
                     << " values, sends "
                     << cost.Aggregator.MessagesSent / CountedSeconds
                     << " messages, "
                     << cost.Aggregator.BytesSent / CountedSeconds << " B");
}

BOOST_AUTO_TEST_CASE(an_ordinary_hosts_part_does_not_grow_with_the_fleet) {
  const CostAtSize now = costAt(Sizes[2]);
  const CostAtSize twice = costAt(Sizes[3]);
  const auto mayBecome = [](std::int64_t figure) {
    return static_cast<std::int64_t>(static_cast<double>(figure) *
                                     AllowedGrowth);
  };
  BOOST_TEST(twice.Ordinary.BytesReceived <=
             mayBecome(now.Ordinary.BytesReceived));
  BOOST_TEST(twice.Ordinary.ValuesDecoded <=
             mayBecome(now.Ordinary.ValuesDecoded));
  BOOST_TEST(twice.Ordinary.MessagesReceived <=
             mayBecome(now.Ordinary.MessagesReceived));
}

// The aggregator sends the sums to each host of its zone. Once no large host is
// left, its link would be full.
BOOST_AUTO_TEST_CASE(an_aggregator_sends_no_more_than_its_budget) {
  for (const FleetSize &size : Sizes)
    BOOST_TEST(costAt(size).Aggregator.BytesSent <=
                   AggregatorBytes * CountedSeconds,
               size);
}

// A host that is spared reports must not know less: what it holds is at most
// two reports old.
BOOST_DATA_TEST_CASE(an_ordinary_host_knows_all_work, data::make(Sizes), size) {
  FleetCostModel model(size);
  model.rounds(WarmUpRounds, false);
  const int zoneBefore = model.openInZone();
  const int othersBefore = model.openInOtherZones();
  model.rounds(3, false);
  BOOST_REQUIRE(model.ownZoneSum());
  BOOST_REQUIRE(model.otherZonesSum());
  const auto openIn = [](const FleetReport &it) {
    int calls = 0;
    for (const auto &[id, work] : it.Open)
      calls += work.Calls;
    return calls;
  };
  // Calls begin and end in between; half of them is more than that.
  BOOST_TEST(openIn(*model.ownZoneSum()) > zoneBefore / 2);
  BOOST_TEST(openIn(*model.ownZoneSum()) < zoneBefore * 2);
  BOOST_TEST(openIn(*model.otherZonesSum()) > othersBefore / 2);
  BOOST_TEST(openIn(*model.otherZonesSum()) < othersBefore * 2);
}

BOOST_AUTO_TEST_SUITE_END()
