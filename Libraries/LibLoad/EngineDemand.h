#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>

namespace sorrelbay {

/// Engine time that calls ask for, in seconds a second, by service.
using DemandByService = std::map<ServiceId, double>;

/// How much engine time arrives, over all hosts: what callers ask for,
/// whether or not there are upstreams for it. Open calls pile up where
/// upstreams are missing and say little of what is needed; arrivals don't. Not
/// thread-safe.
class EngineDemand {
public:
  /// A call has arrived here that takes an engine so many milliseconds.
  void note(const ServiceId &service, double milliseconds, Instant now);
  /// What a peer's report says, instead of what it said before. Figures that
  /// can't be are left out.
  void notePeer(const SourceId &peer, const DemandByService &demand);
  void forgetPeer(const SourceId &peer) { Peers.erase(peer); }

  /// What arrives at this host, for its reports.
  DemandByService own(Instant now) const;
  /// What arrives at all hosts.
  double total(const ServiceId &service, Instant now) const;

private:
  struct Flow {
    /// Seconds of engine time, older ones counting less.
    double Work = 0;
    Instant At{};
  };

  static double rateOf(const Flow &flow, Instant now);

  std::map<ServiceId, Flow> Own;
  std::map<SourceId, DemandByService> Peers;
};

} // namespace sorrelbay
