#pragma once

#include "LibBase/Identifier.h"
#include <cstdint>
#include <limits>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// A machine class as the cloud provider names it.
using MachineClass = Identifier<struct MachineClassTag>;

/// An offer of the cloud: hosts of one class in one zone at one price.
struct HostOffer {
  ZoneId InZone;
  MachineClass OfClass;
  /// Whether the cloud may reclaim the host at short notice.
  bool IsReclaimable = true;
  /// In micro-units of the currency.
  std::int64_t HourlyCost = 0;
  /// The load that the host serves within the latency target, in replicas.
  double Capacity = 1;
  /// The maximum number of hosts available from this offer.
  int MaxHosts = std::numeric_limits<int>::max();

  /// Whether both offers are for the same kind of host, regardless of price.
  bool isSameAs(const HostOffer &other) const {
    return std::tie(InZone, OfClass, IsReclaimable) ==
           std::tie(other.InZone, other.OfClass, other.IsReclaimable);
  }
  double costOfCapacity() const {
    return static_cast<double>(HourlyCost) / Capacity;
  }
};

/// A number of hosts from one offer.
struct HostCount {
  HostOffer Offer;
  int Hosts = 0;
};

using HostMix = std::vector<HostCount>;

/// The cost of the mix per hour, in micro-units of the currency.
std::int64_t costOf(const HostMix &mix);
/// The capacity left after the zone with the largest reclaimable capacity loses
/// all its reclaimable hosts.
double capacityAfterZoneLoss(const HostMix &mix);

/// Returns the cheapest mix that still has `capacity` after any one zone loses
/// its reclaimable hosts. Reclaimable hosts provide at most `reclaimableShare`
/// of the capacity. If no mix meets this, returns the offered hosts up to
/// `capacity` before a loss.
HostMix cheapestMix(const std::vector<HostOffer> &offers, double capacity,
                    double reclaimableShare);

} // namespace sorrelbay
