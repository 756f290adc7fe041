#include "LibPeer/FleetReportCodec.h"
#include "LibPeer/MessageColumns.h"
#include "LibPeer/PeerFailures.h"
#include "LibPeer/PeerMessage.h"
#include "LibPeer/ReportStream.h"
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
  report.RejectionLimits[UpstreamId("brittle")] = {5.0,
                                                   Instant(Duration(2000))};
  FleetMember member;
  member.Host = HostId("h");
  member.Capacity = 2;
  member.RelayAddress = "10.0.0.1:7615";
  member.UnreachableServices = {ServiceId("a"), ServiceId("b")};
  member.AcceptsUpdates = true;
  report.Members = {member};
  return report;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_report_codec)

BOOST_AUTO_TEST_CASE(rate_limits_and_their_ends_are_transferred) {
  const auto message =
      decodeFleetMessage(encodeFleetMessage(reportWithLimits()));
  const LimitStatements limits = std::get<FleetReport>(message).RateLimits;
  BOOST_REQUIRE(limits.size() == 2U);
  BOOST_TEST(*limits.at(UpstreamId("limited")).PerSecond == 2.2);
  BOOST_TEST((limits.at(UpstreamId("limited")).At == Instant(Duration(4000))));
  BOOST_TEST(!limits.at(UpstreamId("ended")).PerSecond);
}

BOOST_AUTO_TEST_CASE(rejection_limits_and_members_are_transferred) {
  const auto message =
      decodeFleetMessage(encodeFleetMessage(reportWithLimits()));
  const auto &report = std::get<FleetReport>(message);
  BOOST_REQUIRE(report.RejectionLimits.size() == 1U);
  BOOST_TEST(*report.RejectionLimits.at(UpstreamId("brittle")).PerSecond == 5);
  BOOST_TEST((report.Members == reportWithLimits().Members));
}

// Hosts are upgraded one after the other. A new one must not refuse the
// reports of those before.
BOOST_AUTO_TEST_CASE(a_report_of_an_earlier_version_is_accepted) {
  auto fields =
      nlohmann::json::from_cbor(encodeFleetMessage(reportWithLimits()));
  nlohmann::json &member = fields.at(10).at(0);
  const auto decoded = [&] {
    const auto bytes = nlohmann::json::to_cbor(fields);
    return std::get<FleetReport>(
        decodeFleetMessage(std::string(bytes.begin(), bytes.end())));
  };
  fields.erase(fields.size() - 1);
  BOOST_TEST(decoded().ShortDemand.empty());
  fields.erase(fields.size() - 1);
  BOOST_TEST(decoded().Crashes.empty());
  BOOST_TEST(decoded().RejectionLimits.size() == 1U);
  fields.erase(fields.size() - 1);
  BOOST_TEST(decoded().RejectionLimits.empty());
  BOOST_TEST(decoded().RateLimits.size() == 2U);
  fields.erase(fields.size() - 1);
  BOOST_TEST(decoded().Members.front().AcceptsUpdates);
  member.erase(member.size() - 1);
  BOOST_TEST(!decoded().Members.front().AcceptsUpdates);
  BOOST_TEST(!decoded().Members.front().RelayAddress.empty());
  member.erase(member.size() - 2);
  member.erase(member.size() - 1);
  const FleetReport report = decoded();
  BOOST_TEST((report.Reporter == HostId("h")));
  BOOST_TEST(report.RateLimits.empty());
  BOOST_REQUIRE(report.Members.size() == 1U);
  BOOST_TEST(report.Members.front().Capacity == 2);
  BOOST_TEST(report.Members.front().RelayAddress.empty());
}

BOOST_AUTO_TEST_CASE(demand_of_short_prompts_is_transferred) {
  FleetReport report;
  report.Demand[ServiceId("s")] = 3;
  report.ShortDemand[ServiceId("s")] = 1.5;
  const auto message = decodeFleetMessage(encodeFleetMessage(report));
  const auto &read = std::get<FleetReport>(message);
  BOOST_CHECK(read.Demand == report.Demand);
  BOOST_CHECK(read.ShortDemand == report.ShortDemand);
}

BOOST_AUTO_TEST_CASE(knowledge_of_crashes_is_transferred) {
  FleetReport report;
  UpstreamCrash crash;
  crash.Upstream = UpstreamId("u");
  crash.StartedMs = 7;
  crash.Service = ServiceId("s");
  crash.At = Instant(Duration(9000));
  crash.Suspects["part"] = {Instant(Duration(8000)), 18446744073709551615UL};
  report.Crashes.Crashes = {crash};
  report.Crashes.SurvivedAt[{ServiceId("s"), "sound"}] =
      Instant(Duration(7000));
  report.Crashes.Quarantines[{ServiceId("s"), {"a", "b"}}] = {
      Instant(Duration(6000)), Instant(Duration(5000)), 4};
  const auto message = decodeFleetMessage(encodeFleetMessage(report));
  const CrashKnowledge read = std::get<FleetReport>(message).Crashes;
  BOOST_REQUIRE(read.Crashes.size() == 1U);
  BOOST_CHECK(read.Crashes[0].Upstream == crash.Upstream);
  BOOST_TEST(read.Crashes[0].StartedMs == 7);
  BOOST_CHECK(read.Crashes[0].Service == crash.Service);
  BOOST_CHECK(read.Crashes[0].At == crash.At);
  BOOST_CHECK(read.Crashes[0].Suspects == crash.Suspects);
  BOOST_CHECK(read.SurvivedAt == report.Crashes.SurvivedAt);
  BOOST_CHECK(read.Quarantines == report.Crashes.Quarantines);
}

// A host of another version relays a change that this one can't decode. Passed
// over, the change would be lost; refused, all others with it.
BOOST_AUTO_TEST_CASE(a_malformed_relayed_change_is_fetched_from_the_store) {
  const nlohmann::json good = {"a", "{}", "", 7, false};
  const nlohmann::json bad = {"b", 5};
  const auto bytes = nlohmann::json::to_cbor(
      {FleetFormatNumber, static_cast<int>(FleetMessageKind::RelayedChanges), 0,
       3, 9, false, 100, 0, nlohmann::json::array({good, bad})});
  const FleetMessage message = decodeFleetMessage({bytes.begin(), bytes.end()});
  const auto &relayed = std::get<RelayedChanges>(message);
  BOOST_TEST(relayed.Changes.Changes.size() == 1U);
  BOOST_TEST(relayed.IsTruncated);
}

// Decoding takes stack space for each level of a message: a few hundred
// thousand bytes ended the process.
BOOST_AUTO_TEST_CASE(a_deeply_nested_message_is_refused) {
  const std::string arrays(400'000, '\x81');
  BOOST_CHECK_THROW(decodeFleetMessage(arrays + '\x01'), PeerMessageRefused);
  BOOST_CHECK_THROW(ColumnReader(arrays + '\x01'), PeerMessageRefused);
  BOOST_CHECK_THROW(decodePeerMessage(arrays + '\x01'), PeerMessageRefused);
}

BOOST_AUTO_TEST_SUITE_END()
