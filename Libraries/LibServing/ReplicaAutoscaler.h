#pragma once

#include "LibBase/Time.h"
#include "LibServing/CloudHooks.h"
#include "LibServing/ServingPlan.h"
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace sorrelbay {

/// Replicas of one service in one zone, counted from their registrations.
struct ZoneReplicas {
  /// Replicas that are not leaving.
  int OnDemand = 0;
  int Reclaimable = 0;
  /// Reclaimable replicas of the zone have a reclaim notice and are still
  /// running.
  bool HasReclaimNotice = false;
  /// Operators have evacuated the zone: its replicas get no calls until the
  /// evacuation ends.
  bool IsEvacuated = false;
};

/// The current load of a service, summed over all hosts.
struct ServiceLoad {
  /// Calls in progress at its replicas.
  int OpenCalls = 0;
  /// Prompt tokens of these calls plus their maximum output tokens.
  std::int64_t OpenTokens = 0;
  /// Engine time that arriving calls need, in seconds per second.
  double EngineSeconds = 0;
};

struct ReplicaAutoscalerSettings {
  /// Target share of a replica's slots in use, 0 to 1. Above it, first tokens
  /// are late.
  double TargetSlotShare = 0.28;
  /// Target share of a replica's memory in use, 0 to 1. Above it, first tokens
  /// are late.
  double TargetMemoryShare = 0.36;
  /// Target share of a replica's time spent on prefill, 0 to 1. The rest is
  /// left for decoding steps and for bursts of arrivals.
  double TargetPrefillShare = 0.4;
  /// On-demand replicas replace missing reclaimable ones up to this share of
  /// the replicas that the load needs, 0 to 1. They cost several times as much,
  /// and replicas above their target load are late for only a few calls.
  double OnDemandCoverage = 0.65;
  /// The load is the peak over this time, so that a short lull does not remove
  /// replicas that take seconds to start again.
  Duration PeakWindow = seconds(12);
  /// While replicas are missing, the number of replicas needed is capped at
  /// this multiple of the number provided for when the shortage began.
  double MaxGrowthWhileShort = 1.34;
  /// After the cloud has not accepted an order for one kind of replica in a
  /// zone, no further order of that kind goes to the zone for this time.
  Duration RefusalBackoff = milliseconds(1500);
  /// Until the load has been observed for longer than `PeakWindow`, on-demand
  /// replicas are provided for this multiple of what it needs.
  double UnobservedLoadFactor = 2;
  /// Reclaimable replicas count as scarce for this time after they were refused
  /// or reclaimed. On-demand replicas then cover the loss of as many further
  /// zones as were reclaimed within this time, and of at least one.
  Duration ScarcityWindow = seconds(15);
  /// Surplus replicas are removed only after this time.
  Duration ScaleDownDelay = seconds(8);
};

/// Decides how many replicas of each kind a service has in each zone: the
/// fewest that carry the load if zones lose their reclaimable replicas;
/// reclaimable ones where they are cheaper, on-demand ones only until
/// reclaimable ones have started. Run only by the holder of the lease; a new
/// holder starts from the replicas that it observes.
class ReplicaAutoscaler {
public:
  explicit ReplicaAutoscaler(ScalingBounds bounds, EngineShape engine,
                             ReplicaAutoscalerSettings settings = {});

  /// The orders that are due for the observed replicas and load. An accepted
  /// order is repeated only if its replicas do not appear in time.
  std::vector<ReplicaOrder> orders(const ServiceId &service,
                                   const std::map<ZoneId, ZoneReplicas> &seen,
                                   const ServiceLoad &load, Instant now);
  void noteResult(const ReplicaOrder &order, CloudResult result, Instant now);
  /// The number of replicas that the load needs.
  int needed() const { return Needed; }
  /// The number of replicas that is guaranteed, with on-demand ones if
  /// necessary.
  int assured() const;

private:
  using ZoneAndKind = std::pair<ZoneId, bool>;
  struct LastOrder {
    int Count = -1;
    Instant At{};
    Instant RefusedAt{};
  };

  /// The counts that the next orders are to reach.
  struct TargetCounts {
    int ReclaimablePerZone = 0;
    int OnDemand = 0;
  };

  int replicasFor(const ServiceLoad &load) const;
  bool isScarce(Instant now) const;
  bool isLoadKnown(Instant now) const;
  void recordPeak(const ServiceLoad &load, int serving, Instant now);
  void adoptExisting(const std::map<ZoneId, ZoneReplicas> &seen, Instant now);
  void updatePlannedReplicas(const std::map<ZoneId, ZoneReplicas> &seen,
                             Instant now);
  void recordNotices(const std::map<ZoneId, ZoneReplicas> &seen, Instant now);
  int scarcityReserve(std::vector<int> reclaimableByZone, Instant now) const;
  TargetCounts computeTargets(const std::map<ZoneId, ZoneReplicas> &seen,
                              int zones, Instant now);
  std::vector<ReplicaOrder> ordersIn(const ServiceId &service,
                                     const std::map<ZoneId, ZoneReplicas> &seen,
                                     int zones, Instant now);
  int expected(const ZoneId &zone, bool isReclaimable, int seen,
               Instant now) const;
  std::map<ZoneId, int>
  distributeOnDemand(const std::map<ZoneId, ZoneReplicas> &seen,
                     int count) const;
  void addOrder(std::vector<ReplicaOrder> &out, const ServiceId &service,
                const ZoneId &zone, bool isReclaimable, int count, int seen,
                Instant now);

  ScalingBounds Bounds;
  EngineShape Engine;
  ReplicaAutoscalerSettings Settings;
  std::vector<std::pair<Instant, int>> Peaks;
  std::map<ZoneAndKind, LastOrder> LastOrders;
  int Needed = 0;
  /// The number of replicas to provide for. Grows at once and shrinks after
  /// `ScaleDownDelay`.
  int PlannedReplicas = 0;
  /// The part of `PlannedReplicas` that the load is known to need. On-demand
  /// replicas, which cost several times as much, replace no more than this.
  int KnownNeed = 0;
  /// When replicas began to be missing; zero if none are.
  Instant ShortSince{};
  /// The value of `PlannedReplicas` when the shortage began.
  int PlannedBeforeShortage = 0;
  /// Whether any replicas have been observed. Until calls have been observed,
  /// the initial replicas are the best estimate of what is needed.
  bool HasSeenReplicas = false;
  Instant LoadSince{};
  Instant SurplusSince{};
  Instant LastScarceAt{};
  /// Zones whose reclaimable replicas have a reclaim notice.
  std::set<ZoneId> ZonesUnderNotice;
  /// When each notice of the last `ScarcityWindow` was first seen.
  std::vector<Instant> NoticeTimes;
  Instant OnDemandSurplusSince{};
};

} // namespace sorrelbay
