#include "LibServing/EnginePlacement.h"
#include "LibBase/Hash.h"
#include <algorithm>
#include <cmath>
#include <limits>

namespace sorrelbay {

/// The share of a conversation's common parts that its affinity upstream is
/// assumed to have cached.
static constexpr double AffinityCachedShare = 0.97;
/// The most prompt tokens that an engine is taken to have to prefill.
static constexpr std::int64_t MaxTokensAhead = 1'000'000'000'000;
/// Time constant of the average of the time for each prompt token.
static constexpr Duration SteadyTimeConstant = seconds(60);

/// The id of a call's conversation; empty if it belongs to none.
static std::string conversationOf(const std::vector<PromptPart> &prompt) {
  if (prompt.empty())
    return "";
  return prompt.size() == 1 ? prompt.front().Id : prompt[prompt.size() - 2].Id;
}

/// Prompt tokens that the upstream would have to prefill. A part counts as
/// cached only if all parts before it are; the last part is the call's own.
double EnginePlacement::tokensToPrefill(const Candidate &it,
                                        const ReplicaRequest &request,
                                        bool isAffinityUpstream,
                                        std::size_t upstreams,
                                        Instant now) const {
  auto uncached = static_cast<double>(request.PromptTokens);
  double cachedShare = 1;
  for (std::size_t n = 0; n + 1 < request.Prompt.size(); ++n) {
    const PromptPart &part = request.Prompt[n];
    const double partLikelihood =
        isAffinityUpstream
            ? AffinityCachedShare
            : Cached.likelihood(it.State->Record->Id, part.Id, request.Hosts,
                                static_cast<double>(upstreams), now);
    cachedShare *= partLikelihood;
    uncached -= cachedShare * static_cast<double>(part.Tokens);
  }
  return std::max(0.0, uncached);
}

std::vector<EnginePlacement::Candidate>
EnginePlacement::candidates(const std::vector<EngineState> &engines,
                            const ReplicaRequest &request, Instant now) {
  const EngineModel &model = Models[request.ForService];
  const std::uint64_t conversation = stableHash(conversationOf(request.Prompt));
  std::vector<Candidate> out;
  std::uint64_t highestRank = 0;
  for (const EngineState &it : engines) {
    Candidate candidate;
    candidate.State = &it;
    candidate.HashRank = stableHash(it.Record->Id.text(), conversation);
    highestRank = std::max(highestRank, candidate.HashRank);
    out.push_back(candidate);
  }
  for (Candidate &it : out) {
    const OutstandingWork &work = it.State->Work;
    const double slowness =
        model.slownessOf(it.State->Record->Id, now) * it.State->StatedSlowness;
    it.TokensToPrefill = tokensToPrefill(
        it, request, it.HashRank == highestRank, out.size(), now);
    it.TokensAhead = static_cast<double>(
        std::clamp<std::int64_t>(work.PromptTokens, 0, MaxTokensAhead));
    it.Wait = slowness * model.prefillTime(it.TokensAhead);
    const double prefillCost = slowness * model.prefillTime(it.TokensToPrefill);
    it.FirstToken = slowness * model.base() + it.Wait + prefillCost;
    it.Cost = it.Wait + Settings.PrefillWeight * prefillCost +
              slowness * (model.base() +
                          Settings.OpenCallWeight * std::max(0, work.Calls));
    // A cost that can't be compared counts as the highest.
    if (!std::isfinite(it.Cost))
      it.Cost = std::numeric_limits<double>::max();
  }
  return out;
}

/// The candidate with the lowest cost, or the first in the conversation's
/// rendezvous hashing order among those within the cost tolerance: hosts
/// receive reports of each other's sends late, and would otherwise all choose
/// the same upstream at the same time. There must be a candidate.
const EnginePlacement::Candidate &
EnginePlacement::bestOf(const std::vector<const Candidate *> &all) const {
  const Candidate *cheapest = all.front();
  for (const Candidate *it : all)
    if (it->Cost < cheapest->Cost)
      cheapest = it;
  const double allowed =
      cheapest->Cost +
      Settings.CostToleranceShare * std::max(0.0, cheapest->Cost) +
      Settings.CostTolerance;
  const Candidate *best = cheapest;
  for (const Candidate *it : all)
    if (it->Cost <= allowed && it->HashRank > best->HashRank)
      best = it;
  return *best;
}

/// The best candidate. While the other engines are congested, a short prompt
/// goes to the best of the reserved engines, unless its first token is expected
/// much later there.
const EnginePlacement::Candidate &
EnginePlacement::bestFor(const std::vector<Candidate> &all,
                         const ReplicaRequest &request) const {
  std::vector<const Candidate *> any;
  any.reserve(all.size());
  for (const Candidate &it : all)
    any.push_back(&it);
  const Candidate &best = bestOf(any);
  const auto found = Partitions.find(request.ForService);
  if (found == Partitions.end() || !found->second.Partition.hasCapacity())
    return best;
  const PromptPartition &partition = found->second.Partition;
  std::vector<const Candidate *> reserved;
  double othersWait = 0;
  for (const Candidate *it : any)
    if (partition.isReserved(it->State->Record->Id))
      reserved.push_back(it);
    else
      othersWait += it->Wait;
  if (reserved.empty() || reserved.size() == any.size())
    return best;
  othersWait /= static_cast<double>(any.size() - reserved.size());
  const Candidate &bestReserved = bestOf(reserved);
  const double allowed = partition.allowedExtraWait(othersWait);
  return bestReserved.FirstToken <= best.FirstToken + allowed ? bestReserved
                                                              : best;
}

/// The engines that the prompt may go to: a long one goes to reserved engines
/// only if no other one is available.
std::vector<EngineState>
EnginePlacement::permittedEngines(const std::vector<EngineState> &engines,
                                  const ReplicaRequest &request) const {
  const auto found = Partitions.find(request.ForService);
  if (found == Partitions.end() || found->second.Partition.count() == 0 ||
      isShort(request.ForService, request.PromptTokens))
    return engines;
  std::vector<EngineState> others;
  for (const EngineState &it : engines)
    if (!found->second.Partition.isReserved(it.Record->Id))
      others.push_back(it);
  return others.empty() ? engines : others;
}

ReplicaChoice EnginePlacement::choose(const std::vector<EngineState> &engines,
                                      const ReplicaRequest &request,
                                      Instant now) {
  const std::vector<EngineState> permitted = permittedEngines(engines, request);
  const std::vector<Candidate> all = candidates(permitted, request, now);
  const Candidate &best = bestFor(all, request);
  ReplicaChoice choice;
  choice.Id = best.State->Record->Id;
  choice.TokensToPrefill = static_cast<std::int64_t>(best.TokensToPrefill);
  choice.TokensAhead = static_cast<std::int64_t>(best.TokensAhead);
  choice.Wait = fromSeconds(best.Wait / 1000);
  choice.FirstToken = fromSeconds(best.FirstToken / 1000);
  return choice;
}

void EnginePlacement::notePrompt(const UpstreamId &id,
                                 const std::vector<PromptPart> &prompt,
                                 Instant now) {
  for (std::size_t n = 0; n + 1 < prompt.size(); ++n)
    Cached.note(id, prompt[n].Id, now);
}

void EnginePlacement::noteFirstToken(const ServiceId &service,
                                     const UpstreamId &id,
                                     const FirstTokenSample &seen,
                                     Instant now) {
  Models[service].note(id, seen, now);
}

void EnginePlacement::forget(const ServiceId &service, const UpstreamId &id) {
  Models[service].forget(id);
}

/// Averages the model's time for each token. A host that sends ten calls a
/// second has an estimate that varies by a factor of ten within seconds, and
/// while engines are congested, all estimates rise fourfold, since the wait for
/// prompts that a host does not know of is attributed to the tokens that it
/// knows of: a short prompt would no longer count as short when it matters.
void EnginePlacement::updateSteadyPerToken(ServicePartition &partition,
                                           double perToken, Instant now) {
  double &steady = partition.SteadyPerToken;
  const double passed = toSeconds(now - partition.UpdatedAt);
  const double weight =
      steady <= 0 ? 1 : 1 - std::exp(-passed / toSeconds(SteadyTimeConstant));
  steady += weight * (perToken - steady);
  partition.UpdatedAt = now;
}

bool EnginePlacement::isShort(const ServiceId &service,
                              std::int64_t promptTokens) const {
  const auto partition = Partitions.find(service);
  return partition != Partitions.end() &&
         partition->second.Partition.isShort(partition->second.SteadyPerToken *
                                             static_cast<double>(promptTokens));
}

double EnginePlacement::steadyPrefillTime(const ServiceId &service,
                                          std::int64_t tokens) const {
  const auto found = Partitions.find(service);
  return found == Partitions.end()
             ? 0
             : found->second.SteadyPerToken * static_cast<double>(tokens);
}

int EnginePlacement::reserved(const ServiceId &service) const {
  const auto found = Partitions.find(service);
  return found == Partitions.end() ? 0 : found->second.Partition.count();
}

ReservedEngineCount EnginePlacement::updateReserved(
    const ServiceId &service, const std::vector<const ReplicaRecord *> &engines,
    const ShortPromptLoad &load, Instant now) {
  ServicePartition &partition =
      Partitions
          .try_emplace(service,
                       ServicePartition{PromptPartition(Settings.Partition)})
          .first->second;
  const double perToken = Models[service].prefillTime(1);
  updateSteadyPerToken(partition, perToken, now);
  PromptPartitionInput input;
  input.Hosts = load.Hosts;
  input.ShortDemand = load.Demand;
  for (const ReplicaRecord *it : engines) {
    input.Engines[it->InZone].push_back(it->Id);
    input.Slots = std::max(input.Slots, it->Slots);
  }
  ReservedEngineCount count;
  count.HasChanged = partition.Partition.update(input, now);
  count.Engines = static_cast<int>(engines.size());
  count.Needed = partition.Partition.needed(input);
  count.Reserved = partition.Partition.count();
  return count;
}

} // namespace sorrelbay
