#include "LibServing/ReplicaAutoscaler.h"
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace sorrelbay;

namespace {

/// A simulated cloud that provides ordered replicas after the startup time,
/// unless reclaimable ones are unavailable.
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

  void step(ReplicaAutoscaler &autoscaler, const ServiceLoad &load) {
    Now += milliseconds(250);
    while (!PendingOrders.empty() && PendingOrders.front().first <= Now) {
      apply(PendingOrders.front().second);
      PendingOrders.pop_front();
    }
    for (const ReplicaOrder &it :
         autoscaler.orders(ServiceId("model"), Seen, load, Now)) {
      if (it.IsReclaimable && HasNoReclaimable && it.Count > countOf(it)) {
        autoscaler.noteResult(it, CloudResult::NoneAvailable, Now);
        continue;
      }
      autoscaler.noteResult(it, CloudResult::Accepted, Now);
      const int current = countOf(it);
      if (it.Count < current)
        apply(it);
      else
        PendingOrders.emplace_back(Now + Bounds.StartupTime, it);
    }
  }

  void run(ReplicaAutoscaler &autoscaler, const ServiceLoad &load,
           Duration span) {
    const Instant end = Now + span;
    while (Now < end)
      step(autoscaler, load);
  }

  /// Two of the four zones lose their reclaimable replicas, and no others are
  /// available.
  void reclaimHalf() {
    HasNoReclaimable = true;
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
  std::deque<std::pair<Instant, ReplicaOrder>> PendingOrders;
  Instant Now{seconds(1000)};
  bool HasNoReclaimable = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(replica_autoscaler)

BOOST_AUTO_TEST_CASE(reclaimable_replicas_replace_more_expensive_ones) {
  Cloud cloud;
  for (auto &[zone, it] : cloud.Seen)
    it.OnDemand = 2;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  cloud.run(autoscaler, {60, 300000}, seconds(40));
  BOOST_TEST(cloud.total(false) == 0);
  BOOST_TEST(cloud.total(true) >= autoscaler.needed());
  // The loss of any one zone is covered.
  for (const auto &[zone, it] : cloud.Seen)
    BOOST_TEST(cloud.total(true) - it.Reclaimable >= autoscaler.needed());
}

// All zones are reclaimed and no reclaimable replica is available anywhere.
// Waiting for reclaimable ones left the service without replicas for 20
// seconds.
BOOST_AUTO_TEST_CASE(on_demand_replicas_start_while_others_are_unavailable) {
  Cloud cloud;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{80, 500000};
  cloud.run(autoscaler, load, seconds(30));
  BOOST_TEST(cloud.total(false) == 0);
  cloud.HasNoReclaimable = true;
  for (auto &[zone, it] : cloud.Seen)
    it.Reclaimable = 0;
  cloud.run(autoscaler, load, seconds(10));
  BOOST_TEST(autoscaler.assured() * 3 >= autoscaler.needed() * 1.9);
  BOOST_TEST(cloud.total(false) >= autoscaler.assured());
  cloud.HasNoReclaimable = false;
  cloud.run(autoscaler, load, seconds(60));
  BOOST_TEST(cloud.total(false) == 0);
  BOOST_TEST(cloud.total(true) >= autoscaler.needed());
}

// A reclaim notice arrives seconds before the replicas are removed. On-demand
// replicas that were ordered only after orders for reclaimable ones had been
// refused started after the next zone had been reclaimed, too.
BOOST_AUTO_TEST_CASE(a_reclaim_notice_orders_on_demand_replicas_at_once) {
  Cloud cloud;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{110, 700000};
  cloud.run(autoscaler, load, seconds(40));
  BOOST_TEST(cloud.total(false) == 0);
  cloud.reclaimHalf();
  cloud.run(autoscaler, load, cloud.Bounds.StartupTime + milliseconds(500));
  BOOST_TEST(cloud.total(false) > 0);
}

// Two of four zones are reclaimed at once, and calls queue up at the remaining
// replicas until others have started. Counted as load four times a second, the
// queue made the target grow by a third each time: 91 on-demand replicas were
// started in place of 46 lost reclaimable ones.
BOOST_AUTO_TEST_CASE(calls_that_queue_up_in_a_shortage_are_no_load) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  cloud.run(autoscaler, {400, 2600000}, seconds(40));
  const int before = autoscaler.needed();
  cloud.reclaimHalf();
  for (int queueStep = 1; queueStep <= 8; ++queueStep)
    cloud.run(autoscaler,
              {400 + queueStep * 200, 2600000 + queueStep * 1300000},
              milliseconds(500));
  BOOST_TEST(autoscaler.needed() > before);
  BOOST_TEST(autoscaler.needed() <= before * 1.4);
}

// An autoscaler that counted the replicas of its own orders as the initial ones
// ordered more in each round.
BOOST_AUTO_TEST_CASE(a_plan_does_not_grow_by_its_own_orders) {
  Cloud cloud;
  for (auto &[zone, it] : cloud.Seen)
    it.OnDemand = 2;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  cloud.run(autoscaler, {}, seconds(30));
  BOOST_TEST(cloud.total(true) == 12);
}

// Zones are reclaimed one after another while the load is slightly lower than
// before. Reclaimable replicas that were removed in the remaining zones were
// not available again, and calls queued up.
BOOST_AUTO_TEST_CASE(nothing_is_removed_while_replicas_are_scarce) {
  Cloud cloud;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  cloud.run(autoscaler, {110, 700000}, seconds(40));
  const int perZone = cloud.Seen[ZoneId("a")].Reclaimable;
  cloud.HasNoReclaimable = true;
  cloud.Seen[ZoneId("d")].Reclaimable = 0;
  cloud.run(autoscaler, {20, 100000}, seconds(30));
  BOOST_TEST(cloud.Seen[ZoneId("a")].Reclaimable == perZone);
}

// The lease holder is killed during a short lull. Its successor had observed no
// peak and removed three of four replicas; when the load rose again, four of
// sixteen were left.
BOOST_AUTO_TEST_CASE(a_new_holder_keeps_the_observed_replicas) {
  Cloud cloud;
  for (auto &[zone, it] : cloud.Seen)
    it.Reclaimable = 4;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  cloud.run(autoscaler, {20, 100000}, seconds(10));
  BOOST_TEST(cloud.total(true) >= 15);
}

BOOST_AUTO_TEST_CASE(the_limits_of_a_zone_hold_for_both_kinds_together) {
  Cloud cloud;
  for (auto &[zone, it] : cloud.Seen)
    it.OnDemand = 4;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  for (int n = 0; n < 200; ++n) {
    cloud.step(autoscaler, {2000, 9000000});
    for (const auto &[zone, it] : cloud.Seen)
      BOOST_TEST(it.OnDemand + it.Reclaimable <= cloud.Bounds.MaxReplicas);
  }
}

// Zones are evacuated under load, and their replicas serve no calls. The
// reserve for the loss of a zone replaces those of the first zone, new replicas
// those of the second.
BOOST_AUTO_TEST_CASE(other_zones_replace_evacuated_ones) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{400, 2600000};
  cloud.run(autoscaler, load, seconds(40));
  const int before = cloud.total(true);
  ZoneReplicas &first = cloud.Seen[ZoneId("a")];
  const int replicasBefore = first.Reclaimable;
  first.IsEvacuated = true;
  cloud.run(autoscaler, load, seconds(6));
  BOOST_TEST(cloud.total(true) == before);
  BOOST_TEST(cloud.total(false) == 0);
  BOOST_TEST(before - replicasBefore >= autoscaler.needed());
  cloud.Seen[ZoneId("b")].IsEvacuated = true;
  cloud.run(autoscaler, load, seconds(6));
  BOOST_TEST(first.Reclaimable == replicasBefore);
  BOOST_TEST(cloud.Seen[ZoneId("c")].Reclaimable +
                 cloud.Seen[ZoneId("d")].Reclaimable >=
             autoscaler.needed());
}

// A service starts with far more replicas than a low load needs. Zones were
// reclaimed before the load had been observed for long enough, and costly
// on-demand replicas replaced ones that were not needed.
BOOST_AUTO_TEST_CASE(on_demand_replicas_cover_only_the_observed_need) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  for (auto &[zone, it] : cloud.Seen)
    it.OnDemand = 15;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  cloud.run(autoscaler, {}, seconds(12));
  cloud.run(autoscaler, {100, 500000}, seconds(5));
  cloud.reclaimHalf();
  cloud.Seen[ZoneId("b")].Reclaimable = 0;
  cloud.run(autoscaler, {100, 500000}, seconds(8));
  // Twice the need, of which on-demand replicas cover 0.65.
  BOOST_TEST(cloud.total(false) <= autoscaler.needed() * 1.3 + 1);
  BOOST_TEST(cloud.total(true) >= autoscaler.needed());
}

// Three of four zones are reclaimed one after another. On-demand replicas that
// were ordered for two of them started after the third had been reclaimed, too.
BOOST_AUTO_TEST_CASE(one_more_zone_may_be_lost_while_replicas_are_scarce) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{400, 2600000};
  cloud.run(autoscaler, load, seconds(40));
  cloud.reclaimHalf();
  cloud.run(autoscaler, load, seconds(6));
  cloud.Seen[ZoneId("b")].Reclaimable = 0;
  BOOST_TEST(cloud.total(true) + cloud.total(false) >= autoscaler.assured());
}

// Two zones are reclaimed within seconds, then the other two. On-demand
// replicas that covered the loss of one further zone were too few and started
// too late.
BOOST_AUTO_TEST_CASE(as_many_further_zones_are_covered_as_were_reclaimed) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  const ServiceLoad load{400, 2600000};
  cloud.run(autoscaler, load, seconds(40));
  cloud.reclaimHalf();
  cloud.run(autoscaler, load, seconds(6));
  for (const char *zone : {"a", "b"})
    cloud.Seen[ZoneId(zone)].Reclaimable = 0;
  BOOST_TEST(cloud.total(false) >= autoscaler.assured());
}

// The lease holder is killed just after a zone was reclaimed. Its successor
// assumed that the reserve was still there and removed a quarter of the
// remaining replicas; none was available when the next zone was reclaimed.
BOOST_AUTO_TEST_CASE(a_new_holder_after_a_reclaim_keeps_what_is_left) {
  Cloud cloud;
  cloud.Bounds.MaxReplicas = 60;
  for (const char *zone : {"a", "b", "c"})
    cloud.Seen[ZoneId(zone)].Reclaimable = 20;
  cloud.HasNoReclaimable = true;
  ReplicaAutoscaler autoscaler(cloud.Bounds, cloud.Shape);
  cloud.run(autoscaler, {20, 100000}, seconds(14));
  BOOST_TEST(cloud.total(true) == 60);
  BOOST_TEST(cloud.total(false) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
