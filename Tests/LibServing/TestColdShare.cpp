#include "LibServing/ColdShare.h"
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>

using namespace sorrelbay;

namespace {

const UpstreamId Cold("cold");
constexpr Duration Step = milliseconds(20);
constexpr Duration SimulatedTime = seconds(6);
/// The platform's tolerance above the cold rate: a factor and a number of
/// calls.
constexpr double ToleratedFactor = 1.5;
constexpr double ToleratedCalls = 5;

struct Fleet {
  std::size_t Hosts = 0;
  double PerSecond = 0;
  /// The probability that a host does not know of another one.
  double UnknownShare = 0;
};

std::ostream &operator<<(std::ostream &out, const Fleet &it) {
  return out << it.Hosts << " hosts, " << it.PerSecond << " a second, "
             << it.UnknownShare << " unknown";
}

const Fleet Fleets[] = {
    {1, 18, 0},   {6, 18, 0},     {6, 18, 0.2}, {58, 18, 0},    {58, 18, 0.2},
    {200, 18, 0}, {200, 18, 0.2}, {58, 5, 0.2}, {200, 60, 0.2}, {6, 60, 0.2}};

using Share = std::function<int(const HostId &, const std::vector<HostId> &)>;

/// The arrivals at one cold upstream from hosts that always have calls to send.
/// Each host knows of most of the others, and its calls take up to 50 ms to
/// arrive.
std::vector<Instant> arrivals(const Fleet &fleet, const Share &shareOf) {
  std::mt19937_64 random(fleet.Hosts);
  const auto draw = [&] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  std::vector<HostId> all;
  for (std::size_t n = 0; n < fleet.Hosts; ++n)
    all.emplace_back("host-" + std::to_string(n));
  std::map<HostId, int> shares;
  for (const HostId &self : all) {
    std::vector<HostId> knownHosts;
    for (const HostId &it : all)
      if (it == self || draw() >= fleet.UnknownShare)
        knownHosts.push_back(it);
    shares[self] = shareOf(self, knownHosts);
  }
  std::map<HostId, ColdRateLimiter> limiters;
  std::vector<Instant> out;
  const Instant begin{seconds(1000)};
  for (Instant now = begin; now < begin + SimulatedTime; now += Step)
    for (const HostId &self : all)
      if (limiters[self].hasCapacity(shares[self], now)) {
        limiters[self].note(now);
        out.push_back(now + fromSeconds(0.05 * draw()));
      }
  std::sort(out.begin(), out.end());
  return out;
}

/// The largest number of arrivals within any second.
std::size_t maxArrivalsPerSecond(const std::vector<Instant> &arrived) {
  std::size_t most = 0;
  for (auto first = arrived.begin(); first != arrived.end(); ++first) {
    const auto last =
        std::lower_bound(first, arrived.end(), *first + seconds(1));
    most = std::max<std::size_t>(most, last - first);
  }
  return most;
}

double allowed(double perSecond) {
  return perSecond * ToleratedFactor + ToleratedCalls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cold_share)

// A replica that has just started gets calls from all hosts at once and
// crashes; after its restart it is cold again.
BOOST_DATA_TEST_CASE(all_hosts_together_keep_to_the_cold_rate,
                     boost::unit_test::data::make(Fleets), it) {
  const auto arrived =
      arrivals(it, [&](const HostId &self, const std::vector<HostId> &hosts) {
        return coldRateShare(Cold, self, hosts, it.PerSecond);
      });
  BOOST_TEST(static_cast<double>(maxArrivalsPerSecond(arrived)) <=
             allowed(it.PerSecond));
  // The rate must also be used: after a reclaim all remaining replicas may be
  // cold.
  BOOST_TEST(static_cast<double>(arrived.size()) >=
             0.7 * it.PerSecond * toSeconds(SimulatedTime));
}

// Verifies that the check above detects a wrong algorithm: equal shares, but at
// least one call per second for each host, exceed the rate with many hosts.
BOOST_AUTO_TEST_CASE(equal_parts_for_all_hosts_are_noticed) {
  const Fleet fleet{58, 18, 0};
  const auto arrived =
      arrivals(fleet, [](const HostId &, const std::vector<HostId> &hosts) {
        return std::max(1, static_cast<int>(18 / hosts.size()));
      });
  BOOST_TEST(static_cast<double>(maxArrivalsPerSecond(arrived)) >
             allowed(fleet.PerSecond));
}

// Guards against a host that sends calls before it knows of any other host.
BOOST_AUTO_TEST_CASE(a_host_without_known_hosts_has_no_share) {
  const HostId self("host-1");
  BOOST_TEST(coldRateShare(Cold, self, {}, 18) == 0);
  BOOST_TEST(coldRateShare(Cold, self, {HostId("host-2")}, 18) == 0);
  BOOST_TEST(coldRateShare(Cold, self, {self}, 18) == 18);
  BOOST_TEST(coldRateShare(Cold, self, {self}, 0.4) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
