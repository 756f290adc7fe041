#include "LibOperator/QuarantineObject.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace sorrelbay;

namespace {

const Instant Now{seconds(1000)};

CrashKnowledge sampleKnowledge() {
  CrashKnowledge out;
  out.Quarantines[{ServiceId("engines"), {"a"}}] = {Now - seconds(60), {}, 3};
  out.Quarantines[{ServiceId("engines"), {"a", "b"}}] = {Now - seconds(90),
                                                         Now - seconds(80), 4};
  UpstreamCrash crash;
  crash.Upstream = UpstreamId("u");
  crash.StartedMs = 7;
  crash.Service = ServiceId("engines");
  crash.At = Now - seconds(5);
  crash.Suspects["c"] = {Now - seconds(6), 18446744073709551615UL};
  out.Crashes.push_back(crash);
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quarantine_object)

BOOST_AUTO_TEST_CASE(an_object_is_read_as_it_was_written) {
  const CrashKnowledge written = sampleKnowledge();
  const CrashKnowledge read =
      parseQuarantineObject(renderQuarantineObject(written));
  BOOST_CHECK(read.Quarantines == written.Quarantines);
  BOOST_REQUIRE(read.Crashes.size() == 1);
  BOOST_CHECK(read.Crashes[0].Upstream == written.Crashes[0].Upstream);
  BOOST_TEST(read.Crashes[0].StartedMs == 7);
  BOOST_CHECK(read.Crashes[0].At == written.Crashes[0].At);
  BOOST_CHECK(read.Crashes[0].Suspects == written.Crashes[0].Suspects);
}

// A caller names a part with bytes that are no text. The object can't be
// written, or what is read from it is another part, which is written again.
BOOST_AUTO_TEST_CASE(any_part_is_read_as_it_was_written) {
  std::string all;
  for (int byte = 0; byte < 256; ++byte)
    all += static_cast<char>(byte);
  CrashKnowledge written;
  UpstreamCrash crash;
  for (const std::string &part : {std::string("caf\xe9"), all, std::string("%"),
                                  std::string("%41"), std::string("A")}) {
    written.Quarantines[{ServiceId("engines"), {part}}] = {Now, {}, 3};
    crash.Suspects[part] = {Now, 1};
  }
  written.Crashes.push_back(crash);
  CrashKnowledge read = parseQuarantineObject(renderQuarantineObject(written));
  BOOST_CHECK(read.Quarantines == written.Quarantines);
  BOOST_REQUIRE(read.Crashes.size() == 1);
  BOOST_CHECK(read.Crashes[0].Suspects == crash.Suspects);
  const std::string table = renderQuarantineTable(written.Quarantines, Now);
  BOOST_TEST(table.find("caf%E9") != std::string::npos);
  // The form of a call's fingerprint.
  BOOST_TEST(readablePart("call:01-2_3.4") == "call:01-2_3.4");
  BOOST_TEST(releaseQuarantines(read.Quarantines, "caf%E9", Now) == 1);
}

// Another program has written to the object.
BOOST_AUTO_TEST_CASE(a_malformed_object_is_refused) {
  const std::string withoutParts =
      R"({"quarantines":[{"service":"s","parts":[],"declared_us":1,)"
      R"("released_us":0,"crashes":3}],"crashes":[]})";
  const std::string withoutFields = R"({"quarantines":[{}],"crashes":[]})";
  for (const std::string &body :
       {std::string(), std::string("[]"), std::string("{}"), withoutFields,
        withoutParts})
    BOOST_CHECK_THROW(parseQuarantineObject(body), QuarantineObjectMalformed);
}

// The other quarantines must stay in force.
BOOST_AUTO_TEST_CASE(a_malformed_quarantine_costs_only_itself) {
  auto object =
      nlohmann::json::parse(renderQuarantineObject(sampleKnowledge()));
  const std::size_t quarantines = object["quarantines"].size();
  object["quarantines"].push_back({{"service", 5}});
  object["crashes"].push_back(7);
  std::vector<std::string> refused;
  const CrashKnowledge read = readQuarantineObject(object.dump(), refused);
  BOOST_TEST(read.Quarantines.size() == quarantines);
  BOOST_TEST(read.Crashes.size() == 1U);
  BOOST_TEST(refused.size() == 2U);
}

// A part that stays in a quarantine of several would be rejected with them.
BOOST_AUTO_TEST_CASE(a_part_is_released_wherever_it_is_named) {
  QuarantineMarks marks = sampleKnowledge().Quarantines;
  marks[{ServiceId("other"), {"a", "z"}}] = {Now - seconds(1), {}, 3};
  BOOST_TEST(releaseQuarantines(marks, "a", Now) == 2);
  for (const auto &[key, mark] : marks)
    BOOST_TEST(!mark.isInForce());
  BOOST_TEST(releaseQuarantines(marks, "a", Now) == 0);
}

// The operator's clock is behind that of the hosts.
BOOST_AUTO_TEST_CASE(a_quarantine_of_the_future_is_released) {
  QuarantineMarks marks;
  marks[{ServiceId("engines"), {"a"}}] = {Now + seconds(60), {}, 3};
  BOOST_TEST(releaseQuarantines(marks, "a", Now) == 1);
  BOOST_TEST(!marks.begin()->second.isInForce());
}

BOOST_AUTO_TEST_CASE(the_table_lists_those_in_force_first) {
  BOOST_TEST(renderQuarantineTable(sampleKnowledge().Quarantines, Now) ==
             "engines a quarantined 60 s ago, 3 crashes\n"
             "engines a+b released 80 s ago, 4 crashes\n");
}

BOOST_AUTO_TEST_SUITE_END()
