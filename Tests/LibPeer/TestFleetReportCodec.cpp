#include "LibPeer/FleetReportCodec.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace sorrelbay;

namespace {

FleetReport reportWithLimits() {
  FleetReport report;
  report.Reporter = HostId("h");
  report.SentAt = 5000;
  report.RateLimits[UpstreamId("limited")] = {2.2, Instant(Duration(4000))};
  report.RateLimits[UpstreamId("ended")] = {std::nullopt,
                                            Instant(Duration(3000))};
  return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_report_codec)

BOOST_AUTO_TEST_CASE(rate_limits_and_their_ends_are_transferred) {
  const auto message =
      decodeFleetMessage(encodeFleetMessage(reportWithLimits()));
  const RateLimitStatements limits = std::get<FleetReport>(message).RateLimits;
  BOOST_REQUIRE(limits.size() == 2U);
  BOOST_TEST(*limits.at(UpstreamId("limited")).PerSecond == 2.2);
  BOOST_TEST((limits.at(UpstreamId("limited")).At == Instant(Duration(4000))));
  BOOST_TEST(!limits.at(UpstreamId("ended")).PerSecond);
}

// Hosts are upgraded one after the other. A new one must not refuse the
// reports of those before.
BOOST_AUTO_TEST_CASE(a_report_of_an_earlier_version_is_accepted) {
  auto fields =
      nlohmann::json::from_cbor(encodeFleetMessage(reportWithLimits()));
  fields.erase(fields.size() - 1);
  const auto bytes = nlohmann::json::to_cbor(fields);
  const auto message =
      decodeFleetMessage(std::string(bytes.begin(), bytes.end()));
  BOOST_TEST((std::get<FleetReport>(message).Reporter == HostId("h")));
  BOOST_TEST(std::get<FleetReport>(message).RateLimits.empty());
}

BOOST_AUTO_TEST_SUITE_END()
