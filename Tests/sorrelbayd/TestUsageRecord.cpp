#include "UsageRecord.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const TeamId Team("team");
const ZoneId Here("here");
constexpr WindowNumber Window = 20;
const Instant InWindow{seconds(102)};

} // namespace

BOOST_AUTO_TEST_SUITE(usage_record)

// All hosts are killed in the middle of a window. Hosts that start afterwards
// count from zero and never receive the earlier counts, so the team would be
// billed for only a part of its calls.
BOOST_AUTO_TEST_CASE(counts_survive_a_kill_of_all_hosts) {
  UsageCounts before(IncarnationId("old"), Here, seconds(5));
  for (int n = 0; n < 40; ++n)
    before.noteCallStarted(Team, InWindow);
  before.noteHost(Here, IncarnationId("old peer"), Window, {{Team, 7}});
  const std::string encodedRecord = encodeUsageRecord(
      {{{Window - 1, {{{Team, 90}}, true}}}, before.snapshotFrom(Window)});

  UsageCounts after(IncarnationId("new"), Here, seconds(5));
  for (int n = 0; n < 3; ++n)
    after.noteCallStarted(Team, InWindow);
  const UsageRecord record = decodeUsageRecord(encodedRecord);
  BOOST_TEST(record.Settled.at(Window - 1).Counts.at(Team) == 90);
  BOOST_TEST(record.Settled.at(Window - 1).IsAccepted);
  // Merged twice, since the record is read again in each term.
  for (int n = 0; n < 2; ++n)
    for (const auto &[window, known] : record.Known)
      after.mergeSnapshot(window, known);
  BOOST_TEST(after.sum(Window).at(Team) == 50);
}

BOOST_AUTO_TEST_CASE(a_record_of_an_earlier_version_is_read) {
  const UsageRecord record = decodeUsageRecord(
      R"({"windows":[{"window":3,"counts":{"team":5},"accepted":false}]})");
  BOOST_TEST(record.Settled.at(3).Counts.at(Team) == 5);
  BOOST_TEST(record.Known.empty());
}

BOOST_AUTO_TEST_CASE(a_malformed_record_is_refused) {
  for (const char *text : {"", "[]", R"({"windows":3})",
                           R"({"windows":[],"known":[{"window":"x"}]})"})
    BOOST_CHECK_THROW(decodeUsageRecord(text), UsageRecordMalformed);
}

BOOST_AUTO_TEST_SUITE_END()
