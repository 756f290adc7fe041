#include "UpstreamMonitor.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"

namespace sorrelbay {

/// Interval of the checks for silence while calls wait for upstreams.
static constexpr Duration SilenceCheckInterval = milliseconds(100);

UpstreamMonitor::UpstreamMonitor(GatewayState &state)
    : State(state), SilenceTimer(state.Loop) {}

std::map<UpstreamId, ZoneId>
UpstreamMonitor::upstreamsOf(const ServiceId &service) const {
  std::map<UpstreamId, ZoneId> out;
  for (const ReplicaRecord &it : State.Replicas.records())
    if (it.OfService == service && !it.IsLeaving &&
        !State.Replicas.isEvacuated(it.InZone))
      out[it.Id] = it.InZone;
  return out;
}

void UpstreamMonitor::noteConnect(const ServiceId &service,
                                  const UpstreamId &upstream,
                                  ConnectResult result) {
  const Instant now = bootNow();
  State.Counts.countUpstreamConnect(service.text(), toText(result));
  const bool wasUnreachable = State.Paths.isUnreachable(service);
  const bool isConnected = result == ConnectResult::Connected;
  const int upstreams = isConnected ? 0 : State.Replicas.ready(service);
  State.Paths.noteConnect(service, upstream, isConnected,
                          static_cast<std::size_t>(upstreams), now);
  const bool isUnreachable = State.Paths.isUnreachable(service);
  if (isUnreachable && !wasUnreachable)
    onLost(service);
  else if (wasUnreachable && !isUnreachable)
    onRegained(service);
  else if (!isConnected)
    probe(service, now);
}

void UpstreamMonitor::onLost(const ServiceId &service) {
  LogLine(Severity::Warning, "service unreachable from this host")
      .field("service", service.text())
      .field("failed_upstreams",
             static_cast<std::int64_t>(State.Paths.failedUpstreams(service)));
  // Idle connections may be dead without this host having noticed.
  for (const ReplicaRecord &it : State.Replicas.records())
    if (it.OfService == service)
      State.Client.forget(it.Address);
  State.Failures.discard(service);
  State.Replicas.resetHealth(service);
  State.NotifyPeers();
}

void UpstreamMonitor::onRegained(const ServiceId &service) {
  LogLine(Severity::Info, "service reachable again")
      .field("service", service.text());
  State.NotifyPeers();
}

void UpstreamMonitor::probe(const ServiceId &service, Instant now) {
  if (!State.Paths.isProbeDue(service, now))
    return;
  for (const UpstreamId &it :
       State.Paths.takeProbes(service, upstreamsOf(service), now))
    State.Client.openIdle(State.Replicas.find(it)->Address,
                          [this, service, it](ConnectResult result) {
                            noteConnect(service, it, result);
                          });
}

void UpstreamMonitor::probe(Instant now) {
  if (!State.Plan || !State.knowsUpstreams() || State.isStopping())
    return;
  for (const ServingService &it : State.Plan->plan().Services)
    probe(it.Name, now);
}

void UpstreamMonitor::watchForSilence() {
  if (IsWatching)
    return;
  IsWatching = true;
  SilenceTimer.expires_after(SilenceCheckInterval);
  SilenceTimer.async_wait([this](boost::system::error_code ec) {
    IsWatching = false;
    if (ec)
      return;
    probe(bootNow());
    if (State.Paths.isAnyCallWaiting())
      watchForSilence();
  });
}

/// A service whose upstreams are gone is not out of reach of this host alone.
void UpstreamMonitor::forgetServicesWithoutUpstreams() {
  for (const ServiceId &it : State.Paths.unreachable())
    if (!State.Plan || !State.Plan->service(it) || upstreamsOf(it).empty())
      State.Paths.forget(it);
}

/// Counts the failures that were held back, and probes where there is a doubt.
void UpstreamMonitor::tick(Instant now) {
  for (const UnansweredSend &it : State.Failures.takeDue(State.Paths, now))
    State.RecordOutcome(it.Service, it.Version, it.Route,
                        UpstreamOutcome::Failed);
  forgetServicesWithoutUpstreams();
  probe(now);
}

} // namespace sorrelbay
