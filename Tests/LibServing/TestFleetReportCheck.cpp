#include "LibServing/FleetReportCheck.h"
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace sorrelbay;

namespace {

constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();
constexpr double Infinite = std::numeric_limits<double>::infinity();
constexpr std::int64_t Most = std::numeric_limits<std::int64_t>::max();
const TeamId Team("t");
const TeamId Other("u");
const UpstreamId Upstream("r0");

FleetReport plausibleReport() {
  FleetReport out;
  out.Reporter = HostId("h");
  out.Uptime = seconds(5);
  out.Members.resize(1);
  out.Members[0].Capacity = 0.25;
  out.Open[Upstream] = {3, 700, 900};
  out.Demand[ServiceId("s")] = 2.5;
  out.Used[Team] = 12;
  out.Pace[Team] = 3;
  out.Levels[Team] = -40;
  out.Usage[7][Team] = 9;
  out.RateLimits[Upstream] = {20.0, Instant(seconds(1))};
  out.RejectionLimits[Upstream] = {std::nullopt, Instant(seconds(1))};
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_report_check)

BOOST_AUTO_TEST_CASE(a_plausible_report_stays_as_it_is) {
  FleetReport report = plausibleReport();
  BOOST_TEST(countImplausible(report) == 0U);
  removeImplausible(report);
  BOOST_TEST(report.Open.size() == 1U);
  BOOST_TEST(report.Levels.size() == 1U);
  BOOST_TEST(report.RejectionLimits.size() == 1U);
}

// A host of another version, or a faulty one, reports figures that no host can
// have. In sums and choices they end the receiver or stay for good.
BOOST_AUTO_TEST_CASE(an_implausible_figure_costs_only_itself) {
  FleetReport report = plausibleReport();
  report.Uptime = -seconds(1);
  report.Members[0].Capacity = NotANumber;
  report.Members[0].FencingToken = std::numeric_limits<std::uint64_t>::max();
  report.Open[UpstreamId("r1")] = {-1, 0, 0};
  report.Open[UpstreamId("r2")] = {1, -500, 0};
  report.Open[UpstreamId("r3")] = {1, 0, Most};
  report.Demand[ServiceId("t")] = NotANumber;
  report.ShortDemand[ServiceId("t")] = -1;
  report.Used[Other] = -5;
  report.Pace[Other] = Infinite;
  report.Levels[Other] = NotANumber;
  report.Usage[7][Other] = -1;
  report.RateLimits[UpstreamId("r1")] = {NotANumber, Instant(seconds(1))};
  report.RejectionLimits[UpstreamId("r1")] = {-3.0, Instant(seconds(1))};
  BOOST_TEST(countImplausible(report) == 14U);
  removeImplausible(report);
  BOOST_TEST(countImplausible(report) == 0U);
  BOOST_TEST(report.Members[0].Capacity == 0);
  BOOST_TEST(report.Members[0].FencingToken == 0U);
  BOOST_TEST(report.Open.size() == 1U);
  BOOST_TEST(report.Open.count(Upstream) == 1U);
  BOOST_TEST(report.Used.size() == 1U);
  BOOST_TEST(report.Usage[7].size() == 1U);
  BOOST_TEST(report.RateLimits.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
