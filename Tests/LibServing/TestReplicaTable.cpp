#include "LibServing/ReplicaTable.h"
#include <boost/test/unit_test.hpp>
#include <map>

using namespace sorrelbay;

namespace {

const Instant Now{seconds(1000)};

ReplicaRecord replica(const std::string &id, const std::string &zone = "a") {
  ReplicaRecord out;
  out.Id = UpstreamId(id);
  out.OfService = ServiceId("model");
  out.InZone = ZoneId(zone);
  out.Address = "10.0.0.1:80";
  out.Slots = 48;
  return out;
}

ReplicaRequest request(const std::string &conversation) {
  ReplicaRequest out;
  out.ForService = ServiceId("model");
  out.OwnZone = ZoneId("a");
  if (!conversation.empty())
    out.Prompt = {{"shared", 500}, {conversation, 1000}, {"own", 100}};
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replica_table)

// If two hosts choose different upstreams for one conversation, its prompt is
// prefilled twice.
BOOST_AUTO_TEST_CASE(all_hosts_choose_the_same_affinity_upstream) {
  ReplicaTable one;
  ReplicaTable other;
  for (int n = 0; n < 9; ++n) {
    one.note(replica("r" + std::to_string(n)), Now);
    other.note(replica("r" + std::to_string(8 - n)), Now);
  }
  std::map<std::string, int> callsByUpstream;
  for (int n = 0; n < 200; ++n) {
    const auto it = request("c" + std::to_string(n));
    const auto affinityUpstream = one.choose(it, Now);
    BOOST_REQUIRE(affinityUpstream);
    BOOST_TEST((affinityUpstream->Id == other.choose(it, Now)->Id));
    ++callsByUpstream[affinityUpstream->Id.text()];
  }
  BOOST_TEST(callsByUpstream.size() == 9U);
}

BOOST_AUTO_TEST_CASE(an_affinity_upstream_with_much_more_work_is_passed_over) {
  ReplicaTable table;
  for (int n = 0; n < 3; ++n)
    table.note(replica("r" + std::to_string(n)), Now);
  const UpstreamId affinityUpstream = table.choose(request("c"), Now)->Id;
  table.noteSent(affinityUpstream, {60000, 60500}, Now);
  const auto next = table.choose(request("c"), Now);
  BOOST_REQUIRE(next);
  BOOST_TEST((next->Id != affinityUpstream));
  table.noteFirstByte(affinityUpstream, {60000, 60500});
  BOOST_TEST((table.choose(request("c"), Now)->Id == affinityUpstream));
}

BOOST_AUTO_TEST_CASE(leaving_and_tried_upstreams_get_nothing) {
  ReplicaTable table;
  table.note(replica("r0"), Now);
  ReplicaRecord leaving = replica("r1");
  leaving.IsLeaving = true;
  table.note(leaving, Now);
  auto it = request("");
  BOOST_TEST(table.choose(it, Now)->Id.text() == "r0");
  it.Tried = {UpstreamId("r0")};
  BOOST_TEST(!table.choose(it, Now));
  table.remove(UpstreamId("r0"));
  it.Tried.clear();
  BOOST_TEST(!table.choose(it, Now));
}

// One replica fails most of its calls while its status check passes. Callers
// get errors as long as it gets its share of the calls.
BOOST_AUTO_TEST_CASE(an_upstream_that_fails_is_ejected_and_readmitted) {
  ReplicaTable table;
  for (int n = 0; n < 4; ++n)
    table.note(replica("r" + std::to_string(n)), Now);
  const UpstreamId bad("r2");
  Instant now = Now;
  for (int n = 0; n < 10 && !table.isEjected(bad, now); ++n) {
    table.noteSent(bad, {}, Now);
    table.noteEnded(bad, {}, false, SendResult::Broken, now);
    now += milliseconds(10);
  }
  BOOST_TEST(table.isEjected(bad, now));
  for (int n = 0; n < 50; ++n)
    BOOST_TEST(
        (table.choose(request("x" + std::to_string(n)), now)->Id != bad));
  now += seconds(20);
  bool isReadmitted = false;
  for (int n = 0; n < 200 && !isReadmitted; ++n)
    isReadmitted =
        table.choose(request("y" + std::to_string(n)), now)->Id == bad;
  BOOST_TEST(isReadmitted);
}

// An ejected replica is chosen for a probe, but the call goes elsewhere. If the
// choice counted as the probe, no call would ever complete it.
BOOST_AUTO_TEST_CASE(a_probe_that_was_not_sent_does_not_extend_an_ejection) {
  ReplicaTable table;
  table.note(replica("r0"), Now);
  table.note(replica("r1"), Now);
  const UpstreamId bad("r0");
  for (int n = 0; n < 10; ++n) {
    table.noteSent(bad, {}, Now);
    table.noteEnded(bad, {}, false, SendResult::Broken, Now);
  }
  const Instant later = Now + seconds(30);
  for (int n = 0; n < 5; ++n)
    table.noteSent(UpstreamId("r1"), {}, Now);
  const auto it = request("");
  BOOST_TEST((table.choose(it, later)->Id == bad));
  BOOST_TEST((table.choose(it, later)->Id == bad));
  table.noteSent(bad, {}, Now);
  BOOST_TEST((table.choose(it, later)->Id == UpstreamId("r1")));
}

// All replicas of a service respond to one call in seven with a server error.
// That is the service's normal failure rate and no reason to eject any of them.
BOOST_AUTO_TEST_CASE(failures_common_to_all_upstreams_eject_none) {
  ReplicaTable table;
  for (int n = 0; n < 4; ++n)
    table.note(replica("r" + std::to_string(n)), Now);
  for (int n = 0; n < 400; ++n) {
    const UpstreamId id("r" + std::to_string(n % 4));
    table.noteSent(id, {}, Now);
    const bool isBad = (n / 4) % 7 == 0;
    table.noteEnded(id, {}, true,
                    isBad ? SendResult::Failed : SendResult::Answered, Now);
  }
  for (int n = 0; n < 4; ++n)
    BOOST_TEST(!table.isEjected(UpstreamId("r" + std::to_string(n)), Now));
}

BOOST_AUTO_TEST_CASE(open_work_of_peers_counts_until_their_next_report) {
  ReplicaTable table;
  table.note(replica("r0"), Now);
  const SourceId peer("p");
  table.notePeer(
      peer, {{UpstreamId("r0"), {3, 700, 900}}, {UpstreamId("r1"), {1, 5, 6}}});
  BOOST_TEST((table.workAt(UpstreamId("r0")) == OutstandingWork{3, 700, 900}));
  table.note(replica("r1"), Now);
  BOOST_TEST((table.workAt(UpstreamId("r1")) == OutstandingWork{1, 5, 6}));
  table.notePeer(peer, {});
  BOOST_TEST((table.workAt(UpstreamId("r0")) == OutstandingWork{}));
}

// 200 hosts receive reports half a second late, while a call takes a tenth of
// that time. All of them would send their calls to the upstream with the fewest
// open calls until their next reports, and it would reject most of them.
BOOST_AUTO_TEST_CASE(many_hosts_do_not_all_choose_the_same_upstream) {
  ReplicaTable table;
  std::map<UpstreamId, OutstandingWork> open;
  for (const char *id : {"a", "b", "c", "d", "e", "f"}) {
    ReplicaRecord record;
    record.Id = UpstreamId(id);
    record.OfService = ServiceId("desk");
    table.note(record, Instant{seconds(10)});
    open[record.Id] = {record.Id == UpstreamId("a") ? 1 : 4, 0, 0};
  }
  table.notePeer(SourceId("other zones"), open);
  ReplicaRequest request;
  request.ForService = ServiceId("desk");
  request.Hosts = 200;
  std::map<UpstreamId, int> sent;
  for (request.Seed = 1; request.Seed <= 600; ++request.Seed)
    ++sent[table.choose(request, Instant{seconds(10)})->Id];
  BOOST_TEST(sent[UpstreamId("a")] > 150);
  BOOST_TEST(sent[UpstreamId("a")] < 250);
  BOOST_TEST(sent.size() == 6U);
}

// A replica that has just started crashes under an equal share of all calls.
BOOST_AUTO_TEST_CASE(a_cold_upstream_gets_its_rate_and_no_more) {
  ReplicaTable table;
  table.setColdRate(ServiceId("model"), 3);
  table.setHosts(HostId("h"), {HostId("h")});
  ReplicaRecord cold = replica("cold");
  cold.ColdDuration = seconds(3);
  table.note(cold, Now);
  BOOST_TEST(table.cold(ServiceId("model"), Now) == 1);
  for (int n = 0; n < 3; ++n) {
    BOOST_REQUIRE(table.choose(request(""), Now));
    table.noteSent(cold.Id, {}, Now);
  }
  BOOST_TEST(!table.choose(request(""), Now + milliseconds(900)));
  BOOST_TEST(!!table.choose(request(""), Now + milliseconds(1200)));
  table.note(replica("warm"), Now);
  BOOST_TEST(table.choose(request(""), Now)->Id.text() == "warm");
  BOOST_TEST(table.cold(ServiceId("model"), Now + seconds(4)) == 0);
}

// A host that has just started knows of no other host, and after a power loss
// none of the hosts does.
BOOST_AUTO_TEST_CASE(a_cold_upstream_gets_nothing_before_hosts_are_known) {
  ReplicaTable table;
  table.setColdRate(ServiceId("model"), 3);
  ReplicaRecord cold = replica("cold");
  cold.ColdDuration = seconds(3);
  table.note(cold, Now);
  BOOST_TEST(!table.choose(request(""), Now));
  table.setHosts(HostId("h"), {HostId("h")});
  BOOST_TEST(!!table.choose(request(""), Now));
}

// The upstreams of an evacuated zone become cold, and the end of the evacuation
// is received before their new registrations.
BOOST_AUTO_TEST_CASE(an_evacuated_zone_gets_no_calls_and_is_cold_afterwards) {
  ReplicaTable table;
  table.setColdRate(ServiceId("model"), 1);
  table.setHosts(HostId("h"), {HostId("h")});
  table.note(replica("r0", "a"), Now);
  table.beginEvacuation(ZoneId("a"));
  BOOST_TEST(!table.choose(request(""), Now));
  table.note(replica("r1", "b"), Now);
  BOOST_TEST(table.choose(request(""), Now)->Id.text() == "r1");
  BOOST_TEST(table.serviceWork(ServiceId("model"), Now).Replicas == 1);
  table.remove(UpstreamId("r1"));
  table.endEvacuation(ZoneId("a"), Now);
  table.noteConfirmed(Now - milliseconds(1));
  BOOST_TEST(table.cold(ServiceId("model"), Now) == 1);
  table.noteSent(UpstreamId("r0"), {}, Now);
  BOOST_TEST(!table.choose(request(""), Now));
  table.noteConfirmed(Now + milliseconds(1));
  BOOST_TEST(!!table.choose(request(""), Now));
}

// Calls must stay within the allowed regions of both their team and their
// route.
BOOST_AUTO_TEST_CASE(calls_stay_in_the_regions_of_team_and_route) {
  ReplicaTable table;
  table.setRegions({{ZoneId("a"), "north"}, {ZoneId("b"), "south"}});
  table.note(replica("r0", "a"), Now);
  table.note(replica("r1", "b"), Now);
  table.note(replica("r2", "unknown"), Now);
  auto it = request("");
  it.RouteRegions = {"south"};
  BOOST_TEST(table.choose(it, Now)->Id.text() == "r1");
  it.Tried = {UpstreamId("r1")};
  BOOST_TEST(!table.choose(it, Now));
  it.Tried.clear();
  it.TeamRegions = {"north"};
  BOOST_TEST(!table.choose(it, Now));
  it.RouteRegions = {"north", "south"};
  BOOST_TEST(table.choose(it, Now)->Id.text() == "r0");
}

BOOST_AUTO_TEST_SUITE_END()
