#pragma once

#include "DutyLease.h"
#include "GatewayState.h"
#include "LibServing/ReplicaAutoscaler.h"
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>

namespace sorrelbay {

/// While this host holds the duties, orders replicas from the cloud as the
/// autoscaler of each scalable service decides. Orders are sent one at a time,
/// within the cloud's rate limit. Used only on the event loop's thread.
class ReplicaOrders {
public:
  ReplicaOrders(GatewayState &state, const DutyLease &duties);

  /// To be called several times a second.
  void tick(Instant now);

private:
  void plan(Instant now);
  void send(Instant now);
  void scheduleSend(Instant at);
  ServiceLoad loadOf(const ServiceId &service, Instant now) const;

  GatewayState &State;
  const DutyLease &Duties;
  std::map<ServiceId, ReplicaAutoscaler> Autoscalers;
  /// The lease term in which the autoscalers were created.
  std::uint64_t AutoscalersTerm = 0;
  std::deque<ReplicaOrder> PendingOrders;
  boost::asio::steady_timer SendTimer;
  bool IsSending = false;
  Instant SentAt{};
  Instant LoggedAt{};
};

} // namespace sorrelbay
