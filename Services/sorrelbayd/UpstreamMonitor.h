#pragma once

#include "GatewayState.h"
#include <boost/asio/steady_timer.hpp>

namespace sorrelbay {

/// Notices when this host loses its paths to all upstreams of a service, and
/// when it has them back: records the results of opening connections, and opens
/// some itself when there is a doubt. Used only on the event loop's thread.
class UpstreamMonitor {
public:
  explicit UpstreamMonitor(GatewayState &state);

  void noteConnect(const ServiceId &service, const UpstreamId &upstream,
                   ConnectResult result);
  /// To be called when a call is sent: its upstream may stay silent.
  void watchForSilence();
  /// To be called several times a second.
  void tick(Instant now);

private:
  void forgetServicesWithoutUpstreams();
  void probe(Instant now);
  void probe(const ServiceId &service, Instant now);
  std::map<UpstreamId, ZoneId> upstreamsOf(const ServiceId &service) const;
  void onLost(const ServiceId &service);
  void onRegained(const ServiceId &service);

  GatewayState &State;
  boost::asio::steady_timer SilenceTimer;
  bool IsWatching = false;
};

} // namespace sorrelbay
