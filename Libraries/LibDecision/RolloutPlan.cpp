#include "LibDecision/RolloutPlan.h"
#include "LibBase/Hash.h"
#include "LibBase/Invariant.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace sorrelbay {

static constexpr double StageGrowthFactor = 2;
// The share of the full share at which routes wait for the others to catch up.
static constexpr double MaxComparableShare = 0.9;

/// The shares from the first replica on, up to but without the full share.
static std::vector<double> growthShares(const RolloutPlan &plan) {
  std::vector<double> out;
  double share =
      std::max(plan.ReplicaShare, plan.ProbeShare * StageGrowthFactor);
  for (; share < plan.FullShare * MaxComparableShare;
       share *= StageGrowthFactor)
    out.push_back(share);
  return out;
}

std::vector<StageShare> stagesOf(const RolloutPlan &plan) {
  const auto isRepeatable = [](const Route &it) { return it.Repeatable; };
  const bool hasRepeatable =
      std::any_of(plan.Routes.begin(), plan.Routes.end(), isRepeatable);
  const bool hasOthers =
      !std::all_of(plan.Routes.begin(), plan.Routes.end(), isRepeatable);
  const double probe = std::min(plan.ProbeShare, plan.FullShare);
  std::vector<StageShare> out = {{0, 0, false}};
  double moved = 0;
  if (hasRepeatable) {
    out.push_back({probe, 0, true});
    for (const double share : growthShares(plan))
      out.push_back({share, 0, false});
    moved = plan.FullShare * MaxComparableShare;
  }
  if (hasOthers) {
    if (hasRepeatable)
      out.push_back({moved, 0, false});
    out.push_back({moved, probe, true});
    for (const double share : growthShares(plan))
      out.push_back({moved, share, false});
  }
  out.push_back({plan.FullShare, plan.FullShare, false});
  return out;
}

std::optional<RolloutPlan> planRollout(const Bundle &bundle,
                                       const ServiceId &service,
                                       std::size_t replicas) {
  const Service *wanted = findService(bundle, service);
  if (wanted == nullptr)
    return std::nullopt;
  const UpstreamVersion *from = nullptr;
  const UpstreamVersion *to = nullptr;
  for (const UpstreamVersion &it : bundle.Versions) {
    if (it.Service != service)
      continue;
    const bool moves = it.Deadline != Instant{};
    (moves ? to : from) = &it;
  }
  if (from == nullptr || to == nullptr)
    return std::nullopt;
  RolloutPlan plan;
  plan.New = to->Id;
  plan.Old = from->Id;
  plan.Policy = wanted->Policy;
  plan.Deadline = to->Deadline;
  plan.FullShare = to->Share;
  plan.ReplicaShare =
      1.0 / static_cast<double>(std::max<std::size_t>(replicas, 1));
  for (const Route &it : bundle.Routes)
    if (it.Service == service)
      plan.Routes.push_back(it);
  return plan;
}

VersionId chooseVersion(const VersionShares &shares, std::string_view key,
                        bool isRepeatable, Instant now) {
  if (shares.IsRolledBack || now > shares.FreshUntil)
    return shares.Old;
  const double share =
      isRepeatable ? shares.Share.Repeatable : shares.Share.NonRepeatable;
  const std::uint64_t seed = stableHash(shares.New.text());
  if (hashFraction(stableHash(key, seed)) >= share)
    return shares.Old;
  return shares.New;
}

std::vector<UpstreamId> canaryReplicas(std::vector<UpstreamId> replicas,
                                       double share, double replicaShare) {
  std::sort(replicas.begin(), replicas.end(),
            [](const UpstreamId &a, const UpstreamId &b) {
              return stableHash(a.text()) < stableHash(b.text());
            });
  // A replica may be overloaded by up to this factor before another one is
  // used.
  constexpr double Overload = 1.1;
  const double wanted = std::ceil(share / (replicaShare * Overload));
  const auto count = static_cast<std::size_t>(std::max(1.0, wanted));
  if (replicas.size() > count)
    replicas.resize(count);
  return replicas;
}

} // namespace sorrelbay
