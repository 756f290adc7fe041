#include "LibBase/Rfc3339.h"
#include "LibBase/TomlReader.h"
#include "LibOperator/BundleFile.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace sorrelbay;

namespace {

const Instant ReferenceTime = *parseRfc3339("2026-12-03T20:00:00Z");

const std::string ValidFile = R"(generation = 7
[[service]]
id = "floor-model"
kind = "engine"
deadline_policy = "in_time"
[[service]]
id = "crew-desk"
kind = "desk"
[[version]]
id = "floor-1"
service = "floor-model"
share = 0.0
[[version]]
id = "floor-2"
service = "floor-model"
share = 1.0
deadline = "2026-12-04T04:00:00+01:00"
adapters = ["oak"]
[[version]]
id = "crew-1"
service = "crew-desk"
[[route]]
id = "quote"
service = "floor-model"
latency_target_ms = 550
token_target_ms = 74
[[route]]
id = "booking"
service = "crew-desk"
repeatable = false
priority = 5
latency_target_ms = 300
[[team]]
id = "sales"
weight = 3
[cost]
reclaimable_share = 0.54
)";

/// A replacement in the valid file and the error that it must cause.
struct FaultRow {
  const char *Name;
  const char *Old;
  const char *New;
  const char *Expected;
};

std::ostream &operator<<(std::ostream &out, const FaultRow &row) {
  return out << row.Name;
}

const FaultRow FaultRows[] = {
    {"no generation", "generation = 7", "", "b.toml: generation: is missing"},
    {"generation 0", "generation = 7", "generation = 0",
     "b.toml:1: generation: must be from 1 to 9007199254740991"},
    {"unknown key", "weight = 3", "wieght = 3",
     "b.toml:35: team[0].wieght: is not a known key"},
    {"kind", "kind = \"desk\"", "kind = \"table\"",
     "b.toml:8: service[1].kind: must be \"engine\" or \"desk\""},
    {"policy", "\"in_time\"", "\"soon\"",
     "b.toml:5: service[0].deadline_policy: must be \"safe\" or \"in_time\""},
    {"id", "id = \"sales\"", "id = \"sa les\"",
     "b.toml:34: team[0].id: must be 1 to 100 letters, digits, '-', '_' or "
     "'.'"},
    {"route of no service", "service = \"crew-desk\"\nrepeatable",
     "service = \"van-desk\"\nrepeatable",
     "b.toml:29: route[1].service: is not a service of this bundle"},
    {"version of no service", "service = \"floor-model\"\nshare = 1.0",
     "service = \"wall-model\"\nshare = 0.0",
     "b.toml:15: version[1].service: is not a service of this bundle\n"
     "b.toml:3: service[0].id: the shares of its versions add up to 0.000000, "
     "not to 1"},
    {"shares", "share = 0.0", "share = 0.25",
     "b.toml:3: service[0].id: the shares of its versions add up to 1.250000, "
     "not to 1"},
    {"two without deadline", "deadline = \"2026-12-04T04:00:00+01:00\"", "",
     "b.toml: version[1].deadline: is missing; only one version of a service "
     "may omit it"},
    {"no time", "04:00:00+01:00", "04:00:00",
     "b.toml:17: version[1].deadline: must be an RFC 3339 time with a UTC "
     "offset"},
    {"both deadlines", "adapters", "deadline_in_s = 60\nadapters",
     "b.toml:18: version[1].deadline_in_s: can't be combined with deadline"},
    {"same id", "\"floor-2\"", "\"floor-1\"",
     "b.toml:14: version[1].id: is already in use"},
    {"engine that may not be repeated", "token_target_ms = 74",
     "repeatable = false",
     "b.toml:26: route[0].repeatable: may be false only for a route to a desk"},
    {"service without version", "service = \"crew-desk\"\n[[route]]",
     "service = \"floor-model\"\nshare = 0.0\ndeadline_in_s = 9\n[[route]]",
     "b.toml:7: service[1].id: has no version in this bundle"},
    {"two faults at once", "generation = 7", "generation = 'x'\nspeed = 1",
     "b.toml:1: generation: must be a whole number\n"
     "b.toml:2: speed: is not a known key"},
};

std::string replaced(std::string text, const FaultRow &row) {
  const std::size_t at = text.find(row.Old);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, std::string(row.Old).size(), row.New);
}

} // namespace

BOOST_AUTO_TEST_SUITE(BundleFileTests)

BOOST_AUTO_TEST_CASE(reads_every_key) {
  const Bundle bundle = parseBundle(ValidFile, "b.toml", ReferenceTime);
  BOOST_CHECK_EQUAL(bundle.Generation, 7);
  const Service *service = findService(bundle, ServiceId("floor-model"));
  BOOST_REQUIRE(service != nullptr);
  BOOST_CHECK(service->Policy == DeadlinePolicy::InTime);
  const UpstreamVersion *version = findVersion(bundle, VersionId("floor-2"));
  BOOST_REQUIRE(version != nullptr);
  BOOST_CHECK_EQUAL(formatRfc3339(version->Deadline), "2026-12-04T03:00:00Z");
  BOOST_CHECK_EQUAL(version->Adapters.at(0), "oak");
  const Route *route = findRoute(bundle, RouteId("booking"));
  BOOST_REQUIRE(route != nullptr);
  BOOST_CHECK(!route->Repeatable);
  BOOST_CHECK_EQUAL(route->Priority, 5);
  BOOST_CHECK(route->LatencyTarget == milliseconds(300));
  BOOST_CHECK_EQUAL(bundle.Cost.ReclaimableShare, 0.54);
}

BOOST_AUTO_TEST_CASE(counts_a_deadline_in_seconds_from_now) {
  const FaultRow change{"", "deadline = \"2026-12-04T04:00:00+01:00\"",
                        "deadline_in_s = 90", ""};
  const Bundle bundle =
      parseBundle(replaced(ValidFile, change), "b", ReferenceTime);
  BOOST_CHECK(bundle.Versions.at(1).Deadline == ReferenceTime + seconds(90));
}

BOOST_DATA_TEST_CASE(refuses_and_names_every_fault,
                     boost::unit_test::data::make(FaultRows), row) {
  try {
    parseBundle(replaced(ValidFile, row), "b.toml", ReferenceTime);
    BOOST_ERROR("the bundle was accepted");
  } catch (const TomlError &error) {
    BOOST_CHECK_EQUAL(error.what(), row.Expected);
  }
}

BOOST_AUTO_TEST_SUITE_END()
