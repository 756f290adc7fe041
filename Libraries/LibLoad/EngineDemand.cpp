#include "LibLoad/EngineDemand.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

/// Time constant of the exponential average over arrivals, in seconds.
static constexpr double AveragingSeconds = 3;
/// Largest plausible rate, in seconds per second: no deployment has as many
/// engines.
static constexpr double MaxPlausibleDemand = 1e5;

double EngineDemand::rateOf(const DecayedDemand &decayed, Instant now) {
  const double age = std::max(0.0, toSeconds(now - decayed.At));
  return decayed.DecayedSeconds * std::exp(-age / AveragingSeconds) /
         AveragingSeconds;
}

void EngineDemand::note(const ServiceId &service, double milliseconds,
                        Instant now) {
  DecayedDemand &decayed = Own[service];
  decayed.DecayedSeconds =
      rateOf(decayed, now) * AveragingSeconds + milliseconds / 1000;
  decayed.At = now;
}

void EngineDemand::notePeer(const SourceId &peer,
                            const DemandByService &demand) {
  DemandByService &known = Peers[peer];
  known.clear();
  for (const auto &[service, rate] : demand)
    if (std::isfinite(rate) && rate >= 0 && rate <= MaxPlausibleDemand)
      known[service] = rate;
}

DemandByService EngineDemand::own(Instant now) const {
  DemandByService out;
  for (const auto &[service, decayed] : Own)
    out[service] = rateOf(decayed, now);
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
