#include "../LibDecision/SoakSeeds.h"
#include "FleetSimulation.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace sorrelbay;

namespace {

struct Size {
  int Hosts;
  int Zones;
};

const Size Sizes[] = {{1, 1}, {7, 4}, {12, 1}, {24, 9}, {40, 4}};

std::ostream &operator<<(std::ostream &out, const Size &size) {
  return out << size.Hosts << " hosts in " << size.Zones << " zones";
}

struct Left {
  FleetOmission Out;
  const char *Rule;
  Size At;
};

const Left Omissions[] = {
    {FleetOmission::PeersUse, "QUOTA", {7, 4}},
    {FleetOmission::Budget, "BUDGET", {7, 4}},
    {FleetOmission::LeaseEnd, "ONE", {7, 4}},
};

std::ostream &operator<<(std::ostream &out, const Left &left) {
  return out << "without what keeps " << left.Rule;
}

constexpr int Seconds = 40;

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

// Hosts are killed, freeze and lose each other and the store while a team asks
// for three times its allotment. The other teams would wait, a sick desk would
// be asked again and again, and two hosts would bill the same window.
BOOST_DATA_TEST_CASE(randomised_hosts_keep_the_rules_together,
                     boost::unit_test::data::make(Sizes), size) {
  const std::uint64_t seeds = soakSeeds(size.Hosts > 20 ? 1 : 6);
  std::int64_t calls = 0;
  int faults = 0;
  int holders = 0;
  double mostUsed = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    FleetSimulation world({seed, size.Hosts, size.Zones});
    const std::string broken = world.play(Seconds);
    BOOST_TEST(broken == "", "seed " << seed << ": " << broken);
    calls += world.calls();
    faults += world.faults();
    holders += world.holders();
    mostUsed = std::max(mostUsed, world.mostUsed());
  }
  BOOST_TEST_MESSAGE(size << ": " << seeds << " seeds, " << calls << " calls, "
                          << faults << " faults, " << holders << " holders, "
                          << mostUsed << " of the allotment");
  BOOST_TEST(holders > 0);
}

/// A fleet and a seed that broke the rule once.
struct Storm {
  Size Of;
  std::uint64_t OnceRed;
};

const Storm Storms[] = {{{40, 4}, 13}, {{80, 5}, 7}};

std::ostream &operator<<(std::ostream &out, const Storm &storm) {
  return out << storm.Of;
}

// The store breaks off all its watches while one team begins to send six times
// its allotment. All hosts that aggregate for a zone fail to reach the store at
// the same moment; were others to aggregate in their place, what zones let in
// between the two would be charged to nobody, and the team would get more than
// its part.
BOOST_DATA_TEST_CASE(randomised_storms_keep_the_allotment,
                     boost::unit_test::data::make(Storms), storm) {
  std::set<std::uint64_t> seeds{storm.OnceRed};
  for (std::uint64_t seed = 1; seed <= soakSeeds(2); ++seed)
    seeds.insert(seed);
  double mostUsed = 0;
  for (const std::uint64_t seed : seeds) {
    FleetPlan plan{seed, storm.Of.Hosts, storm.Of.Zones};
    plan.HasStorms = true;
    FleetSimulation world(plan);
    const std::string broken = world.play(Seconds);
    BOOST_TEST(broken == "", "seed " << seed << ": " << broken);
    mostUsed = std::max(mostUsed, world.mostUsed());
  }
  BOOST_TEST_MESSAGE(storm << ": " << seeds.size() << " seeds, " << mostUsed
                           << " of the allotment");
}

BOOST_DATA_TEST_CASE(each_part_left_out_is_noticed,
                     boost::unit_test::data::make(Omissions), left) {
  bool isNoticed = false;
  for (std::uint64_t seed = 1; seed <= 40 && !isNoticed; ++seed) {
    FleetSimulation world({seed, left.At.Hosts, left.At.Zones, left.Out});
    isNoticed = world.play(Seconds).find(left.Rule) == 0;
  }
  BOOST_TEST(isNoticed);
}

BOOST_AUTO_TEST_SUITE_END()
