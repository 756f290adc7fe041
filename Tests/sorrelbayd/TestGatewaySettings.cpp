#include "GatewaySettings.h"
#include "LibBase/TomlReader.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const std::string Good = R"(bundle_source = "store"
[host]
name = "edge-1"
zone = "z"
region = "r"
[listen]
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
addresses = "10.0.0.1:3"
peers = "10.0.0.1:4"
metrics = "10.0.0.1:5"
[store]
address = "10.1.0.1:1"
[cloud]
address = "10.1.0.2:1"
duty_calls_per_second = 50.0
[upstreams]
heartbeat_ms = 1200
[bounds]
drain_ms = 2000
grace_s = 8
plan_in_force_ms = 2000
key_removal_ms = 5000
keys_fail_closed = true
repeat_share = 0.2
repeat_window_s = 10
repeat_slack = 54
allotment_slack = 140000
allotment_window_s = 8
lease_ms = 3000
usage_window_s = 5
usage_due_s = 10
trial_share = 0.1
trial_slack = 50
trial_end_ms = 5000
address_ttl_s = 5
[[zone_regions]]
zone = "z"
region = "r"
)";

struct Change {
  const char *From;
  const char *To;
  /// The key that the fault names.
  const char *Key;
};

std::ostream &operator<<(std::ostream &out, const Change &it) {
  return out << it.To;
}

const Change Changes[] = {
    {"drain_ms = 2000", "drain_ms = \"soon\"", "drain_ms"},
    {"drain_ms = 2000", "", "drain_ms"},
    {"callers = \"10.0.0.1:1\"", "callers = \"10.0.0.1\"", "callers"},
    {"repeat_share = 0.2", "repeat_share = 7.0", "repeat_share"},
    {"zone = \"z\"", "zone = \"z\"\nzoen = \"y\"", "zoen"},
    {"name = \"edge-1\"", "", "name"},
    {"zone = \"z\"\nregion = \"r\"\n", "region = \"r\"\n", "zone"},
    {"key_removal_ms = 5000", "key_removal_ms = 0", "key_removal_ms"},
    {"drain_ms = 2000", "drain_ms = 2000\nevacuate_ms = 0", "evacuate_ms"},
    {"[bounds]", "[teams]\nurgent_reserve = -1.0\n[bounds]", "urgent_reserve"},
    {"[bounds]", "[waiting]\nmax_calls = -1\n[bounds]", "max_calls"},
    {"[bounds]", "[waiting]\nmax_calls = 20000\n[bounds]", "max_calls"},
    {"[bounds]", "[waiting]\nmax_calls = 1.5\n[bounds]", "max_calls"},
    {"[bounds]", "[waiting]\nmax_megabytes = 0\n[bounds]", "max_megabytes"},
    {"[bounds]", "[waiting]\nmax_cals = 1\n[bounds]", "max_cals"},
    {"[[zone_regions]]", "[placement]\nshort_prompt_ms = -1\n[[zone_regions]]",
     "short_prompt_ms"},
    {"[[zone_regions]]", "[placement]\nshort_share = 0.1\n[[zone_regions]]",
     "short_share"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_settings)

BOOST_AUTO_TEST_CASE(good_settings_are_read) {
  BOOST_TEST(usesStoreAsBundleSource(Good));
  BOOST_TEST(!usesStoreAsBundleSource("host = \"a\""));
  const GatewaySettings settings = parseGatewaySettings(Good, "file");
  BOOST_TEST(settings.Host.text() == "edge-1");
  BOOST_TEST((settings.Bounds.Grace == seconds(8)));
  BOOST_TEST(settings.Bounds.AllotmentSlack == 140000);
  BOOST_TEST((settings.Bounds.Evacuation == Duration::zero()));
  BOOST_TEST(settings.RegionOf.at(ZoneId("z")) == "r");
  BOOST_TEST(settings.MetricsListen == "10.0.0.1:5");
  BOOST_TEST(settings.UrgentReserve == 0.3);
  BOOST_TEST(parseGatewaySettings(Good + "[teams]\nurgent_reserve = 0", "file")
                 .UrgentReserve == 0);
  BOOST_TEST(settings.MaxWaitingCalls == 1000U);
  BOOST_TEST(settings.MaxWaitingBytes == 32000000U);
  const std::string off = "[waiting]\nmax_calls = 0\n";
  BOOST_TEST(parseGatewaySettings(Good + off, "file").MaxWaitingCalls == 0U);
}

BOOST_AUTO_TEST_CASE(the_length_of_short_prompts_is_read) {
  BOOST_TEST(
      (parseGatewaySettings(Good, "file").ShortPromptTime == Duration::zero()));
  const auto with = [](const std::string &time) {
    return parseGatewaySettings(Good + "[placement]\nshort_prompt_ms = " + time,
                                "file")
        .ShortPromptTime;
  };
  BOOST_TEST((with("0") == Duration::zero()));
  BOOST_TEST((with("50") == milliseconds(50)));
  BOOST_TEST((with("60000") == seconds(60)));
}

// Another platform writes its bounds as fractions; a daemon that refused them
// could not start there.
BOOST_AUTO_TEST_CASE(bounds_may_be_fractions) {
  std::string text = Good;
  const auto set = [&](const std::string &from, const std::string &to) {
    text.replace(text.find(from), from.size(), to);
  };
  set("grace_s = 8", "grace_s = 7.5");
  set("drain_ms = 2000", "drain_ms = 2000.5");
  set("allotment_slack = 140000", "allotment_slack = 140000.0");
  set("usage_window_s = 5", "usage_window_s = 2.5");
  const GatewaySettings settings = parseGatewaySettings(text, "file");
  BOOST_TEST((settings.Bounds.Grace == milliseconds(7500)));
  BOOST_TEST((settings.Bounds.Drain == microseconds(2000500)));
  BOOST_TEST((settings.Bounds.UsageWindow == milliseconds(2500)));
  BOOST_TEST((settings.Bounds.AllotmentWindow == seconds(8)));
  BOOST_TEST(settings.Bounds.AllotmentSlack == 140000);
}

BOOST_DATA_TEST_CASE(each_fault_is_named_by_its_key,
                     boost::unit_test::data::make(Changes), it) {
  std::string text = Good;
  text.replace(text.find(it.From), std::string(it.From).size(), it.To);
  try {
    parseGatewaySettings(text, "file");
    BOOST_TEST(false);
  } catch (const TomlError &refused) {
    BOOST_REQUIRE(!refused.faults().empty());
    BOOST_TEST(refused.faults().front().Key.find(it.Key) != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()
