#include "LibLoad/EngineDemand.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

/// The time over which arrivals are averaged.
static constexpr double MemorySeconds = 3;
/// More engine time a second than any deployment has engines.
static constexpr double MostDemand = 1e5;

double EngineDemand::rateOf(const Flow &flow, Instant now) {
  const double age = std::max(0.0, toSeconds(now - flow.At));
  return flow.Work * std::exp(-age / MemorySeconds) / MemorySeconds;
}

void EngineDemand::note(const ServiceId &service, double milliseconds,
                        Instant now) {
  Flow &flow = Own[service];
  flow.Work = rateOf(flow, now) * MemorySeconds + milliseconds / 1000;
  flow.At = now;
}

void EngineDemand::notePeer(const SourceId &peer,
                            const DemandByService &demand) {
  DemandByService &known = Peers[peer];
  known.clear();
  for (const auto &[service, rate] : demand)
    if (std::isfinite(rate) && rate >= 0 && rate <= MostDemand)
      known[service] = rate;
}

DemandByService EngineDemand::own(Instant now) const {
  DemandByService out;
  for (const auto &[service, flow] : Own)
    out[service] = rateOf(flow, now);
  return out;
}

double EngineDemand::total(const ServiceId &service, Instant now) const {
  double sum = 0;
  const auto own = Own.find(service);
  if (own != Own.end())
    sum += rateOf(own->second, now);
  for (const auto &[peer, demand] : Peers) {
    const auto it = demand.find(service);
    if (it != demand.end())
      sum += it->second;
  }
  return sum;
}

} // namespace sorrelbay
