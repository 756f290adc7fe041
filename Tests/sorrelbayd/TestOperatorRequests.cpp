#include "GatewayFixture.h"
#include "LibOperator/OperatorRequestsObject.h"
#include <boost/test/unit_test.hpp>
#include <thread>
#include <utility>

using namespace sorrelbay;

namespace {

/// A gateway with the upstreams r1 and r2, which name themselves.
struct Fleet {
  Fleet() {
    Fixture.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
      const HttpHeaders &headers = it->request().Headers;
      it->respond(200, {{"X-Call", headerValue(headers, "X-Call")}},
                  headerValue(headers, "X-Replica"));
    };
    Fixture.addReplica("r2");
    BOOST_REQUIRE(holdsSoon([this] { return served() == "r1 r2"; }));
  }

  void put(const std::string &body) {
    const ResourceKind kind = ResourceKind::Quarantines;
    Fixture.Store.put(kind, OperatorRequestsName, body);
    // Each change of the other object ends a watch; the second one that begins
    // from now on does so after the requests have been processed.
    const int begun = Fixture.Store.watches(kind);
    BOOST_REQUIRE(holdsSoon([&] {
      Fixture.Store.put(kind, "other", "{}");
      return Fixture.Store.watches(kind) >= begun + 2;
    }));
  }
  void hold(const std::set<std::string> &upstreams) {
    OperatorRequests requests;
    for (const std::string &id : upstreams)
      requests.Upstreams[UpstreamId(id)] = {std::nullopt, "anna"};
    put(renderOperatorRequests(requests));
  }
  /// The upstreams that a series of calls reaches.
  std::string served() {
    std::set<std::string> all;
    for (int n = 0; n < 24; ++n)
      all.insert(Fixture.callAt(Fixture.CallerAddress, "/q/1").Body);
    return all.size() == 1 ? *all.begin() : *all.begin() + " " + *all.rbegin();
  }
  bool hasCount(const std::string &kind, const std::string &effect, int n) {
    return holdsSoon([&] {
      return Fixture.metric("sorrelbay_operator_requests{effect=\"" + effect +
                            "\",kind=\"" + kind + "\"}") == n;
    });
  }

  GatewayFixture Fixture;
};

} // namespace

BOOST_AUTO_TEST_SUITE(operator_requests)

// An operator's hold is lost with a restart, or an operator's release is not
// noticed.
BOOST_AUTO_TEST_CASE(a_held_upstream_gets_no_calls_until_it_is_released) {
  Fleet fleet;
  fleet.hold({"r1", "unknown"});
  BOOST_TEST(fleet.served() == "r2");
  BOOST_TEST(fleet.hasCount("upstream", "in_force", 1));
  BOOST_TEST(fleet.hasCount("upstream", "ignored", 1));
  fleet.Fixture.restart();
  fleet.Fixture.callUntil(200, "key");
  BOOST_TEST(fleet.served() == "r2");
  fleet.hold({});
  BOOST_TEST(fleet.served() == "r1 r2");
  BOOST_TEST(fleet.hasCount("upstream", "in_force", 0));
}

// Another program overwrites the object. Holds must not end by that.
BOOST_AUTO_TEST_CASE(an_object_that_cannot_be_read_changes_nothing) {
  Fleet fleet;
  fleet.hold({"r1"});
  const std::string empty = renderOperatorRequests({});
  for (const std::string &body :
       {empty.substr(1), empty + std::string(MaxOperatorRequestsBytes, ' ')}) {
    fleet.put(body);
    BOOST_TEST(fleet.served() == "r2");
  }
  fleet.Fixture.Store.remove(ResourceKind::Quarantines, OperatorRequestsName);
  BOOST_TEST(holdsSoon([&] { return fleet.served() == "r1 r2"; }));
}

// No further object is written when a request ends.
BOOST_AUTO_TEST_CASE(a_hold_ends_by_itself) {
  Fleet fleet;
  OperatorRequests requests;
  requests.Upstreams[UpstreamId("r1")] = {now() + seconds(3), "anna"};
  fleet.put(renderOperatorRequests(requests));
  BOOST_TEST(fleet.hasCount("upstream", "in_force", 1));
  BOOST_TEST(fleet.hasCount("upstream", "in_force", 0));
  BOOST_TEST(fleet.served() == "r1 r2");
}

// Operators hold all upstreams by mistake, or the last one that is not held
// leaves.
BOOST_AUTO_TEST_CASE(holds_on_all_upstreams_of_a_service_are_ignored) {
  Fleet fleet;
  fleet.hold({"r1", "r2"});
  BOOST_TEST(fleet.served() == "r1 r2");
  BOOST_TEST(fleet.hasCount("upstream", "ignored", 2));
  fleet.hold({"r1"});
  fleet.Fixture.addReplica("r2", true);
  BOOST_TEST(holdsSoon([&] { return fleet.served() == "r1"; }));
}

// A call that runs at an upstream when this is held is not cut. It must not be
// repeated, so that the host has no other reason to end it.
BOOST_AUTO_TEST_CASE(open_calls_at_a_held_upstream_finish) {
  Fleet fleet;
  GatewayFixture &fixture = fleet.Fixture;
  fleet.hold({"r2"});
  std::shared_ptr<HttpExchange> open;
  const auto respond = fixture.Upstream;
  fixture.onUpstream([&] {
    fixture.Upstream = [&](const std::shared_ptr<HttpExchange> &it) {
      open = it;
    };
  });
  const int before = fixture.UpstreamCalls;
  std::string body;
  std::thread caller(
      [&] { body = fixture.callAt(fixture.CallerAddress, "/a/1").Body; });
  BOOST_TEST(holdsSoon([&] { return fixture.UpstreamCalls == before + 1; }));
  fixture.onUpstream([&] { fixture.Upstream = respond; });
  fleet.hold({"r1"});
  BOOST_TEST(fleet.served() == "r2");
  fixture.onUpstream([&] { respond(std::exchange(open, nullptr)); });
  caller.join();
  BOOST_TEST(body == "r1");
}

// A held host gets no callers by lookups, and goes on serving those that it
// has. Of two hosts one must be left.
BOOST_AUTO_TEST_CASE(held_hosts_are_left_out_of_lookups) {
  Fleet fleet;
  GatewayFixture &fixture = fleet.Fixture;
  const auto second = fixture.addHost("second", true);
  OperatorRequests requests;
  requests.Hosts[HostId("second")] = {std::nullopt, "anna"};
  requests.Hosts[HostId("unknown")] = {std::nullopt, "anna"};
  requests.TeamWeights[TeamId("team")] = 3;
  requests.TeamWeights[TeamId("unknown")] = 3;
  fleet.put(renderOperatorRequests(requests));
  for (const Gateway *it : {fixture.Served.get(), second->Served.get()})
    BOOST_TEST(holdsSoon(
        [&] { return GatewayFixture::lookUp(*it) == fixture.CallerAddress; }));
  BOOST_TEST(fixture.callAt(second->CallerAddress, "/a/1").Status == 200);
  // It gets no new connections, and says so to readiness probes.
  const auto probe = [&](const Gateway &host) {
    return fixture.callAt(host.readinessAddress(), "/").Status;
  };
  BOOST_TEST(probe(*second->Served) == 503);
  BOOST_TEST(probe(*fixture.Served) == 200);
  for (const char *kind : {"host", "team"})
    for (const char *effect : {"in_force", "ignored"})
      BOOST_TEST(fleet.hasCount(kind, effect, 1));
  requests.Hosts[HostId("host")] = {std::nullopt, "anna"};
  fleet.put(renderOperatorRequests(requests));
  for (const Gateway *it : {fixture.Served.get(), second->Served.get()})
    BOOST_TEST(holdsSoon(
        [&] { return GatewayFixture::lookUp(*it) == second->CallerAddress; }));
  BOOST_TEST(fleet.hasCount("host", "ignored", 2));
  BOOST_TEST(probe(*second->Served) == 200);
}

BOOST_AUTO_TEST_SUITE_END()
