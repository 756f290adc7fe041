#include "../LibDecision/SoakSeeds.h"
#include "RateLimitSimulation.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

struct Size {
  int Hosts;
  int Zones;
};

const Size Sizes[] = {{1, 1}, {6, 4}, {12, 1}, {24, 4}, {58, 4}};

constexpr int Seconds = 60;

} // namespace

BOOST_AUTO_TEST_SUITE(rate_limits)

// An engine in need names the calls a second that it takes from all hosts
// together, changes and ends the limit, while hosts and engines restart, freeze
// and lose each other. Hosts went on sending as before.
BOOST_AUTO_TEST_CASE(
    randomised_hosts_keep_together_to_the_limits_of_upstreams) {
  for (const Size &size : Sizes) {
    const std::uint64_t seeds = soakSeeds(size.Hosts > 20 ? 2 : 6);
    int faults = 0;
    int statements = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      RateLimitSimulation simulation({seed, size.Hosts, size.Zones});
      const std::string violation = simulation.simulate(Seconds);
      BOOST_TEST(violation == "",
                 size.Hosts << " hosts, seed " << seed << ": " << violation);
      faults += simulation.faults();
      statements += simulation.statements();
    }
    BOOST_TEST_MESSAGE(size.Hosts << " hosts: " << seeds << " seeds, " << faults
                                  << " faults, " << statements
                                  << " changes of limits");
  }
}

// A limit is capacity, too: a small fleet without faults uses at least half of
// what its upstreams take.
BOOST_AUTO_TEST_CASE(limited_upstreams_are_used) {
  for (const int hosts : {1, 6, 12}) {
    RateLimitSimulation simulation({1, hosts, 1, false});
    BOOST_TEST(simulation.simulate(Seconds) == "");
    BOOST_TEST(simulation.limitedCalls() >= 0.5 * simulation.limitedRate());
  }
}

BOOST_AUTO_TEST_CASE(omitted_mechanisms_of_rate_limits_are_detected) {
  for (const RateLimitOmission omission :
       {RateLimitOmission::Statements, RateLimitOmission::Division}) {
    bool isDetected = false;
    for (std::uint64_t seed = 1; seed <= 10 && !isDetected; ++seed) {
      RateLimitSimulation simulation({seed, 6, 4, true, omission});
      isDetected = simulation.simulate(Seconds).find("LIMIT") == 0;
    }
    BOOST_TEST(isDetected, "omission " << static_cast<int>(omission));
  }
}

BOOST_AUTO_TEST_SUITE_END()
