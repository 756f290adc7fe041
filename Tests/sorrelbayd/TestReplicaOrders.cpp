#include "GatewayFixture.h"
#include "LibBase/BootClock.h"
#include "ReplicaOrders.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

GatewaySettings holderSettings() {
  GatewaySettings settings;
  settings.Host = HostId("host");
  settings.Zone = ZoneId("a");
  settings.DutyCallsPerSecond = 100;
  settings.Bounds.Lease = seconds(3);
  settings.Bounds.UsageWindow = seconds(5);
  return settings;
}

/// A holder of the duties before a cloud that accepts all orders, with a
/// service of engines in four zones.
struct OrdersWorld {
  OrdersWorld() : State(Loop, holderSettings(), hooks()) {
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

  void takeDuties() {
    // A host that has just started waits to hear of others.
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

// Two zones are reclaimed. The orders for all zones are due at once; given one
// at each tick the last comes a second late, and callers wait as much longer.
BOOST_AUTO_TEST_CASE(orders_that_are_due_do_not_wait_for_the_next_tick) {
  OrdersWorld world;
  world.takeDuties();
  BOOST_TEST_REQUIRE(world.Duties.isHeld(bootNow()));
  world.Orders.tick(bootNow());
  for (int n = 0; n < 200 && world.Ordered.size() < 4; ++n) {
    world.Loop.restart();
    world.Loop.run_for(milliseconds(10));
  }
  BOOST_TEST(world.Ordered.size() >= 4U);
}

// A move is done and the old version's replicas stop, but their entries stay
// for seconds. Counted as serving they made the new version's replicas
// superfluous, and nearly all of those were sent away.
BOOST_AUTO_TEST_CASE(replicas_of_the_version_that_was_left_do_not_count) {
  OrdersWorld world;
  for (const char *zone : {"a", "b", "c", "d"})
    for (const char *version : {"v1", "v2"})
      for (int n = 0; n < 3; ++n) {
        ReplicaRecord record;
        record.Id = UpstreamId(std::string(version) + zone + std::to_string(n));
        record.OfService = ServiceId("model");
        record.InZone = ZoneId(zone);
        record.OfVersion = VersionId(version);
        record.IsReclaimable = record.OfVersion == VersionId("v1");
        world.State.Replicas.note(record, bootNow());
      }
  world.State.VersionFor = [](const ServiceId &, const std::string &) {
    return VersionPreference{VersionId("v2"), {}};
  };
  world.takeDuties();
  BOOST_TEST_REQUIRE(world.Duties.isHeld(bootNow()));
  for (int n = 0; n < 20; ++n) {
    world.Orders.tick(bootNow());
    world.Loop.restart();
    world.Loop.run_for(milliseconds(50));
  }
  BOOST_TEST(!world.Ordered.empty());
  int onDemand = 12;
  for (const ReplicaOrder &it : world.Ordered)
    if (!it.IsReclaimable)
      onDemand += it.Count - 3;
  BOOST_TEST(onDemand >= 5);
}

// Reclaimable replicas that were sent away after a peak were taken for a
// reclaim in each zone, and dear ones came for all that was left.
BOOST_AUTO_TEST_CASE(replicas_that_were_sent_away_are_no_reclaim) {
  for (const bool isReclaim : {true, false}) {
    OrdersWorld world;
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
        world.State.Replicas.note(record, bootNow());
      }
    world.takeDuties();
    BOOST_TEST_REQUIRE(world.Duties.isHeld(bootNow()));
    world.Orders.tick(bootNow());
    for (int n = 0; n < 20; ++n) {
      world.Loop.restart();
      world.Loop.run_for(milliseconds(10));
    }
    const bool isDearOrdered = std::any_of(
        world.Ordered.begin(), world.Ordered.end(), [](const ReplicaOrder &it) {
          return !it.IsReclaimable && it.Count > 1;
        });
    BOOST_TEST(isDearOrdered == isReclaim);
  }
}

BOOST_AUTO_TEST_SUITE_END()
