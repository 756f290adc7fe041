#include "GatewayFixture.h"
#include "LibBase/BootClock.h"
#include "ReplicaOrders.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

GatewaySettings replicaOrdersSettings() {
  GatewaySettings settings;
  settings.Host = HostId("host");
  settings.Zone = ZoneId("a");
  settings.DutyCallsPerSecond = 100;
  settings.Bounds.Lease = seconds(3);
  settings.Bounds.UsageWindow = seconds(5);
  return settings;
}

/// A host that can hold the duties, a cloud that accepts all orders, and a
/// service with one engine in each of four zones.
struct ReplicaOrdersFixture {
  ReplicaOrdersFixture() : State(Loop, replicaOrdersSettings(), hooks()) {
    State.Self = [] {
      FleetMember self;
      self.Host = HostId("host");
      return self;
    };
    State.IsRollingOut = [](const ServiceId &) { return false; };
    ServingPlan plan;
    ServingService service;
    service.Name = ServiceId("model");
    service.Engine = EngineShape{16, 100000, false, {}};
    service.Scaling = ScalingBounds{1, 8, seconds(4), 0.2, {}};
    for (const char *zone : {"a", "b", "c", "d"}) {
      service.Scaling->ZonePrices[ZoneId(zone)] = 1;
      ReplicaRecord record;
      record.Id = UpstreamId(std::string("replica-") + zone);
      record.OfService = service.Name;
      record.InZone = ZoneId(zone);
      State.Replicas.note(record, bootNow());
    }
    plan.Services.push_back(service);
    State.Plan = std::make_shared<const PlanIndex>(plan);
  }

  GatewayHooks hooks() {
    GatewayHooks out;
    out.Store = Store.hooks(Loop);
    out.Cloud.Order = [this](const LeaseHolder &, const ReplicaOrder &order,
                             const CloudCallback &done) {
      Ordered.push_back(order);
      boost::asio::post(Loop, [done] { done(CloudResult::Accepted); });
    };
    return out;
  }

  void acquireDuties() {
    // A host that has just started first waits for reports of others.
    for (int n = 0; n < 1000 && !Duties.isHeld(bootNow()); ++n) {
      Duties.tick(bootNow());
      Loop.restart();
      Loop.run_for(milliseconds(2));
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  boost::asio::io_context Loop;
  FakeStore Store;
  std::vector<ReplicaOrder> Ordered;
  GatewayState State;
  DutyLease Duties{State};
  ReplicaOrders Orders{State, Duties};
};

} // namespace

BOOST_AUTO_TEST_SUITE(replica_orders)

// Two zones are reclaimed and the orders for all zones are due at once. If only
// one order were sent in each tick, the last would be a second late, and calls
// would wait that much longer.
BOOST_AUTO_TEST_CASE(orders_that_are_due_do_not_wait_for_the_next_tick) {
  ReplicaOrdersFixture fixture;
  fixture.acquireDuties();
  BOOST_TEST_REQUIRE(fixture.Duties.isHeld(bootNow()));
  fixture.Orders.tick(bootNow());
  for (int n = 0; n < 200 && fixture.Ordered.size() < 4; ++n) {
    fixture.Loop.restart();
    fixture.Loop.run_for(milliseconds(10));
  }
  BOOST_TEST(fixture.Ordered.size() >= 4U);
}

// A rollout is complete and the old version's replicas stop, but their entries
// stay for seconds. If they counted as serving, nearly all replicas of the new
// version would be removed as surplus.
BOOST_AUTO_TEST_CASE(replicas_of_the_version_that_was_left_do_not_count) {
  ReplicaOrdersFixture fixture;
  for (const char *zone : {"a", "b", "c", "d"})
    for (const char *version : {"v1", "v2"})
      for (int n = 0; n < 3; ++n) {
        ReplicaRecord record;
        record.Id = UpstreamId(std::string(version) + zone + std::to_string(n));
        record.OfService = ServiceId("model");
        record.InZone = ZoneId(zone);
        record.OfVersion = VersionId(version);
        record.IsReclaimable = record.OfVersion == VersionId("v1");
        fixture.State.Replicas.note(record, bootNow());
      }
  fixture.State.VersionFor = [](const ServiceId &, const std::string &) {
    return VersionPreference{VersionId("v2"), {}};
  };
  fixture.acquireDuties();
  BOOST_TEST_REQUIRE(fixture.Duties.isHeld(bootNow()));
  for (int n = 0; n < 20; ++n) {
    fixture.Orders.tick(bootNow());
    fixture.Loop.restart();
    fixture.Loop.run_for(milliseconds(50));
  }
  BOOST_TEST(!fixture.Ordered.empty());
  int onDemand = 12;
  for (const ReplicaOrder &it : fixture.Ordered)
    if (!it.IsReclaimable)
      onDemand += it.Count - 3;
  BOOST_TEST(onDemand >= 5);
}

// Reclaimable replicas are removed after a peak. If the removal counted as a
// reclaim in each zone, all remaining ones would be replaced by on-demand
// replicas, which cost more.
BOOST_AUTO_TEST_CASE(removed_replicas_do_not_count_as_reclaimed) {
  for (const bool isReclaim : {true, false}) {
    ReplicaOrdersFixture fixture;
    for (const char *zone : {"a", "b", "c", "d"})
      for (int n = 0; n < 4; ++n) {
        ReplicaRecord record;
        record.Id = UpstreamId(std::string(zone) + std::to_string(n));
        record.OfService = ServiceId("model");
        record.InZone = ZoneId(zone);
        record.IsReclaimable = true;
        record.IsLeaving = n >= 2;
        if (isReclaim && record.IsLeaving)
          record.LeavesIn = seconds(2);
        fixture.State.Replicas.note(record, bootNow());
      }
    fixture.acquireDuties();
    BOOST_TEST_REQUIRE(fixture.Duties.isHeld(bootNow()));
    fixture.Orders.tick(bootNow());
    for (int n = 0; n < 20; ++n) {
      fixture.Loop.restart();
      fixture.Loop.run_for(milliseconds(10));
    }
    const bool hasOrderedOnDemand =
        std::any_of(fixture.Ordered.begin(), fixture.Ordered.end(),
                    [](const ReplicaOrder &it) {
                      return !it.IsReclaimable && it.Count > 1;
                    });
    BOOST_TEST(hasOrderedOnDemand == isReclaim);
  }
}

BOOST_AUTO_TEST_SUITE_END()
