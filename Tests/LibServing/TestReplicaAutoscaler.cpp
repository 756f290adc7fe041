#include "LibServing/ReplicaAutoscaler.h"
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace sorrelbay;

namespace {

/// A cloud that gives what is ordered after the boot time, unless reclaimable
/// replicas are not to be had.
struct Cloud {
  Cloud() {
    Bounds.MinReplicas = 1;
    Bounds.MaxReplicas = 6;
    Bounds.StartupTime = seconds(4);
    Bounds.ReclaimablePrice = 0.2;
    Shape.Slots = 48;
    Shape.MemoryTokens = 444000;
    for (const char *zone : {"a", "b", "c", "d"})
      Seen[ZoneId(zone)];
  }

  void step(ReplicaAutoscaler &plan, const ServiceLoad &load) {
    Now += milliseconds(250);
    while (!Coming.empty() && Coming.front().first <= Now) {
      apply(Coming.front().second);
      Coming.pop_front();
    }
    for (const ReplicaOrder &it :
         plan.orders(ServiceId("model"), Seen, load, Now)) {
      if (it.IsReclaimable && IsDry && it.Count > countOf(it)) {
        plan.noteResult(it, CloudResult::NoneAvailable, Now);
        continue;
      }
      plan.noteResult(it, CloudResult::Accepted, Now);
      const int has = countOf(it);
      if (it.Count < has)
        apply(it);
      else
        Coming.emplace_back(Now + Bounds.StartupTime, it);
    }
  }

  void run(ReplicaAutoscaler &plan, const ServiceLoad &load, Duration span) {
    const Instant end = Now + span;
    while (Now < end)
      step(plan, load);
  }

  /// Two of the four zones lose their reclaimable replicas, and no others are
  /// to be had.
  void reclaimHalf() {
    IsDry = true;
    for (const char *zone : {"c", "d"}) {
      Seen[ZoneId(zone)].Reclaimable = 0;
      Seen[ZoneId(zone)].HasReclaimNotice = true;
    }
  }

  int countOf(const ReplicaOrder &it) {
    return it.IsReclaimable ? Seen[it.Zone].Reclaimable
                            : Seen[it.Zone].OnDemand;
  }

  void apply(const ReplicaOrder &it) {
    (it.IsReclaimable ? Seen[it.Zone].Reclaimable : Seen[it.Zone].OnDemand) =
        it.Count;
  }

  int total(bool isReclaimable) const {
    int n = 0;
    for (const auto &[zone, it] : Seen)
      n += isReclaimable ? it.Reclaimable : it.OnDemand;
    return n;
  }

  ScalingBounds Bounds;
  EngineShape Shape;
  std::map<ZoneId, ZoneReplicas> Seen;
  std::deque<std::pair<Instant, ReplicaOrder>> Coming;
  Instant Now{seconds(1000)};
  bool IsDry = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(replica_plan)

BOOST_AUTO_TEST_CASE(reclaimable_replicas_take_the_place_of_dearer_ones) {
  Cloud cloud;
  for (auto &[zone, it] : cloud.Seen)
    it.OnDemand = 2;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  cloud.run(plan, {60, 300000}, seconds(40));
  BOOST_TEST(cloud.total(false) == 0);
  BOOST_TEST(cloud.total(true) >= plan.needed());
  // Any one zone may be lost.
  for (const auto &[zone, it] : cloud.Seen)
    BOOST_TEST(cloud.total(true) - it.Reclaimable >= plan.needed());
}

// Zone after zone is reclaimed and no reclaimable replica is to be had
// anywhere. Waiting for them left nobody to answer for twenty seconds.
BOOST_AUTO_TEST_CASE(on_demand_replicas_come_while_others_are_not_to_be_had) {
  Cloud cloud;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{80, 500000};
  cloud.run(plan, load, seconds(30));
  BOOST_TEST(cloud.total(false) == 0);
  cloud.IsDry = true;
  for (auto &[zone, it] : cloud.Seen)
    it.Reclaimable = 0;
  cloud.run(plan, load, seconds(10));
  BOOST_TEST(plan.assured() * 3 >= plan.needed() * 1.9);
  BOOST_TEST(cloud.total(false) >= plan.assured());
  cloud.IsDry = false;
  cloud.run(plan, load, seconds(60));
  BOOST_TEST(cloud.total(false) == 0);
  BOOST_TEST(cloud.total(true) >= plan.needed());
}

// The notice of a reclaim comes seconds before the replicas go. On-demand ones
// that are ordered only when reclaimable ones have been refused come when the
// next zone is gone, too.
BOOST_AUTO_TEST_CASE(a_notice_brings_on_demand_replicas_at_once) {
  Cloud cloud;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{110, 700000};
  cloud.run(plan, load, seconds(40));
  BOOST_TEST(cloud.total(false) == 0);
  cloud.reclaimHalf();
  cloud.run(plan, load, cloud.Bounds.StartupTime + milliseconds(500));
  BOOST_TEST(cloud.total(false) > 0);
}

// Two of four zones are reclaimed at once, and calls pile up at what is left
// until others have booted. Taken for load four times a second, the pile made
// the plan grow by a third each time: 91 on-demand replicas came for 46
// reclaimable ones that went.
BOOST_AUTO_TEST_CASE(calls_that_pile_up_in_a_shortage_are_no_load) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  cloud.run(plan, {400, 2600000}, seconds(40));
  const int before = plan.needed();
  cloud.reclaimHalf();
  for (int pile = 1; pile <= 8; ++pile)
    cloud.run(plan, {400 + pile * 200, 2600000 + pile * 1300000},
              milliseconds(500));
  BOOST_TEST(plan.needed() > before);
  BOOST_TEST(plan.needed() <= before * 1.4);
}

// A plan that took its own orders for the level that it found ordered more with
// each round.
BOOST_AUTO_TEST_CASE(a_plan_does_not_grow_by_its_own_orders) {
  Cloud cloud;
  for (auto &[zone, it] : cloud.Seen)
    it.OnDemand = 2;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  cloud.run(plan, {}, seconds(30));
  BOOST_TEST(cloud.total(true) == 12);
}

// Zones are reclaimed one after the other while the load is a little lower than
// before. Reclaimable replicas that were sent away in the zones that were left
// could not be had again, and calls piled up.
BOOST_AUTO_TEST_CASE(nothing_is_sent_away_while_replicas_are_scarce) {
  Cloud cloud;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  cloud.run(plan, {110, 700000}, seconds(40));
  const int perZone = cloud.Seen[ZoneId("a")].Reclaimable;
  cloud.IsDry = true;
  cloud.Seen[ZoneId("d")].Reclaimable = 0;
  cloud.run(plan, {20, 100000}, seconds(30));
  BOOST_TEST(cloud.Seen[ZoneId("a")].Reclaimable == perZone);
}

// The holder of the duty is killed while the load is low for a moment. Its
// successor knew no peak and sent three of four replicas away; the next wave of
// calls found four where sixteen had been.
BOOST_AUTO_TEST_CASE(a_new_holder_keeps_what_it_finds) {
  Cloud cloud;
  for (auto &[zone, it] : cloud.Seen)
    it.Reclaimable = 4;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  cloud.run(plan, {20, 100000}, seconds(10));
  BOOST_TEST(cloud.total(true) >= 15);
}

BOOST_AUTO_TEST_CASE(the_limits_of_a_zone_hold_for_both_kinds_together) {
  Cloud cloud;
  for (auto &[zone, it] : cloud.Seen)
    it.OnDemand = 4;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  for (int n = 0; n < 200; ++n) {
    cloud.step(plan, {2000, 9000000});
    for (const auto &[zone, it] : cloud.Seen)
      BOOST_TEST(it.OnDemand + it.Reclaimable <= cloud.Bounds.MaxReplicas);
  }
}

// Zones are evacuated under load. What stands there serves nobody; the reserve
// for the loss of a zone stands in for the first, and others for the second.
BOOST_AUTO_TEST_CASE(other_zones_stand_in_for_evacuated_ones) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{400, 2600000};
  cloud.run(plan, load, seconds(40));
  const int before = cloud.total(true);
  ZoneReplicas &first = cloud.Seen[ZoneId("a")];
  const int stood = first.Reclaimable;
  first.IsEvacuated = true;
  cloud.run(plan, load, seconds(6));
  BOOST_TEST(cloud.total(true) == before);
  BOOST_TEST(cloud.total(false) == 0);
  BOOST_TEST(before - stood >= plan.needed());
  cloud.Seen[ZoneId("b")].IsEvacuated = true;
  cloud.run(plan, load, seconds(6));
  BOOST_TEST(first.Reclaimable == stood);
  BOOST_TEST(cloud.Seen[ZoneId("c")].Reclaimable +
                 cloud.Seen[ZoneId("d")].Reclaimable >=
             plan.needed());
}

// A fleet begins with far more replicas than a calm day needs. Zones are
// reclaimed before that can be known for long, and dear ones stood in for what
// nobody needed.
BOOST_AUTO_TEST_CASE(on_demand_replicas_come_by_what_is_known_to_be_needed) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  for (auto &[zone, it] : cloud.Seen)
    it.OnDemand = 15;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  cloud.run(plan, {}, seconds(12));
  cloud.run(plan, {100, 500000}, seconds(5));
  cloud.reclaimHalf();
  cloud.Seen[ZoneId("b")].Reclaimable = 0;
  cloud.run(plan, {100, 500000}, seconds(8));
  // Twice the need, of which on-demand replicas stand in for 0.65.
  BOOST_TEST(cloud.total(false) <= plan.needed() * 1.3 + 1);
  BOOST_TEST(cloud.total(true) >= plan.needed());
}

// Three of four zones are reclaimed one after the other. On-demand replicas
// that were ordered for two of them came when the third was gone, too.
BOOST_AUTO_TEST_CASE(one_more_zone_may_go_while_replicas_are_scarce) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{400, 2600000};
  cloud.run(plan, load, seconds(40));
  cloud.reclaimHalf();
  cloud.run(plan, load, seconds(6));
  cloud.Seen[ZoneId("b")].Reclaimable = 0;
  BOOST_TEST(cloud.total(true) + cloud.total(false) >= plan.assured());
}

// Two zones are reclaimed within seconds, then the other two. On-demand
// replicas for one more zone's loss were too few, and came too late, when both
// went.
BOOST_AUTO_TEST_CASE(as_many_further_zones_are_covered_as_were_reclaimed) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{400, 2600000};
  cloud.run(plan, load, seconds(40));
  cloud.reclaimHalf();
  cloud.run(plan, load, seconds(6));
  for (const char *zone : {"a", "b"})
    cloud.Seen[ZoneId(zone)].Reclaimable = 0;
  BOOST_TEST(cloud.total(false) >= plan.assured());
}

// A zone has just been reclaimed when the holder of the duty is killed. Its
// successor took the reserve for still there and sent away a quarter of what
// was left; none was to be had when the next zone went.
BOOST_AUTO_TEST_CASE(a_new_holder_after_a_reclaim_keeps_what_is_left) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  for (const char *zone : {"a", "b", "c"})
    cloud.Seen[ZoneId(zone)].Reclaimable = 20;
  cloud.IsDry = true;
  ReplicaAutoscaler plan(cloud.Bounds, cloud.Shape);
  cloud.run(plan, {20, 100000}, seconds(14));
  BOOST_TEST(cloud.total(true) == 60);
  BOOST_TEST(cloud.total(false) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
