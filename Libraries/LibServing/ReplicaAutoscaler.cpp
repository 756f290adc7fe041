#include "LibServing/ReplicaAutoscaler.h"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace sorrelbay {

/// An order that was accepted but doesn't show is given again after the boot
/// time and this.
static constexpr Duration OrderMargin = seconds(3);
/// From a replica's boot until its entry shows.
static constexpr Duration BootMargin = milliseconds(700);

ReplicaAutoscaler::ReplicaAutoscaler(ScalingBounds bounds, EngineShape engine,
                                     ReplicaAutoscalerSettings settings)
    : Bounds(std::move(bounds)), Engine(engine), Settings(settings) {}

int ReplicaAutoscaler::replicasFor(const ServiceLoad &load) const {
  const double byCalls = load.OpenCalls / (Engine.Slots * Settings.CallShare);
  const double byTokens = Engine.MemoryTokens <= 0
                              ? 0
                              : static_cast<double>(load.OpenTokens) /
                                    (static_cast<double>(Engine.MemoryTokens) *
                                     Settings.TokenShare);
  const double byReading = load.EngineSeconds / Settings.TargetPrefillShare;
  const double most = std::max({byCalls, byTokens, byReading});
  return std::max(1, static_cast<int>(std::ceil(most)));
}

int ReplicaAutoscaler::assured() const {
  return static_cast<int>(std::ceil(Certain * Settings.OnDemandShare));
}

bool ReplicaAutoscaler::knowsLoad(Instant now) const {
  return LoadSince != Instant{} && now - LoadSince > Settings.PeakMemory;
}

bool ReplicaAutoscaler::isScarce(Instant now) const {
  return ScarceSince != Instant{} && now - ScarceSince < Settings.ScarceMemory;
}

void ReplicaAutoscaler::rememberPeak(const ServiceLoad &load, int serving,
                                     Instant now) {
  int wanted = replicasFor(load);
  // Calls pile up where replicas are missing; their number then speaks of what
  // is missing, not of what will be needed once it is there. It is looked at
  // anew when what was ordered has had the time to come.
  const bool isShort = Kept > 0 && serving < Kept;
  const bool isNew = ShortSince == Instant{} ||
                     now - ShortSince > 2 * Bounds.StartupTime + OrderMargin;
  if (!isShort) {
    ShortSince = {};
  } else if (isNew) {
    ShortSince = now;
    KeptBefore = Kept;
  }
  if (isShort)
    wanted = std::min(wanted, static_cast<int>(std::ceil(
                                  KeptBefore * Settings.GrowthWhileShort)));
  Peaks.emplace_back(now, wanted);
  Peaks.erase(std::remove_if(Peaks.begin(), Peaks.end(),
                             [&](const auto &it) {
                               return now - it.first > Settings.PeakMemory;
                             }),
              Peaks.end());
  Needed = 0;
  for (const auto &[at, count] : Peaks)
    Needed = std::max(Needed, count);
}

void ReplicaAutoscaler::add(std::vector<ReplicaOrder> &out,
                            const ServiceId &service, const ZoneId &zone,
                            bool isReclaimable, int count, int seen,
                            Instant now) {
  Ordered &last = Last[{zone, isReclaimable}];
  if (count == seen && last.Count < 0)
    return;
  const bool wasRefused = last.RefusedAt != Instant{} &&
                          now - last.RefusedAt < Settings.RefusedPause;
  if (wasRefused)
    return;
  const bool isSame = last.Count == count;
  const bool isStuck =
      seen != count && now - last.At > Bounds.StartupTime + OrderMargin;
  if (isSame && !isStuck)
    return;
  out.push_back({service, zone, isReclaimable, count});
}

/// Begins with what an earlier holder has ordered, without what it kept for the
/// loss of a zone; later the reclaimable ones are this plan's own. Where a zone
/// has none that loss has come, and others may not be had.
void ReplicaAutoscaler::takeOver(const std::map<ZoneId, ZoneReplicas> &seen,
                                 Instant now) {
  const int zones = static_cast<int>(seen.size());
  int all = 0;
  int reclaimable = 0;
  int with = 0;
  int withReclaimable = 0;
  for (const auto &[zone, it] : seen) {
    all += it.OnDemand + it.Reclaimable;
    reclaimable += it.Reclaimable;
    with += it.OnDemand + it.Reclaimable > 0 ? 1 : 0;
    withReclaimable += it.Reclaimable > 0 ? 1 : 0;
  }
  if (all == 0)
    return;
  HasSeen = true;
  LowSince = now;
  Kept = with < zones ? all : all * std::max(1, zones - 1) / zones;
  if (reclaimable > 0 && withReclaimable < zones)
    ScarceSince = now;
}

void ReplicaAutoscaler::keepLevel(const std::map<ZoneId, ZoneReplicas> &seen,
                                  Instant now) {
  if (Needed > 1 && LoadSince == Instant{})
    LoadSince = now;
  int onDemand = 0;
  for (const auto &[zone, it] : seen)
    onDemand += it.OnDemand;
  if (!HasSeen)
    takeOver(seen, now);
  if (LoadSince == Instant{}) {
    Kept = std::max(Kept, onDemand);
    LowSince = now;
  }
  const bool mayShrink =
      knowsLoad(now) && !isScarce(now) && now - LowSince > Settings.ShrinkPause;
  if (Needed >= Kept || mayShrink) {
    Kept = Needed;
    LowSince = now;
  }
  const double growth = knowsLoad(now) ? 1 : Settings.UnseenGrowth;
  Certain = LoadSince == Instant{}
                ? Kept
                : std::min(Kept, static_cast<int>(std::ceil(Needed * growth)));
}

/// Replicas of the kind that serve in the zone or will once they have booted.
int ReplicaAutoscaler::expected(const ZoneId &zone, bool isReclaimable,
                                int seen, Instant now) const {
  const auto it = Last.find({zone, isReclaimable});
  const bool mayBoot = it != Last.end() && it->second.Count > seen &&
                       now - it->second.At < Bounds.StartupTime + BootMargin &&
                       it->second.RefusedAt == Instant{};
  return mayBoot ? it->second.Count : seen;
}

/// A notice is the first that is heard of a shortage; waiting for the first
/// refusal costs the seconds that the notice gives.
void ReplicaAutoscaler::rememberNotices(
    const std::map<ZoneId, ZoneReplicas> &seen, Instant now) {
  for (const auto &[zone, it] : seen) {
    if (!it.HasReclaimNotice) {
      UnderNotice.erase(zone);
      continue;
    }
    ScarceSince = now;
    if (UnderNotice.insert(zone).second)
      Notices.push_back(now);
  }
  Notices.erase(std::remove_if(Notices.begin(), Notices.end(),
                               [&](Instant at) {
                                 return now - at >= Settings.ScarceMemory;
                               }),
                Notices.end());
}

/// Reclaimable replicas that may go before others are to be had, by how many
/// zones have gone lately.
int ReplicaAutoscaler::coverOf(std::vector<int> reclaimableByZone,
                               Instant now) const {
  if (!isScarce(now))
    return 0;
  std::sort(reclaimableByZone.rbegin(), reclaimableByZone.rend());
  const std::size_t zones = std::min(reclaimableByZone.size(),
                                     std::max<std::size_t>(1, Notices.size()));
  return std::accumulate(
      reclaimableByZone.begin(),
      reclaimableByZone.begin() + static_cast<std::ptrdiff_t>(zones), 0);
}

/// What the usable ones of so many zones should have.
ReplicaAutoscaler::Aim
ReplicaAutoscaler::aimAt(const std::map<ZoneId, ZoneReplicas> &seen, int zones,
                         Instant now) {
  Aim aim;
  if (Bounds.ReclaimablePrice >= 1) {
    aim.OnDemand = Kept;
    return aim;
  }
  // One zone may lose its replicas at any time; one that is evacuated has.
  const int left = std::clamp(zones - 1, 1, static_cast<int>(seen.size()));
  aim.ReclaimablePerZone =
      std::clamp((Kept + left - 1) / left, std::max(1, Bounds.MinReplicas),
                 Bounds.MaxReplicas);
  rememberNotices(seen, now);
  std::vector<int> coming;
  coming.reserve(seen.size());
  for (const auto &[zone, it] : seen)
    coming.push_back(it.HasReclaimNotice
                         ? it.Reclaimable
                         : expected(zone, true, it.Reclaimable, now));
  const int all = std::accumulate(coming.begin(), coming.end(), 0);
  aim.OnDemand = std::max(0, assured() - all + coverOf(coming, now));
  return aim;
}

/// On-demand replicas by zone: those that are there stay, others come where
/// they are cheapest.
std::map<ZoneId, int>
ReplicaAutoscaler::spreadOnDemand(const std::map<ZoneId, ZoneReplicas> &seen,
                                  int count) const {
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
  // Then one in each zone by turns, so that no zone's trouble takes them all.
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
  // What stands in an evacuated zone serves nobody, and is left as it is: it
  // may be needed again at any moment.
  std::map<ZoneId, ZoneReplicas> usable;
  int serving = 0;
  for (const auto &[zone, it] : seen) {
    if (it.IsEvacuated)
      continue;
    usable[zone] = it;
    serving += it.OnDemand + it.Reclaimable;
  }
  rememberPeak(load, serving, now);
  keepLevel(seen, now);
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
  const Aim aim = aimAt(seen, zones, now);
  int onDemand = 0;
  std::map<ZoneId, ZoneReplicas> coming = seen;
  for (auto &[zone, it] : coming) {
    it.OnDemand = expected(zone, false, it.OnDemand, now);
    onDemand += it.OnDemand;
  }
  for (const auto &[zone, it] : seen) {
    const int room = std::max(0, Bounds.MaxReplicas - it.OnDemand);
    // One that is sent away now may not be had again.
    const int least = isScarce(now) ? it.Reclaimable : 0;
    if (!it.HasReclaimNotice && Bounds.ReclaimablePrice < 1)
      add(out, service, zone, true,
          std::min(std::max(least, aim.ReclaimablePerZone), room),
          it.Reclaimable, now);
  }
  if (aim.OnDemand >= onDemand) {
    OnDemandLowSince = now;
    if (aim.OnDemand == onDemand)
      return out;
  }
  // They go only once others serve in their place, and not for a moment's lull.
  const bool mayShrink =
      serving - (onDemand - aim.OnDemand) >= assured() &&
      (aim.OnDemand > onDemand ||
       now - OnDemandLowSince >
           (LoadSince == Instant{} ? Duration::zero() : Settings.ShrinkPause));
  if (aim.OnDemand < onDemand && !mayShrink)
    return out;
  for (const auto &[zone, count] : spreadOnDemand(coming, aim.OnDemand)) {
    const ZoneReplicas &it = seen.at(zone);
    const int least = std::max(0, Bounds.MinReplicas - it.Reclaimable);
    add(out, service, zone, false,
        std::max(count, std::min(least, it.OnDemand)), it.OnDemand, now);
  }
  return out;
}

void ReplicaAutoscaler::noteResult(const ReplicaOrder &order,
                                   CloudResult result, Instant now) {
  Ordered &last = Last[{order.Zone, order.IsReclaimable}];
  if (result == CloudResult::Accepted) {
    last.Count = order.Count;
    last.At = now;
    last.RefusedAt = {};
    return;
  }
  last.RefusedAt = now;
  if (order.IsReclaimable && result == CloudResult::NoneAvailable)
    ScarceSince = now;
}

} // namespace sorrelbay
