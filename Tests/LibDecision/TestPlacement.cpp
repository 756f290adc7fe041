#include "LibDecision/Placement.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace sorrelbay;

namespace {

const Instant Start{seconds(1000)};

UpstreamState upstream(const char *id, int openCalls,
                       std::int64_t backlogTokens) {
  UpstreamState state;
  state.Id = UpstreamId(id);
  state.OfService = ServiceId("quotes");
  state.OfVersion = VersionId("v1");
  state.InZone = ZoneId("a");
  state.ReportedOpenCalls = openCalls;
  state.ReportedBacklogTokens = backlogTokens;
  state.ReportedAt = Start;
  return state;
}

PlacementRequest request(const char *conversation = "") {
  PlacementRequest request;
  request.ForService = ServiceId("quotes");
  request.OwnZone = ZoneId("a");
  request.Conversation = ConversationKey(conversation);
  request.PromptTokens = 4000;
  return request;
}

struct PlacementRow {
  const char *Name;
  std::vector<UpstreamState> Upstreams;
  VersionId AllowedVersion;
  std::vector<UpstreamId> Tried;
  const char *Wanted;
};

std::ostream &operator<<(std::ostream &out, const PlacementRow &row) {
  return out << row.Name;
}

UpstreamState leaving(UpstreamState state) {
  state.IsLeaving = true;
  return state;
}

UpstreamState ofVersion(UpstreamState state, const char *version) {
  state.OfVersion = VersionId(version);
  return state;
}

const PlacementRow PlacementRows[] = {
    {"less backlog",
     {upstream("1", 0, 9000), upstream("2", 0, 100)},
     VersionId(),
     {},
     "2"},
    {"fewer open calls",
     {upstream("1", 90, 0), upstream("2", 3, 0)},
     VersionId(),
     {},
     "2"},
    {"leaving is passed over",
     {upstream("1", 50, 9000), leaving(upstream("2", 0, 0))},
     VersionId(),
     {},
     "1"},
    {"only the allowed version",
     {ofVersion(upstream("1", 0, 0), "v2"), upstream("2", 50, 9000)},
     VersionId("v1"),
     {},
     "2"},
    {"not one that was tried",
     {upstream("1", 0, 0), upstream("2", 50, 9000)},
     VersionId(),
     {UpstreamId("1")},
     "2"},
    {"none is left", {leaving(upstream("1", 0, 0))}, VersionId(), {}, nullptr},
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTests)

BOOST_DATA_TEST_CASE(chooses_the_cheapest_eligible_upstream,
                     boost::unit_test::data::make(PlacementRows), row) {
  PlacementRequest wanted = request();
  wanted.AllowedVersion = row.AllowedVersion;
  wanted.Tried = row.Tried;
  const PlacementChoice choice =
      Placement().choose(row.Upstreams, wanted, Start);
  BOOST_CHECK_EQUAL(choice.Upstream ? choice.Upstream->text() : "none",
                    row.Wanted != nullptr ? row.Wanted : "none");
}

// A burst arrives between two load reports. Without counting its own calls, the
// daemon would send all of them to the upstream that the last report showed as
// idle.
BOOST_AUTO_TEST_CASE(counts_its_own_sends_since_the_report) {
  Placement placement;
  const std::vector<UpstreamState> upstreams = {upstream("1", 0, 0),
                                                upstream("2", 0, 3000)};
  int sentToFirst = 0;
  for (int n = 0; n < 20; ++n) {
    const PlacementChoice choice =
        placement.choose(upstreams, request(), Start + microseconds(1));
    sentToFirst += choice.Upstream == UpstreamId("1") ? 1 : 0;
    placement.noteSent(*choice.Upstream, request(), 0,
                       Start + microseconds(n + 1));
  }
  BOOST_CHECK_GE(sentToFirst, 9);
  BOOST_CHECK_LE(sentToFirst, 11);
}

BOOST_AUTO_TEST_CASE(returns_to_the_upstream_that_holds_the_prefix) {
  Placement placement;
  const std::vector<UpstreamState> upstreams = {upstream("1", 2, 1000),
                                                upstream("2", 0, 0)};
  placement.noteSent(UpstreamId("1"), request("c"), 0, Start);
  const PlacementChoice choice =
      placement.choose(upstreams, request("c"), Start + seconds(2));
  BOOST_CHECK(choice.Upstream == UpstreamId("1"));
  BOOST_CHECK_EQUAL(choice.CachedTokens, 4000);
  placement.noteEvicted(UpstreamId("1"), ConversationKey("c"));
  BOOST_CHECK_EQUAL(
      placement.choose(upstreams, request("c"), Start + seconds(2))
          .CachedTokens,
      0);
}

// The next turn of a conversation goes to an entry host that has not seen the
// conversation, because the caller's address expired. A different choice of
// upstream would recompute the whole prompt.
BOOST_AUTO_TEST_CASE(daemons_agree_on_a_home_without_communication) {
  const std::vector<UpstreamState> upstreams = {
      upstream("1", 0, 0), upstream("2", 0, 0), upstream("3", 0, 0)};
  for (int n = 0; n < 50; ++n) {
    PlacementRequest turn = request(std::to_string(n).c_str());
    turn.Seed = static_cast<std::uint64_t>(n);
    PlacementRequest next = turn;
    next.Seed = turn.Seed + 1;
    BOOST_CHECK(Placement().choose(upstreams, turn, Start).Upstream ==
                Placement().choose(upstreams, next, Start).Upstream);
  }
}

BOOST_AUTO_TEST_CASE(prefix_table_evicts_the_least_recently_used) {
  PrefixTable table(2);
  const UpstreamId upstream("1");
  table.note(upstream, ConversationKey("a"), 10);
  table.note(upstream, ConversationKey("b"), 20);
  table.note(upstream, ConversationKey("a"), 30);
  table.note(upstream, ConversationKey("c"), 40);
  BOOST_CHECK_EQUAL(table.cachedTokensAt(upstream, ConversationKey("a")), 30);
  BOOST_CHECK_EQUAL(table.cachedTokensAt(upstream, ConversationKey("b")), 0);
  BOOST_CHECK_EQUAL(table.cachedTokensAt(UpstreamId("2"), ConversationKey("c")),
                    0);
  table.forget(upstream);
  BOOST_CHECK_EQUAL(table.size(), 0U);
}

BOOST_AUTO_TEST_SUITE_END()
