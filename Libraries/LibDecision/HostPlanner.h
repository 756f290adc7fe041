#pragma once

#include "LibBase/Time.h"
#include "LibDecision/HostMix.h"
#include "LibDecision/HostPlan.h"
#include <cstdint>
#include <string>
#include <vector>

namespace sorrelbay {

/// What the mover sees when it decides.
struct HostPlannerInput {
  /// The generation of the bundle in force.
  std::uint64_t Generation = 0;
  std::vector<HostOffer> Offers;
  std::vector<CloudHost> Hosts;
  /// Replicas' worth of work that must be carried after the loss of a zone.
  double Capacity = 0;
  /// When that capacity must be there; the epoch for at once.
  Instant Deadline{};
};

struct CreateOrder {
  ClientToken Token;
  HostOffer From;
};

struct HostPlannerSettings {
  /// From an order to a host that serves.
  Duration StartTime = minutes(3);
  /// How long an offer that was refused is passed over.
  Duration RefusalPause = minutes(5);
  /// A mix that does is kept until another costs less by this share.
  double MinSavingShare = 0.1;
  /// How long a host that is no longer wanted works off what it has.
  Duration DrainTime = minutes(2);
  /// The highest share of the capacity on reclaimable hosts.
  double ReclaimableShare = 1;
};

/// What follows from one look.
struct HostPlannerDecision {
  HostPlan Plan;
  /// Whether the plan differs from the one given; it must then be stored before
  /// the orders are carried out, and if another mover's was stored meanwhile
  /// they must not be.
  bool HasChanged = false;
  std::vector<CreateOrder> Creates;
  /// Ids of hosts to be deleted.
  std::vector<std::string> Deletes;
};

/// Decides what hosts to have and what to order. Every look starts from the
/// stored plan and the cloud's list, not from what was ordered before, so that
/// a lost reply, a refused start and a change of movers need nothing special.
class HostPlanner {
public:
  explicit HostPlanner(HostPlannerSettings settings = {})
      : Settings(settings) {}

  HostPlannerDecision decide(const HostPlan &plan, const HostPlannerInput &view,
                             Instant now);
  /// The cloud refused to start a host of that offer.
  void noteRefused(const HostOffer &offer, Instant now);

private:
  struct Refusal {
    HostOffer Offer;
    Instant Until;
  };

  bool isRefused(const HostOffer &offer) const;
  bool isUrgent(const HostPlan &plan, const HostPlannerInput &view,
                Instant now) const;
  /// The offers with how many hosts each can still bring.
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
