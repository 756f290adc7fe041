#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>

namespace sorrelbay {

/// Engine time that calls need, in seconds per second, by service.
using DemandByService = std::map<ServiceId, double>;

/// Rate at which arriving calls require engine time over all hosts, whether or
/// not there are upstreams for them. The number of open calls is no measure of
/// what is needed, since calls queue up while upstreams are missing; arrivals
/// are. Not thread-safe.
class EngineDemand {
public:
  /// Records a call that arrived at this host and needs `milliseconds` of
  /// engine time.
  void note(const ServiceId &service, double milliseconds, Instant now);
  /// Replaces the demand that the peer reported before. Rates that are
  /// negative, not finite or implausibly large are ignored.
  void notePeer(const SourceId &peer, const DemandByService &demand);
  void forgetPeer(const SourceId &peer) { Peers.erase(peer); }

  /// The demand that arrives at this host, for its reports.
  DemandByService own(Instant now) const;
  /// The demand that arrives at all hosts, in seconds per second.
  double total(const ServiceId &service, Instant now) const;

private:
  struct DecayedDemand {
    /// Exponentially decayed sum of engine time, in seconds.
    double DecayedSeconds = 0;
    Instant At{};
  };

  static double rateOf(const DecayedDemand &decayed, Instant now);

  std::map<ServiceId, DecayedDemand> Own;
  std::map<SourceId, DemandByService> Peers;
};

} // namespace sorrelbay
