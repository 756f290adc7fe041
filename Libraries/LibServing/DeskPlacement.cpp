#include "LibServing/DeskPlacement.h"
#include "LibBase/Hash.h"
#include "LibBase/Invariant.h"
#include <algorithm>
#include <numeric>
#include <string>

namespace sorrelbay {

/// Additional cost of an upstream in another zone, in open calls.
static constexpr double OtherZonePenalty = 0.5;
/// With more hosts than this, hosts receive each other's reports indirectly.
static constexpr int ManyHosts = 16;
/// Breaks ties; smaller than any difference in cost.
static constexpr double TieBreakWeight = 0.1;
/// A host gets too few responses from each of more upstreams than this.
static constexpr int MaxUpstreams = 32;

bool areSlotsScarce(int upstreams, int slots, int hosts) {
  return upstreams <= MaxUpstreams && slots < hosts;
}

/// Two candidates, selected pseudo-randomly by the call's seed.
static std::vector<std::size_t> sampleTwo(const std::vector<DeskCandidate> &all,
                                          std::uint64_t seed) {
  std::vector<std::size_t> out(all.size());
  std::iota(out.begin(), out.end(), 0);
  const auto sampleKey = [&](std::size_t n) {
    return stableHash(all[n].Id.text(), seed);
  };
  if (out.size() <= 2)
    return out;
  std::partial_sort(out.begin(), out.begin() + 2, out.end(),
                    [&](std::size_t a, std::size_t b) {
                      return sampleKey(a) < sampleKey(b);
                    });
  out.resize(2);
  return out;
}

/// The cost of a small preference, in open calls.
static double preferenceCost(const DeskCandidate &it,
                             const DeskRequest &request) {
  const std::uint64_t tieBreak = stableHash(it.Id.text(), request.Seed);
  const double zone = it.InZone == request.OwnZone ? 0 : OtherZonePenalty;
  return zone + TieBreakWeight * hashFraction(tieBreak);
}

/// The usual number of open calls for each slot: the mean of what upstreams
/// state, weighted by how recent that is.
static double usualLoad(const std::vector<DeskCandidate> &all) {
  double sum = 0;
  double weight = 0;
  for (const DeskCandidate &it : all) {
    if (!it.Load.IsKnown)
      continue;
    sum += it.Load.Weight * it.Load.StatedCalls / it.Load.Slots;
    weight += it.Load.Weight;
  }
  return weight > 0 ? sum / weight : 0;
}

/// The candidate with the least expected time. An upstream without a
/// recent response to this host counts as usual.
static std::size_t leastLoaded(const std::vector<DeskCandidate> &all,
                               const DeskRequest &request) {
  const double usual = usualLoad(all);
  std::vector<double> costs;
  costs.reserve(all.size());
  for (const DeskCandidate &it : all) {
    const double load =
        it.Load.IsKnown ? it.Load.openCalls(usual) / it.Load.Slots : usual;
    const double slowness = it.Load.IsKnown ? it.Load.Slowness : 1;
    const double preference =
        preferenceCost(it, request) / std::max(1, it.Slots);
    costs.push_back((load + preference) * slowness);
  }
  return static_cast<std::size_t>(std::min_element(costs.begin(), costs.end()) -
                                  costs.begin());
}

/// The candidate with the fewest reported calls. With many hosts, whose reports
/// of calls arrive after these have ended, it is the better one of two random
/// candidates: otherwise all hosts would choose the same one until the next
/// reports.
static std::size_t leastBusy(const std::vector<DeskCandidate> &all,
                             const DeskRequest &request) {
  std::vector<std::size_t> eligible(all.size());
  std::iota(eligible.begin(), eligible.end(), 0);
  if (request.Hosts > ManyHosts)
    eligible = sampleTwo(all, request.Seed);
  const auto cost = [&](std::size_t n) {
    return all[n].ReportedCalls + preferenceCost(all[n], request);
  };
  return *std::min_element(
      eligible.begin(), eligible.end(),
      [&](std::size_t a, std::size_t b) { return cost(a) < cost(b); });
}

std::size_t chooseDesk(const std::vector<DeskCandidate> &all,
                       const DeskRequest &request) {
  verifyInvariant(!all.empty(), "a choice needs a candidate", "none");
  const bool usesLoads =
      request.UsesStatedLoads &&
      std::any_of(all.begin(), all.end(),
                  [](const DeskCandidate &it) { return it.Load.IsKnown; });
  return usesLoads ? leastLoaded(all, request) : leastBusy(all, request);
}

} // namespace sorrelbay
