#pragma once

#include "LibBase/Identifier.h"
#include <cstdint>
#include <limits>
#include <tuple>
#include <vector>

namespace sorrelbay {

/// A machine class as the cloud names it.
using MachineClass = Identifier<struct MachineClassTag>;

/// What the cloud offers: hosts of one class in one zone at one price.
struct HostOffer {
  ZoneId InZone;
  MachineClass OfClass;
  /// The cloud may take the host back on short notice.
  bool IsReclaimable = true;
  /// Micro-units of money.
  std::int64_t HourlyCost = 0;
  /// Replicas' worth of work that the host carries within the latency target.
  double Capacity = 1;
  /// The most hosts that can be had of it.
  int MaxHosts = std::numeric_limits<int>::max();

  /// Whether both name the same thing to buy, at whatever price.
  bool isSameAs(const HostOffer &other) const {
    return std::tie(InZone, OfClass, IsReclaimable) ==
           std::tie(other.InZone, other.OfClass, other.IsReclaimable);
  }
  double costOfCapacity() const {
    return static_cast<double>(HourlyCost) / Capacity;
  }
};

/// So many hosts of an offer.
struct HostCount {
  HostOffer Offer;
  int Hosts = 0;
};

using HostMix = std::vector<HostCount>;

/// What a mix costs an hour, in micro-units.
std::int64_t costOf(const HostMix &mix);
/// The capacity that is left when the one zone whose reclaimable hosts carry
/// most loses all of them.
double capacityAfterZoneLoss(const HostMix &mix);

/// The cheapest mix of the offers that still has the capacity when any one zone
/// loses its reclaimable hosts, with at most that share of it on reclaimable
/// ones. If no mix can do that, what there is, up to the capacity before a
/// loss.
HostMix cheapestMix(const std::vector<HostOffer> &offers, double capacity,
                    double reclaimableShare);

} // namespace sorrelbay
