#include "ReplicaOrders.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"

namespace sorrelbay {

/// Interval of the log lines about a service's load.
static constexpr Duration LogInterval = seconds(2);
/// The interval between two orders, as a multiple of the cloud's shortest
/// interval between calls.
static constexpr double IntervalFactor = 2;

ReplicaOrders::ReplicaOrders(GatewayState &state, const DutyLease &duties)
    : State(state), Duties(duties), SendTimer(state.Loop) {}

void ReplicaOrders::tick(Instant now) {
  if (!Duties.isHeld(now) || !State.Plan) {
    PendingOrders.clear();
    return;
  }
  if (AutoscalersTerm != Duties.term()) {
    // Another holder may have ordered replicas since.
    Autoscalers.clear();
    AutoscalersTerm = Duties.term();
  }
  if (PendingOrders.empty() && !IsSending)
    plan(now);
  send(now);
}

ServiceLoad ReplicaOrders::loadOf(const ServiceId &service, Instant now) const {
  const auto work = State.Replicas.serviceWork(service, now);
  ServiceLoad load;
  load.OpenCalls = work.Calls;
  load.OpenTokens = work.Tokens;
  load.EngineSeconds = State.Demand.total(service, now);
  return load;
}

void ReplicaOrders::plan(Instant now) {
  const bool isLogDue = now - LoggedAt > LogInterval;
  for (const ServingService &service : State.Plan->plan().Services) {
    // During a rollout, both versions have replicas on purpose.
    if (!service.Scaling || !service.Engine || State.IsRollingOut(service.Name))
      continue;
    const auto [it, isNew] = Autoscalers.try_emplace(
        service.Name, *service.Scaling, *service.Engine);
    std::map<ZoneId, ZoneReplicas> seen;
    // After a rollout, the replicas of the other version stay listed for a
    // while but get no calls.
    const VersionPreference version = State.VersionFor(service.Name, "");
    for (const ReplicaRecord &record : State.Replicas.records()) {
      if (record.OfService != service.Name ||
          !allowsVersion(record.OfVersion, version))
        continue;
      ZoneReplicas &zone = seen[record.InZone];
      zone.IsEvacuated = State.Replicas.isEvacuated(record.InZone);
      zone.HasReclaimNotice = zone.HasReclaimNotice || hasReclaimNotice(record);
      if (!record.IsLeaving)
        ++(record.IsReclaimable ? zone.Reclaimable : zone.OnDemand);
    }
    for (const auto &[zone, price] : service.Scaling->ZonePrices)
      if (service.Scaling->MinReplicas > 0)
        seen[zone];
    const ServiceLoad load = loadOf(service.Name, now);
    for (const ReplicaOrder &order :
         it->second.orders(service.Name, seen, load, now))
      PendingOrders.push_back(order);
    if (!isLogDue)
      continue;
    LoggedAt = now;
    int serving = 0;
    for (const auto &[zone, replicas] : seen)
      serving += replicas.OnDemand + replicas.Reclaimable;
    State.Counts.setReplicas(service.Name.text(), "needed",
                             it->second.needed());
    State.Counts.setReplicas(service.Name.text(), "seen", serving);
    const int cold = State.Replicas.cold(service.Name, now);
    State.Counts.setReplicas(service.Name.text(), "cold", cold);
    LogLine line(Severity::Info, "service load");
    line.field("service", service.Name.text())
        .field("open_calls", static_cast<std::int64_t>(load.OpenCalls))
        .field("open_tokens", load.OpenTokens)
        .field("engine_seconds", load.EngineSeconds)
        .field("needed", static_cast<std::int64_t>(it->second.needed()))
        .field("cold", static_cast<std::int64_t>(cold));
    for (const auto &[zone, replicas] : seen)
      line.field(zone.text().c_str(), std::to_string(replicas.OnDemand) + "+" +
                                          std::to_string(replicas.Reclaimable));
  }
}

/// Sends the next order as soon as the rate limit allows. After a reclaim, the
/// orders for all zones are due at the same time; if each
/// waited for the next tick, its replicas would be ordered up to a quarter of a
/// second later.
void ReplicaOrders::scheduleSend(Instant at) {
  SendTimer.expires_after(at - bootNow());
  SendTimer.async_wait([this](boost::system::error_code ec) {
    const Instant now = bootNow();
    if (!ec && Duties.isHeld(now))
      send(now);
  });
}

void ReplicaOrders::send(Instant now) {
  if (IsSending || PendingOrders.empty())
    return;
  // The cloud refuses calls beyond its rate limit, which applies to all duties
  // together.
  const Duration gap =
      fromSeconds(IntervalFactor / State.Settings.DutyCallsPerSecond);
  if (now - SentAt < gap)
    return scheduleSend(SentAt + gap);
  SentAt = now;
  const ReplicaOrder order = PendingOrders.front();
  PendingOrders.pop_front();
  IsSending = true;
  const std::uint64_t term = Duties.term();
  State.Hooks.Cloud.Order(
      Duties.leaseHolder(), order, [this, order, term](CloudResult result) {
        IsSending = false;
        const Instant now = bootNow();
        LogLine(Severity::Info, "replicas ordered")
            .field("service", order.Service.text())
            .field("zone", order.Zone.text())
            .field("reclaimable",
                   static_cast<std::int64_t>(order.IsReclaimable))
            .field("count", static_cast<std::int64_t>(order.Count))
            .field("result", static_cast<std::int64_t>(result))
            .field("fencing", static_cast<std::int64_t>(term));
        const auto it = Autoscalers.find(order.Service);
        if (it != Autoscalers.end())
          it->second.noteResult(order, result, now);
        if (term == Duties.term() && Duties.isHeld(now))
          send(now);
      });
}

} // namespace sorrelbay
