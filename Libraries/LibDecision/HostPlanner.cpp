#include "LibDecision/HostPlanner.h"
#include "LibBase/Invariant.h"
#include <algorithm>
#include <functional>

namespace sorrelbay {

namespace {

const CloudHost *hostOf(const Slot &slot, const std::vector<CloudHost> &hosts) {
  for (const CloudHost &it : hosts)
    if (it.Token == slot.Token)
      return &it;
  return nullptr;
}

bool isServing(const Slot &slot, const std::vector<CloudHost> &hosts) {
  const CloudHost *host = hostOf(slot, hosts);
  return host != nullptr && host->State == CloudHostState::Live;
}

int countOf(const HostMix &mix, const HostOffer &offer) {
  for (const HostCount &it : mix)
    if (it.Offer.isSameAs(offer))
      return it.Hosts;
  return 0;
}

/// The wanted slots of the plan for which the predicate holds.
HostPlan filterWanted(const HostPlan &plan,
                      const std::function<bool(const Slot &)> &isSelected) {
  HostPlan out;
  for (const Slot &it : plan.Slots)
    if (it.IsWanted && isSelected(it))
      out.Slots.push_back(it);
  return out;
}

/// Updates the prices of the slots to those of the current offers.
void updatePrices(HostPlan &plan, const std::vector<HostOffer> &offers) {
  for (Slot &slot : plan.Slots)
    for (const HostOffer &it : offers)
      if (it.isSameAs(slot.From))
        slot.From.HourlyCost = it.HourlyCost;
}

void retire(Slot &slot, Instant now) {
  slot.IsWanted = false;
  slot.RetiredAt = now;
}

/// Returns a slot with a new token: a retired one whose host no longer runs, or
/// an added one. A token that was retired is never wanted again, so that orders
/// based on an outdated plan can neither create nor delete a host that is
/// wanted now.
Slot &freeSlot(HostPlan &plan, const HostPlannerInput &view) {
  for (Slot &it : plan.Slots) {
    const CloudHost *host = it.IsWanted ? nullptr : hostOf(it, view.Hosts);
    const bool isTaken =
        it.IsWanted ||
        (host != nullptr && (host->State == CloudHostState::Live ||
                             host->State == CloudHostState::Starting));
    if (isTaken)
      continue;
    it.Token.Generation = view.Generation;
    ++it.Token.Replacement;
    it.IsWanted = true;
    return it;
  }
  Slot slot;
  slot.Token = {view.Generation, static_cast<std::uint32_t>(plan.Slots.size()),
                0};
  plan.Slots.push_back(slot);
  return plan.Slots.back();
}

} // namespace

void HostPlanner::noteRefused(const HostOffer &offer, Instant now) {
  for (Refusal &it : Refusals) {
    if (!it.Offer.isSameAs(offer))
      continue;
    it.Until = now + Settings.RefusalPause;
    return;
  }
  Refusals.push_back({offer, now + Settings.RefusalPause});
}

bool HostPlanner::isRefused(const HostOffer &offer) const {
  return std::any_of(Refusals.begin(), Refusals.end(), [&](const Refusal &it) {
    return it.Offer.isSameAs(offer);
  });
}

bool HostPlanner::isUrgent(const HostPlan &plan, const HostPlannerInput &view,
                           Instant now) const {
  if (now + 2 * Settings.StartTime < view.Deadline)
    return false;
  double capacity = 0;
  for (const Slot &it : plan.Slots)
    if (it.IsWanted && hostOf(it, view.Hosts) != nullptr)
      capacity += it.From.Capacity;
  return capacity < view.Capacity;
}

std::vector<HostOffer> HostPlanner::offersFor(const HostPlan &plan,
                                              const HostPlannerInput &view,
                                              Instant now) const {
  const HostPlan held = filterWanted(
      plan, [&](const Slot &it) { return hostOf(it, view.Hosts) != nullptr; });
  const HostMix heldMix = mixOf(held);
  // Near the deadline, do not risk a second refusal of a reclaimable offer.
  const bool isOnDemandOnly = !Refusals.empty() && isUrgent(plan, view, now);
  std::vector<HostOffer> out;
  for (HostOffer it : view.Offers) {
    if (isRefused(it) || (isOnDemandOnly && it.IsReclaimable))
      it.MaxHosts = std::min(it.MaxHosts, countOf(heldMix, it));
    out.push_back(it);
  }
  return out;
}

void HostPlanner::retireLost(HostPlannerDecision &decision,
                             const HostPlannerInput &view, Instant now) const {
  for (Slot &slot : decision.Plan.Slots) {
    if (!slot.IsWanted)
      continue;
    const CloudHost *host = hostOf(slot, view.Hosts);
    const bool isLost =
        host != nullptr && (host->State == CloudHostState::Leaving ||
                            host->State == CloudHostState::Gone);
    const bool isUnobtainable = host == nullptr && isRefused(slot.From);
    if (!isLost && !isUnobtainable)
      continue;
    retire(slot, now);
    decision.HasChanged = true;
  }
}

void HostPlanner::addMissing(HostPlannerDecision &decision,
                             const HostMix &wanted,
                             const HostPlannerInput &view) const {
  const HostMix current = mixOf(decision.Plan);
  for (const HostCount &it : wanted)
    for (int n = countOf(current, it.Offer); n < it.Hosts; ++n) {
      freeSlot(decision.Plan, view).From = it.Offer;
      decision.HasChanged = true;
    }
}

// A host is retired only if the other serving hosts have enough capacity
// without it. A cheaper mix must therefore be up before it replaces the old
// one.
void HostPlanner::retireSurplus(HostPlannerDecision &decision,
                                const HostMix &wanted,
                                const HostPlannerInput &view,
                                Instant now) const {
  std::vector<HostCount> unmatched = wanted;
  for (Slot &slot : decision.Plan.Slots) {
    if (!slot.IsWanted)
      continue;
    const auto match = std::find_if(
        unmatched.begin(), unmatched.end(), [&](const HostCount &it) {
          return it.Offer.isSameAs(slot.From) && it.Hosts > 0;
        });
    if (match != unmatched.end()) {
      --match->Hosts;
      continue;
    }
    const HostMix without =
        mixOf(filterWanted(decision.Plan, [&](const Slot &it) {
          return &it != &slot && isServing(it, view.Hosts);
        }));
    if (capacityAfterZoneLoss(without) < view.Capacity)
      continue;
    retire(slot, now);
    decision.HasChanged = true;
  }
}

void HostPlanner::addOrders(HostPlannerDecision &decision,
                            const HostPlannerInput &view, Instant now) const {
  for (const Slot &it : decision.Plan.Slots)
    if (it.IsWanted && hostOf(it, view.Hosts) == nullptr)
      decision.Creates.push_back({it.Token, it.From});
  for (const CloudHost &host : view.Hosts) {
    const bool runs = host.State == CloudHostState::Live ||
                      host.State == CloudHostState::Starting;
    if (!runs || host.Token.Slot >= decision.Plan.Slots.size())
      continue;
    const Slot &slot = decision.Plan.Slots[host.Token.Slot];
    const bool isStray = host.Token.Replacement < slot.Token.Replacement;
    const bool isDrained = host.Token == slot.Token && !slot.IsWanted &&
                           now >= slot.RetiredAt + Settings.DrainTime;
    if (isStray || isDrained)
      decision.Deletes.push_back(host.Id);
  }
}

HostPlannerDecision HostPlanner::decide(const HostPlan &plan,
                                        const HostPlannerInput &view,
                                        Instant now) {
  Refusals.erase(
      std::remove_if(Refusals.begin(), Refusals.end(),
                     [now](const Refusal &it) { return it.Until <= now; }),
      Refusals.end());
  HostPlannerDecision decision;
  decision.Plan = plan;
  updatePrices(decision.Plan, view.Offers);
  retireLost(decision, view, now);
  const HostMix wanted = cheapestMix(offersFor(decision.Plan, view, now),
                                     view.Capacity, Settings.ReclaimableShare);
  const HostMix current = mixOf(decision.Plan);
  const bool isStillSuitable =
      capacityAfterZoneLoss(current) >= view.Capacity &&
      static_cast<double>(costOf(current)) <=
          static_cast<double>(costOf(wanted)) * (1 + Settings.MinSavingShare);
  if (!isStillSuitable) {
    addMissing(decision, wanted, view);
    retireSurplus(decision, wanted, view, now);
  }
  addOrders(decision, view, now);
  return decision;
}

} // namespace sorrelbay
