#include "LibDecision/HostMix.h"
#include "LibBase/Invariant.h"
#include <algorithm>
#include <cmath>
#include <map>
#include <optional>

namespace sorrelbay {

namespace {

// Upper bound on the number of levels tried. The mix for a large fleet is then
// optimal to within 1/MaxLevels of the capacity.
constexpr int MaxLevels = 200;
// Tolerance for rounding errors in sums of capacities.
constexpr double Tolerance = 1e-9;

double capacityOf(const HostMix &mix, bool isReclaimable) {
  double sum = 0;
  for (const HostCount &it : mix)
    if (it.Offer.IsReclaimable == isReclaimable)
      sum += it.Hosts * it.Offer.Capacity;
  return sum;
}

/// Adds reclaimable hosts, cheapest first, with at most `level` capacity per
/// zone, until the capacity survives the loss of any one zone.
HostMix fillZones(const std::vector<HostOffer> &reclaimable, double level,
                  double capacity, double maxReclaimable) {
  HostMix mix;
  std::map<ZoneId, double> zones;
  double largest = 0;
  double sum = 0;
  for (const HostOffer &it : reclaimable) {
    double &zone = zones[it.InZone];
    int hosts = 0;
    while (hosts < it.MaxHosts && sum - largest < capacity - Tolerance &&
           zone + it.Capacity <= level + Tolerance &&
           sum + it.Capacity <= maxReclaimable + Tolerance) {
      ++hosts;
      zone += it.Capacity;
      sum += it.Capacity;
      largest = std::max(largest, zone);
    }
    if (hosts > 0)
      mix.push_back({it, hosts});
  }
  return mix;
}

/// Adds on-demand hosts, cheapest first, until the capacity survives the loss
/// of any one zone. Returns false if the offers do not suffice.
bool completeOnDemand(HostMix &mix, const std::vector<HostOffer> &onDemand,
                      double capacity) {
  double missing = capacity - capacityAfterZoneLoss(mix);
  for (const HostOffer &it : onDemand) {
    if (missing <= Tolerance)
      break;
    const double wanted = std::ceil(missing / it.Capacity - Tolerance);
    const int hosts =
        static_cast<int>(std::min(wanted, static_cast<double>(it.MaxHosts)));
    if (hosts == 0)
      continue;
    mix.push_back({it, hosts});
    missing -= hosts * it.Capacity;
  }
  return missing <= Tolerance;
}

/// Removes reclaimable hosts that are not needed, most expensive first.
void trim(HostMix &mix, double capacity) {
  for (auto it = mix.rbegin(); it != mix.rend(); ++it)
    while (it->Hosts > 0) {
      --it->Hosts;
      if (capacityAfterZoneLoss(mix) >= capacity - Tolerance)
        continue;
      ++it->Hosts;
      break;
    }
  mix.erase(std::remove_if(mix.begin(), mix.end(),
                           [](const HostCount &it) { return it.Hosts == 0; }),
            mix.end());
}

std::vector<HostOffer> byCost(const std::vector<HostOffer> &offers,
                              bool isReclaimable) {
  std::vector<HostOffer> out;
  for (const HostOffer &it : offers)
    if (it.IsReclaimable == isReclaimable && it.MaxHosts > 0)
      out.push_back(it);
  std::stable_sort(out.begin(), out.end(),
                   [](const HostOffer &a, const HostOffer &b) {
                     return a.costOfCapacity() < b.costOfCapacity();
                   });
  return out;
}

} // namespace

std::int64_t costOf(const HostMix &mix) {
  std::int64_t sum = 0;
  for (const HostCount &it : mix)
    sum += it.Hosts * it.Offer.HourlyCost;
  return sum;
}

double capacityAfterZoneLoss(const HostMix &mix) {
  std::map<ZoneId, double> byZone;
  for (const HostCount &it : mix)
    if (it.Offer.IsReclaimable)
      byZone[it.Offer.InZone] += it.Hosts * it.Offer.Capacity;
  double largest = 0;
  for (const auto &it : byZone)
    largest = std::max(largest, it.second);
  return capacityOf(mix, false) + capacityOf(mix, true) - largest;
}

// Tries each level that the reclaimable capacity of a zone may reach: fills the
// zones up to the level, then adds on-demand hosts for the rest.
HostMix cheapestMix(const std::vector<HostOffer> &offers, double capacity,
                    double reclaimableShare) {
  const std::vector<HostOffer> reclaimable = byCost(offers, true);
  const std::vector<HostOffer> onDemand = byCost(offers, false);
  double smallest = capacity;
  for (const HostOffer &it : reclaimable)
    smallest = std::min(smallest, it.Capacity);
  const double step = std::max(smallest, capacity / MaxLevels);
  // No mix needs more than twice the capacity on reclaimable hosts.
  const double most = reclaimableShare >= 1 ? 2 * (capacity + step)
                                            : capacity * reclaimableShare;
  std::optional<HostMix> best;
  for (double level = 0; step > 0 && level <= capacity + step; level += step) {
    HostMix mix = fillZones(reclaimable, level, capacity, most);
    if (!completeOnDemand(mix, onDemand, capacity))
      continue;
    trim(mix, capacity);
    if (!best || costOf(mix) < costOf(*best))
      best = mix;
  }
  if (best) {
    verifyInvariant(capacityAfterZoneLoss(*best) >= capacity - 2 * Tolerance,
                    "a mix outlasts the loss of a zone",
                    "the capacity after a zone loss is too low");
    return *best;
  }
  // No mix suffices: use the offered hosts up to the capacity before a loss.
  HostMix all = fillZones(reclaimable, capacity, 2 * capacity, capacity);
  completeOnDemand(all, onDemand, capacity);
  return all;
}

} // namespace sorrelbay
