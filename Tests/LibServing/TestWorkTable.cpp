#include "LibServing/ReplicaTable.h"
#include "LibServing/WorkTable.h"
#include <boost/test/unit_test.hpp>
#include <limits>
#include <random>

using namespace sorrelbay;

namespace {

const Instant Now{seconds(1000)};
const UpstreamId Id("r0");
const CallCost Large{60000, 60500};

ReplicaRecord replica(const std::string &id) {
  ReplicaRecord out;
  out.Id = UpstreamId(id);
  out.OfService = ServiceId("model");
  out.InZone = ZoneId("a");
  out.Address = "10.0.0.1:80";
  out.Slots = 48;
  return out;
}

ReplicaRequest request() {
  ReplicaRequest out;
  out.ForService = ServiceId("model");
  out.OwnZone = ZoneId("a");
  out.Prompt = {{"shared", 500}, {"conversation", 1000}, {"own", 100}};
  out.PromptTokens = 1600;
  return out;
}

bool isNonNegative(const OutstandingWork &it) {
  return it.Calls >= 0 && it.PromptTokens >= 0 && it.Tokens >= 0;
}

/// Calls at a few upstreams in random order, some of which lose their
/// registration and get it back meanwhile.
struct RandomCalls {
  struct OpenCall {
    UpstreamId Upstream;
    CallCost Cost;
    bool HadFirstByte = false;
  };

  explicit RandomCalls(unsigned seed) : Random(seed) {
    for (int n = 0; n < Upstreams; ++n)
      Table.note(replica("r" + std::to_string(n)), Now);
  }

  unsigned below(unsigned n) {
    return std::uniform_int_distribution<unsigned>(0, n - 1)(Random);
  }

  UpstreamId anyUpstream() {
    return UpstreamId("r" + std::to_string(below(Upstreams)));
  }

  void step() {
    const unsigned kind = below(10);
    if (kind == 0)
      Table.remove(anyUpstream());
    else if (kind == 1)
      Table.note(replica(anyUpstream().text()), Now);
    else if (kind < 5 || Open.empty())
      send();
    else
      continueCall();
  }

  void send() {
    OpenCall call;
    call.Upstream = anyUpstream();
    call.Cost = {below(50000), below(60000)};
    Table.noteSent(call.Upstream, call.Cost, Now);
    Open.push_back(call);
  }

  void continueCall() {
    const std::size_t n = below(static_cast<unsigned>(Open.size()));
    OpenCall &call = Open[n];
    if (!call.HadFirstByte && below(2) == 0) {
      Table.noteFirstByte(call.Upstream, call.Cost);
      call.HadFirstByte = true;
      return;
    }
    Table.noteEnded(call.Upstream, call.Cost, call.HadFirstByte,
                    SendResult::Answered, Now);
    Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(n));
  }

  OutstandingWork expectedAt(const UpstreamId &id) const {
    OutstandingWork out;
    for (const OpenCall &it : Open)
      if (it.Upstream == id)
        out =
            out + OutstandingWork{1, it.HadFirstByte ? 0 : it.Cost.PromptTokens,
                                  it.Cost.Tokens};
    return out;
  }

  static constexpr int Upstreams = 3;
  std::mt19937 Random;
  ReplicaTable Table;
  std::vector<OpenCall> Open;
};

} // namespace

BOOST_AUTO_TEST_SUITE(work_table)

// An upstream that misses a few heartbeats is registered again while calls run
// there. Taken off a new entry, their prompts made its work negative, and the
// next choice ended the process.
BOOST_AUTO_TEST_CASE(a_new_registration_keeps_the_calls_at_the_upstream) {
  ReplicaTable table;
  table.note(replica("r0"), Now);
  table.note(replica("r1"), Now);
  table.noteSent(Id, Large, Now);
  table.remove(Id);
  table.note(replica("r0"), Now);
  BOOST_TEST(table.workAt(Id).Calls == 1);
  BOOST_TEST(table.workAt(Id).PromptTokens == Large.PromptTokens);
  table.noteFirstByte(Id, Large);
  BOOST_TEST(table.workAt(Id).PromptTokens == 0);
  BOOST_TEST(table.ownWork().count(Id) == 1U);
  BOOST_REQUIRE(table.choose(request(), Now));
  table.noteEnded(Id, Large, true, SendResult::Answered, Now);
  BOOST_TEST((table.workAt(Id) == OutstandingWork{}));
  BOOST_TEST(table.ownWork().empty());
}

// A call that ends while its upstream is not registered must not stay counted
// there for good.
BOOST_AUTO_TEST_CASE(a_call_that_ends_without_a_registration_is_not_kept) {
  ReplicaTable table;
  table.note(replica("r0"), Now);
  table.noteSent(Id, Large, Now);
  table.remove(Id);
  BOOST_TEST(table.ownWork().count(Id) == 1U);
  table.noteEnded(Id, Large, false, SendResult::Broken, Now);
  table.note(replica("r0"), Now);
  BOOST_TEST((table.workAt(Id) == OutstandingWork{}));
}

BOOST_AUTO_TEST_CASE(randomised_registrations_leave_exact_work) {
  for (unsigned seed = 0; seed < 200; ++seed) {
    RandomCalls calls(seed);
    for (int n = 0; n < 300; ++n) {
      calls.step();
      calls.Table.choose(request(), Now);
      for (int upstream = 0; upstream < RandomCalls::Upstreams; ++upstream) {
        const UpstreamId id("r" + std::to_string(upstream));
        BOOST_REQUIRE((calls.Table.workAt(id) == calls.expectedAt(id)));
      }
    }
  }
}

// Work that peers report of an upstream counts from its registration on, also
// after a time without one.
BOOST_AUTO_TEST_CASE(reported_work_outlives_a_registration) {
  ReplicaTable table;
  const SourceId peer("p");
  table.notePeer(peer, {{Id, {3, 700, 900}}});
  table.note(replica("r0"), Now);
  table.remove(Id);
  table.notePeer(peer, {{Id, {2, 500, 600}}});
  table.note(replica("r0"), Now);
  BOOST_TEST((table.workAt(Id) == OutstandingWork{2, 500, 600}));
  table.forgetPeer(peer);
  BOOST_TEST((table.workAt(Id) == OutstandingWork{}));
}

// More ends than sends must leave no figure below zero.
BOOST_AUTO_TEST_CASE(no_figure_falls_below_zero) {
  WorkTable table;
  table.noteSent(Id, {10, 20});
  table.noteSent(Id, {10, 20});
  table.noteFirstByte(Id, Large);
  BOOST_TEST(isNonNegative(table.totalAt(Id)));
  table.noteEnded(Id, Large, false);
  BOOST_TEST(isNonNegative(table.totalAt(Id)));
  table.noteEnded(Id, Large, false);
  table.noteEnded(Id, Large, false);
  BOOST_TEST((table.totalAt(Id) == OutstandingWork{}));
}

// A host of an earlier version may report negative work of all upstreams.
BOOST_AUTO_TEST_CASE(an_upstream_is_chosen_whatever_peers_report) {
  constexpr std::int64_t Most = std::numeric_limits<std::int64_t>::max();
  for (const OutstandingWork &reported :
       {OutstandingWork{-5, -600000, -1}, OutstandingWork{0, -Most, 0},
        OutstandingWork{std::numeric_limits<int>::max(), Most, Most}}) {
    ReplicaTable table;
    table.note(replica("r0"), Now);
    table.note(replica("r1"), Now);
    table.notePeer(SourceId("p"), {{UpstreamId("r0"), reported},
                                   {UpstreamId("r1"), reported}});
    const auto choice = table.choose(request(), Now);
    BOOST_REQUIRE(choice);
    BOOST_TEST(choice->TokensAhead >= 0);
    BOOST_TEST((choice->Wait >= Duration::zero()));
  }
}

BOOST_AUTO_TEST_CASE(records_without_work_are_dropped) {
  WorkTable table;
  table.noteSent(Id, Large);
  table.noteEnded(Id, Large, false);
  const auto held = table.of(Id);
  table.forgetIdle();
  table.noteSent(Id, Large);
  BOOST_TEST(held->Own.Calls == 1);
}

// A cold upstream registers again within a second. Counted from zero, it would
// get its cold rate twice.
BOOST_AUTO_TEST_CASE(a_new_registration_keeps_the_calls_within_the_cold_rate) {
  ReplicaTable table;
  table.setColdRate(ServiceId("model"), 1);
  table.setHosts(HostId("h"), {HostId("h")});
  ReplicaRecord cold = replica("r0");
  cold.ColdDuration = seconds(30);
  table.note(cold, Now);
  BOOST_REQUIRE(table.choose(request(), Now));
  table.noteSent(Id, {}, Now);
  table.remove(Id);
  table.forgetOldStatements(Now + milliseconds(100));
  table.note(cold, Now + milliseconds(200));
  BOOST_TEST(!table.choose(request(), Now + milliseconds(300)));
  BOOST_TEST(!!table.choose(request(), Now + milliseconds(1200)));
}

BOOST_AUTO_TEST_SUITE_END()
