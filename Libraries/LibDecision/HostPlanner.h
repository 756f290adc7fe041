#pragma once

#include "LibBase/Time.h"
#include "LibDecision/HostMix.h"
#include "LibDecision/HostPlan.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// The state that the planner bases its decision on.
struct HostPlannerInput {
  /// The generation of the bundle in force.
  std::uint64_t Generation = 0;
  std::vector<HostOffer> Offers;
  std::vector<CloudHost> Hosts;
  /// The load that must be served after the loss of a zone, in replicas.
  double Capacity = 0;
  /// When the capacity is needed. The epoch means at once.
  Instant Deadline{};
};

struct CreateOrder {
  ClientToken Token;
  HostOffer From;
};

struct HostPlannerSettings {
  /// Time from the create request until the host serves.
  Duration StartTime = minutes(3);
  /// How long an offer is skipped after the cloud refused to start a host from
  /// it.
  Duration RefusalPause = minutes(5);
  /// The current mix is kept unless another costs less by this share.
  double MinSavingShare = 0.1;
  /// How long a retired host is kept to finish its calls before it is deleted.
  Duration DrainTime = minutes(2);
  /// The maximum share of the capacity on reclaimable hosts.
  double ReclaimableShare = 1;
};

/// The result of one planning round.
struct HostPlannerDecision {
  HostPlan Plan;
  /// Whether the plan differs from the previous one. A changed plan must be
  /// stored before the orders are sent. If another daemon has stored a plan in
  /// the meantime, the orders must be discarded.
  bool HasChanged = false;
  std::vector<CreateOrder> Creates;
  /// Ids of the hosts to delete.
  std::vector<std::string> Deletes;
};

/// Plans which hosts to run and what to order from the cloud. Each round starts
/// from the stored plan and the cloud's host list rather than from earlier
/// orders, so that a lost reply, a refused start or a change of the lease
/// holder needs no special handling.
class HostPlanner {
public:
  explicit HostPlanner(HostPlannerSettings settings = {})
      : Settings(settings) {}

  HostPlannerDecision decide(const HostPlan &plan, const HostPlannerInput &view,
                             Instant now);
  /// Records that the cloud refused to start a host from the offer.
  void noteRefused(const HostOffer &offer, Instant now);

private:
  struct Refusal {
    HostOffer Offer;
    Instant Until;
  };

  bool isRefused(const HostOffer &offer) const;
  bool isUrgent(const HostPlan &plan, const HostPlannerInput &view,
                Instant now) const;
  /// The offers, each with the number of hosts that may still be used from it.
  std::vector<HostOffer> offersFor(const HostPlan &plan,
                                   const HostPlannerInput &view,
                                   Instant now) const;
  void retireLost(HostPlannerDecision &decision, const HostPlannerInput &view,
                  Instant now) const;
  void addMissing(HostPlannerDecision &decision, const HostMix &wanted,
                  const HostPlannerInput &view) const;
  void retireSurplus(HostPlannerDecision &decision, const HostMix &wanted,
                     const HostPlannerInput &view, Instant now) const;
  void addOrders(HostPlannerDecision &decision, const HostPlannerInput &view,
                 Instant now) const;

  HostPlannerSettings Settings;
  std::vector<Refusal> Refusals;
};

} // namespace sorrelbay
