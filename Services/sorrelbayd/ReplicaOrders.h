#pragma once

#include "DutyLease.h"
#include "GatewayState.h"
#include "LibServing/ReplicaAutoscaler.h"
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>

namespace sorrelbay {

/// Orders replicas by the plan of each service that may be scaled, while this
/// host holds the duties; one order at a time, and no faster than the cloud
/// takes them. Belongs to the loop's thread.
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
  std::map<ServiceId, ReplicaAutoscaler> Plans;
  /// The term of the lease that the plans were made in.
  std::uint64_t PlansTerm = 0;
  std::deque<ReplicaOrder> Waiting;
  boost::asio::steady_timer SendTimer;
  bool IsSending = false;
  Instant SentAt{};
  Instant LoggedAt{};
};

} // namespace sorrelbay
