#include "LibLoad/PromptPartition.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <ostream>

using namespace sorrelbay;

namespace {

/// Prompts of up to 50 ms are short.
PromptPartitionSettings separating() {
  PromptPartitionSettings settings;
  settings.ShortPromptTime = milliseconds(50);
  return settings;
}

/// Engines in zones of these sizes, at 68 hosts.
PromptPartitionInput fleetOf(const std::vector<int> &zones, double demand) {
  PromptPartitionInput input;
  for (std::size_t zone = 0; zone < zones.size(); ++zone) {
    auto &engines = input.Engines[ZoneId("zone" + std::to_string(zone))];
    for (int n = 0; n < zones[zone]; ++n)
      engines.emplace_back("engine" + std::to_string(zone) + "." +
                           std::to_string(n));
  }
  input.Slots = 12;
  input.Hosts = 68;
  input.ShortDemand = demand;
  return input;
}

/// A partition after a minute of the same input.
PromptPartition settled(const PromptPartitionInput &input) {
  PromptPartition partition(separating());
  Instant now{seconds(100)};
  for (int n = 0; n < 240; ++n, now += milliseconds(250))
    partition.update(input, now);
  return partition;
}

int differing(const PromptPartition &a, const PromptPartition &b,
              const PromptPartitionInput &input) {
  int count = 0;
  for (const auto &[zone, engines] : input.Engines)
    for (const UpstreamId &it : engines)
      count += a.isReserved(it) != b.isReserved(it) ? 1 : 0;
  return count;
}

struct Need {
  const char *Name;
  std::vector<int> Zones;
  double Demand;
  int Hosts;
  int Needed;
};

std::ostream &operator<<(std::ostream &out, const Need &it) {
  return out << it.Name;
}

const Need Needs[] = {
    {"by demand", {16, 16, 16, 16}, 5, 68, 10},
    {"at least one per zone", {16, 16, 16, 16}, 0.1, 68, 4},
    {"a zone without engines", {16, 0, 16, 16}, 0.1, 68, 3},
    {"at most half", {16, 16, 16, 16}, 100, 68, 32},
    {"half goes before one per zone", {2, 2, 1, 1, 1, 1}, 0.1, 68, 4},
    {"too few engines", {4, 3}, 5, 68, 0},
    {"too few hosts", {16, 16, 16, 16}, 5, 47, 0},
    {"no demand known", {16, 16, 16, 16}, 0, 68, 0},
    {"invalid demand", {16, 16, 16, 16}, std::nan(""), 68, 0},
    {"infinite demand",
     {16, 16, 16, 16},
     std::numeric_limits<double>::infinity(),
     68,
     32},
};

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_partition)

// Too many reserved engines would leave too few for long prompts; deployments
// outside of the condition must be served as before.
BOOST_DATA_TEST_CASE(number_of_reserved_engines,
                     boost::unit_test::data::make(Needs), need) {
  PromptPartitionInput input = fleetOf(need.Zones, need.Demand);
  input.Hosts = need.Hosts;
  BOOST_TEST(PromptPartition(separating()).needed(input) == need.Needed);
  BOOST_TEST(settled(input).count() == need.Needed);
}

// Hosts receive reports at different times. If a small difference in demand
// selected other engines, long prompts of one host would go to the engines that
// another one reserves.
BOOST_AUTO_TEST_CASE(hosts_with_differing_demand_agree_up_to_a_few_engines) {
  const PromptPartitionInput input = fleetOf({16, 16, 0, 16}, 6);
  const PromptPartition first = settled(input);
  for (const double demand : {5.0, 5.5, 6.4, 7.0}) {
    const PromptPartition second = settled(fleetOf({16, 16, 0, 16}, demand));
    BOOST_TEST(differing(first, second, input) ==
               std::abs(first.count() - second.count()));
    BOOST_TEST(std::abs(first.count() - second.count()) <= 2);
  }
}

// A jump in demand, or a report that is lost for a moment, must not move many
// engines at once: their queues hold long prompts.
BOOST_AUTO_TEST_CASE(changes_by_one_engine_at_a_time) {
  PromptPartition partition(separating());
  Instant now{seconds(100)};
  const auto play = [&](double demand, int ticks) {
    for (int n = 0; n < ticks; ++n, now += milliseconds(250)) {
      const int before = partition.count();
      partition.update(fleetOf({16, 16, 16, 16}, demand), now);
      BOOST_TEST(std::abs(partition.count() - before) <= 1);
    }
  };
  play(8, 4);
  BOOST_TEST(partition.count() == 0);
  play(8, 40);
  BOOST_TEST(partition.count() == 16);
  // Shorter than the delay of a change.
  play(0, 3);
  BOOST_TEST(partition.count() == 16);
  // Within the hysteresis.
  play(7.5, 40);
  BOOST_TEST(partition.count() == 16);
  play(4, 60);
  BOOST_TEST(partition.count() == 9);
}

// While the number rises from zero, all short prompts would go to the first
// reserved engine and wait there for seconds.
BOOST_AUTO_TEST_CASE(too_few_reserved_engines_are_not_preferred) {
  PromptPartition partition(separating());
  Instant now{seconds(100)};
  const PromptPartitionInput input = fleetOf({16, 16, 16, 16}, 8);
  for (; partition.count() < 12; now += milliseconds(250)) {
    partition.update(input, now);
    BOOST_TEST(!partition.hasCapacity());
  }
  BOOST_TEST(settled(input).hasCapacity());
}

// With a share of 0, the operator has turned the separation off.
BOOST_AUTO_TEST_CASE(a_share_of_zero_reserves_nothing) {
  const PromptPartition off;
  BOOST_TEST(off.needed(fleetOf({16, 16}, 5)) == 0);
  BOOST_TEST(!off.isShort(1));
  BOOST_TEST(PromptPartition(separating()).isShort(50));
  BOOST_TEST(!PromptPartition(separating()).isShort(51));
}

// Short prompts that are drawn to reserved engines at any load wait there for
// slots; those that are drawn at any wait have their first token much later.
BOOST_AUTO_TEST_CASE(reserved_engines_are_preferred_within_bounds) {
  const PromptPartition partition(separating());
  BOOST_TEST(partition.allowedExtraWait(100) == 0);
  BOOST_TEST(partition.allowedExtraWait(101) == 200);
  BOOST_TEST(PromptPartition().allowedExtraWait(100) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
