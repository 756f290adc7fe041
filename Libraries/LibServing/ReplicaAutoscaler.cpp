#include "LibServing/ReplicaAutoscaler.h"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace sorrelbay {

/// An accepted order whose replicas do not appear is repeated after the startup
/// time plus this margin.
static constexpr Duration OrderMargin = seconds(3);
/// Time from the end of a replica's startup until its registration is visible.
static constexpr Duration RegistrationMargin = milliseconds(700);

ReplicaAutoscaler::ReplicaAutoscaler(ScalingBounds bounds, EngineShape engine,
                                     ReplicaAutoscalerSettings settings)
    : Bounds(std::move(bounds)), Engine(engine), Settings(settings) {}

int ReplicaAutoscaler::replicasFor(const ServiceLoad &load) const {
  const double byCalls =
      load.OpenCalls / (Engine.Slots * Settings.TargetSlotShare);
  const double byTokens = Engine.MemoryTokens <= 0
                              ? 0
                              : static_cast<double>(load.OpenTokens) /
                                    (static_cast<double>(Engine.MemoryTokens) *
                                     Settings.TargetMemoryShare);
  const double byPrefill = load.EngineSeconds / Settings.TargetPrefillShare;
  const double highestNeed = std::max({byCalls, byTokens, byPrefill});
  return std::max(1, static_cast<int>(std::ceil(highestNeed)));
}

int ReplicaAutoscaler::assured() const {
  return static_cast<int>(std::ceil(KnownNeed * Settings.OnDemandCoverage));
}

bool ReplicaAutoscaler::isLoadKnown(Instant now) const {
  return LoadSince != Instant{} && now - LoadSince > Settings.PeakWindow;
}

bool ReplicaAutoscaler::isScarce(Instant now) const {
  return LastScarceAt != Instant{} &&
         now - LastScarceAt < Settings.ScarcityWindow;
}

void ReplicaAutoscaler::recordPeak(const ServiceLoad &load, int serving,
                                   Instant now) {
  int wanted = replicasFor(load);
  // Calls queue up while replicas are missing, so that their number reflects
  // the shortage and not what will be needed after it. The baseline is renewed
  // once ordered replicas have had the time to start.
  const bool isShort = PlannedReplicas > 0 && serving < PlannedReplicas;
  const bool isBaselineOutdated =
      ShortSince == Instant{} ||
      now - ShortSince > 2 * Bounds.StartupTime + OrderMargin;
  if (!isShort) {
    ShortSince = {};
  } else if (isBaselineOutdated) {
    ShortSince = now;
    PlannedBeforeShortage = PlannedReplicas;
  }
  if (isShort)
    wanted = std::min(
        wanted, static_cast<int>(std::ceil(PlannedBeforeShortage *
                                           Settings.MaxGrowthWhileShort)));
  Peaks.emplace_back(now, wanted);
  Peaks.erase(std::remove_if(Peaks.begin(), Peaks.end(),
                             [&](const auto &it) {
                               return now - it.first > Settings.PeakWindow;
                             }),
              Peaks.end());
  Needed = 0;
  for (const auto &[at, count] : Peaks)
    Needed = std::max(Needed, count);
}

void ReplicaAutoscaler::addOrder(std::vector<ReplicaOrder> &out,
                                 const ServiceId &service, const ZoneId &zone,
                                 bool isReclaimable, int count, int seen,
                                 Instant now) {
  LastOrder &last = LastOrders[{zone, isReclaimable}];
  if (count == seen && last.Count < 0)
    return;
  const bool wasRefused = last.RefusedAt != Instant{} &&
                          now - last.RefusedAt < Settings.RefusalBackoff;
  if (wasRefused)
    return;
  const bool isSame = last.Count == count;
  const bool isOrderOverdue =
      seen != count && now - last.At > Bounds.StartupTime + OrderMargin;
  if (isSame && !isOrderOverdue)
    return;
  out.push_back({service, zone, isReclaimable, count});
}

/// Starts with the replicas that an earlier lease holder ordered, less its
/// reserve for the loss of a zone. Called once, since later reclaimable
/// replicas result from this autoscaler's own orders. If some zone has no
/// reclaimable replicas, that loss has already happened and further ones may be
/// unavailable.
void ReplicaAutoscaler::adoptExisting(
    const std::map<ZoneId, ZoneReplicas> &seen, Instant now) {
  const int zones = static_cast<int>(seen.size());
  int all = 0;
  int reclaimable = 0;
  int occupiedZones = 0;
  int zonesWithReclaimable = 0;
  for (const auto &[zone, it] : seen) {
    all += it.OnDemand + it.Reclaimable;
    reclaimable += it.Reclaimable;
    occupiedZones += it.OnDemand + it.Reclaimable > 0 ? 1 : 0;
    zonesWithReclaimable += it.Reclaimable > 0 ? 1 : 0;
  }
  if (all == 0)
    return;
  HasSeenReplicas = true;
  SurplusSince = now;
  PlannedReplicas =
      occupiedZones < zones ? all : all * std::max(1, zones - 1) / zones;
  if (reclaimable > 0 && zonesWithReclaimable < zones)
    LastScarceAt = now;
}

void ReplicaAutoscaler::updatePlannedReplicas(
    const std::map<ZoneId, ZoneReplicas> &seen, Instant now) {
  if (Needed > 1 && LoadSince == Instant{})
    LoadSince = now;
  int onDemand = 0;
  for (const auto &[zone, it] : seen)
    onDemand += it.OnDemand;
  if (!HasSeenReplicas)
    adoptExisting(seen, now);
  if (LoadSince == Instant{}) {
    PlannedReplicas = std::max(PlannedReplicas, onDemand);
    SurplusSince = now;
  }
  const bool mayShrink = isLoadKnown(now) && !isScarce(now) &&
                         now - SurplusSince > Settings.ScaleDownDelay;
  if (Needed >= PlannedReplicas || mayShrink) {
    PlannedReplicas = Needed;
    SurplusSince = now;
  }
  const double growth = isLoadKnown(now) ? 1 : Settings.UnobservedLoadFactor;
  KnownNeed = LoadSince == Instant{}
                  ? PlannedReplicas
                  : std::min(PlannedReplicas,
                             static_cast<int>(std::ceil(Needed * growth)));
}

/// Replicas of the kind in the zone, including those that are still starting.
int ReplicaAutoscaler::expected(const ZoneId &zone, bool isReclaimable,
                                int seen, Instant now) const {
  const auto it = LastOrders.find({zone, isReclaimable});
  const bool mayBeStarting =
      it != LastOrders.end() && it->second.Count > seen &&
      now - it->second.At < Bounds.StartupTime + RegistrationMargin &&
      it->second.RefusedAt == Instant{};
  return mayBeStarting ? it->second.Count : seen;
}

/// A reclaim notice is the first sign of a shortage: waiting for the first
/// refused order would waste the seconds of warning that the notice gives.
void ReplicaAutoscaler::recordNotices(
    const std::map<ZoneId, ZoneReplicas> &seen, Instant now) {
  for (const auto &[zone, it] : seen) {
    if (!it.HasReclaimNotice) {
      ZonesUnderNotice.erase(zone);
      continue;
    }
    LastScarceAt = now;
    if (ZonesUnderNotice.insert(zone).second)
      NoticeTimes.push_back(now);
  }
  NoticeTimes.erase(std::remove_if(NoticeTimes.begin(), NoticeTimes.end(),
                                   [&](Instant at) {
                                     return now - at >= Settings.ScarcityWindow;
                                   }),
                    NoticeTimes.end());
}

/// The number of reclaimable replicas that may be lost before others become
/// available: those of as many zones as were reclaimed recently, the largest
/// first.
int ReplicaAutoscaler::scarcityReserve(std::vector<int> reclaimableByZone,
                                       Instant now) const {
  if (!isScarce(now))
    return 0;
  std::sort(reclaimableByZone.rbegin(), reclaimableByZone.rend());
  const std::size_t zones = std::min(
      reclaimableByZone.size(), std::max<std::size_t>(1, NoticeTimes.size()));
  return std::accumulate(
      reclaimableByZone.begin(),
      reclaimableByZone.begin() + static_cast<std::ptrdiff_t>(zones), 0);
}

/// The target counts for the usable zones, out of `zones` in all.
ReplicaAutoscaler::TargetCounts
ReplicaAutoscaler::computeTargets(const std::map<ZoneId, ZoneReplicas> &seen,
                                  int zones, Instant now) {
  TargetCounts targets;
  if (Bounds.ReclaimablePrice >= 1) {
    targets.OnDemand = PlannedReplicas;
    return targets;
  }
  // Any one zone may lose its replicas at any time; an evacuated one already
  // has.
  const int left = std::clamp(zones - 1, 1, static_cast<int>(seen.size()));
  targets.ReclaimablePerZone =
      std::clamp((PlannedReplicas + left - 1) / left,
                 std::max(1, Bounds.MinReplicas), Bounds.MaxReplicas);
  recordNotices(seen, now);
  std::vector<int> expectedReplicas;
  expectedReplicas.reserve(seen.size());
  for (const auto &[zone, it] : seen)
    expectedReplicas.push_back(it.HasReclaimNotice
                                   ? it.Reclaimable
                                   : expected(zone, true, it.Reclaimable, now));
  const int all =
      std::accumulate(expectedReplicas.begin(), expectedReplicas.end(), 0);
  targets.OnDemand =
      std::max(0, assured() - all + scarcityReserve(expectedReplicas, now));
  return targets;
}

/// On-demand replicas by zone: existing ones stay, further ones go to the
/// cheapest zones.
std::map<ZoneId, int> ReplicaAutoscaler::distributeOnDemand(
    const std::map<ZoneId, ZoneReplicas> &seen, int count) const {
  std::map<ZoneId, int> out;
  std::vector<std::pair<double, ZoneId>> byPrice;
  for (const auto &[zone, it] : seen) {
    const auto price = Bounds.ZonePrices.find(zone);
    byPrice.emplace_back(price == Bounds.ZonePrices.end() ? 1.0 : price->second,
                         zone);
    out[zone] = 0;
  }
  std::sort(byPrice.begin(), byPrice.end());
  int left = count;
  for (const auto &[price, zone] : byPrice) {
    out[zone] = std::min(left, seen.at(zone).OnDemand);
    left -= out[zone];
  }
  // The rest goes to the zones in turn, so that the loss of one zone does not
  // take all of them.
  bool isPlaced = true;
  while (left > 0 && isPlaced) {
    isPlaced = false;
    for (const auto &[price, zone] : byPrice) {
      const ZoneReplicas &it = seen.at(zone);
      if (left == 0 || out[zone] + it.Reclaimable >= Bounds.MaxReplicas)
        continue;
      ++out[zone];
      --left;
      isPlaced = true;
    }
  }
  return out;
}

std::vector<ReplicaOrder>
ReplicaAutoscaler::orders(const ServiceId &service,
                          const std::map<ZoneId, ZoneReplicas> &seen,
                          const ServiceLoad &load, Instant now) {
  if (seen.empty())
    return {};
  // Replicas in an evacuated zone serve no calls but stay as they are, since
  // they may be needed again at any moment.
  std::map<ZoneId, ZoneReplicas> usable;
  int serving = 0;
  for (const auto &[zone, it] : seen) {
    if (it.IsEvacuated)
      continue;
    usable[zone] = it;
    serving += it.OnDemand + it.Reclaimable;
  }
  recordPeak(load, serving, now);
  updatePlannedReplicas(seen, now);
  if (usable.empty())
    return {};
  return ordersIn(service, usable, static_cast<int>(seen.size()), now);
}

std::vector<ReplicaOrder>
ReplicaAutoscaler::ordersIn(const ServiceId &service,
                            const std::map<ZoneId, ZoneReplicas> &seen,
                            int zones, Instant now) {
  std::vector<ReplicaOrder> out;
  int serving = 0;
  for (const auto &[zone, it] : seen)
    serving += it.OnDemand + it.Reclaimable;
  const TargetCounts targets = computeTargets(seen, zones, now);
  int onDemand = 0;
  std::map<ZoneId, ZoneReplicas> expectedReplicas = seen;
  for (auto &[zone, it] : expectedReplicas) {
    it.OnDemand = expected(zone, false, it.OnDemand, now);
    onDemand += it.OnDemand;
  }
  for (const auto &[zone, it] : seen) {
    const int zoneCapacity = std::max(0, Bounds.MaxReplicas - it.OnDemand);
    // A replica that is removed now might not be available again.
    const int minimumCount = isScarce(now) ? it.Reclaimable : 0;
    if (!it.HasReclaimNotice && Bounds.ReclaimablePrice < 1)
      addOrder(out, service, zone, true,
               std::min(std::max(minimumCount, targets.ReclaimablePerZone),
                        zoneCapacity),
               it.Reclaimable, now);
  }
  if (targets.OnDemand >= onDemand) {
    OnDemandSurplusSince = now;
    if (targets.OnDemand == onDemand)
      return out;
  }
  // On-demand replicas are removed only once others serve in their place, and
  // not during a short lull.
  const bool mayShrink =
      serving - (onDemand - targets.OnDemand) >= assured() &&
      (targets.OnDemand > onDemand ||
       now - OnDemandSurplusSince > (LoadSince == Instant{}
                                         ? Duration::zero()
                                         : Settings.ScaleDownDelay));
  if (targets.OnDemand < onDemand && !mayShrink)
    return out;
  for (const auto &[zone, count] :
       distributeOnDemand(expectedReplicas, targets.OnDemand)) {
    const ZoneReplicas &it = seen.at(zone);
    const int minimumCount = std::max(0, Bounds.MinReplicas - it.Reclaimable);
    addOrder(out, service, zone, false,
             std::max(count, std::min(minimumCount, it.OnDemand)), it.OnDemand,
             now);
  }
  return out;
}

void ReplicaAutoscaler::noteResult(const ReplicaOrder &order,
                                   CloudResult result, Instant now) {
  LastOrder &last = LastOrders[{order.Zone, order.IsReclaimable}];
  if (result == CloudResult::Accepted) {
    last.Count = order.Count;
    last.At = now;
    last.RefusedAt = {};
    return;
  }
  last.RefusedAt = now;
  if (order.IsReclaimable && result == CloudResult::NoneAvailable)
    LastScarceAt = now;
}

} // namespace sorrelbay
