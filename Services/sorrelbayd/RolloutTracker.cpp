#include "RolloutTracker.h"
#include "LibBase/LogLine.h"
#include "LibBase/Trace.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

/// A daemon whose ticks were further apart was paused.
static constexpr Duration LongestTick = seconds(1);
static constexpr std::size_t IncarnationDigits = 16;

RolloutTracker::RolloutTracker(HostId self, ReplicasOf replicas)
    : Self{std::move(self), IncarnationId(randomHex(IncarnationDigits))},
      Replicas(std::move(replicas)) {}

bool RolloutTracker::isRolledBack(const VersionId &version) const {
  return Knowledge.Vetoes.count(version) != 0;
}

static const UpstreamVersion *steadyVersion(const Bundle &bundle,
                                            const ServiceId &service) {
  for (const UpstreamVersion &it : bundle.Versions)
    if (it.Service == service && it.Deadline == Instant{})
      return &it;
  return nullptr;
}

VersionId RolloutTracker::choose(const Bundle &bundle, const ServiceId &service,
                                 std::uint64_t keyHash, bool isRepeatable) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const UpstreamVersion *steady = steadyVersion(bundle, service);
  for (const UpstreamVersion &it : bundle.Versions) {
    if (it.Service != service || it.Deadline == Instant{})
      continue;
    const auto move = Moves.find(it.Id);
    if (move == Moves.end() || isRolledBack(it.Id))
      continue;
    const bool hasNew = !move->second.NewReplicas.empty();
    const bool hasOld = !move->second.OldReplicas.empty();
    if (hasNew && !hasOld)
      return it.Id;
    if (hasNew &&
        chooseVersion(move->second.Part->shares(), std::to_string(keyHash),
                      isRepeatable, now()) == it.Id)
      return it.Id;
  }
  return steady == nullptr ? VersionId() : steady->Id;
}

void RolloutTracker::record(const EvidenceKey &key, UpstreamOutcome outcome) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Knowledge.Evidence.record(Self, key, outcome);
  const auto move = Moves.find(key.Version);
  if (outcome != UpstreamOutcome::Good && move != Moves.end())
    judge(key.Version, *move->second.Part, now());
}

void RolloutTracker::judge(const VersionId &version, Rollout &part,
                           Instant at) {
  const bool wasRolledBack = isRolledBack(version);
  part.update(Knowledge, at);
  if (!wasRolledBack && isRolledBack(version))
    logRollback(version, "judged here");
}

void RolloutTracker::beginMoves(const Bundle &bundle) {
  if (Generation == bundle.Generation)
    return;
  Generation = bundle.Generation;
  std::map<VersionId, Move> next;
  Named.clear();
  for (const UpstreamVersion &it : bundle.Versions)
    Named.insert(it.Id);
  for (const Service &it : bundle.Services) {
    auto plan = planRollout(bundle, it.Id, 1);
    if (!plan)
      continue;
    const std::size_t old = Replicas(plan->Old).size();
    plan = planRollout(bundle, it.Id, old);
    next[plan->New].Part = std::make_unique<Rollout>(*plan, Self.Host);
  }
  Moves = std::move(next);
  Knowledge.Evidence.keepOnly(Named);
}

void RolloutTracker::noteTime(Instant at) {
  if (at > TickedAt + LongestTick)
    ResumedAt = at;
  TickedAt = at;
  // As long as it goes on, its own judgement is as good as any; only what it
  // may have missed must be asked for.
  const bool isCurrent = RefreshedAt >= ResumedAt;
  for (auto &it : Moves)
    if (isCurrent)
      it.second.Part->refreshed(at);
}

void RolloutTracker::tick(const Bundle &bundle, Instant at) {
  std::map<VersionId, std::vector<UpstreamId>> replicas;
  for (const UpstreamVersion &it : bundle.Versions)
    replicas[it.Id] = Replicas(it.Id);
  const std::lock_guard<std::mutex> lock(Mutex);
  beginMoves(bundle);
  noteTime(at);
  for (auto &it : Moves) {
    Move &move = it.second;
    move.NewReplicas = replicas[it.first];
    move.OldReplicas = replicas[move.Part->plan().Old];
    if (!move.NewReplicas.empty())
      judge(it.first, *move.Part, at);
  }
}

void RolloutTracker::logRollback(const VersionId &version,
                                 const char *by) const {
  LogLine(Severity::Warning, "version taken back")
      .field("version", version.text())
      .field("reason", toText(Knowledge.Vetoes.at(version).Reason))
      .field("by", by);
}

std::vector<UpstreamId>
RolloutTracker::unpackedReplicas(const VersionId &version) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto move = Moves.find(version);
  if (move == Moves.end())
    return {};
  const Rollout &part = *move->second.Part;
  const auto packed = canaryReplicas(move->second.NewReplicas, part.callShare(),
                                     part.plan().ReplicaShare);
  std::vector<UpstreamId> out;
  for (const UpstreamId &it : move->second.NewReplicas)
    if (std::find(packed.begin(), packed.end(), it) == packed.end())
      out.push_back(it);
  return out;
}

RolloutKnowledge RolloutTracker::news() {
  const std::lock_guard<std::mutex> lock(Mutex);
  return ownPart(Knowledge, Self);
}

void RolloutTracker::receive(const RolloutKnowledge &said) {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::vector<VersionId> news;
  for (const auto &[version, veto] : said.Vetoes)
    if (!isRolledBack(version))
      news.push_back(version);
  merge(Knowledge, said);
  for (const VersionId &it : news)
    logRollback(it, "told by a peer");
  if (!Named.empty())
    Knowledge.Evidence.keepOnly(Named);
}

void RolloutTracker::refreshed(Instant askedAt) {
  const std::lock_guard<std::mutex> lock(Mutex);
  RefreshedAt = std::max(RefreshedAt, askedAt);
}

std::vector<RolloutView> RolloutTracker::moves(const Bundle &bundle) {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::vector<RolloutView> out;
  for (const UpstreamVersion &it : bundle.Versions) {
    const auto move = Moves.find(it.Id);
    if (move == Moves.end())
      continue;
    RolloutView view;
    view.Version = it;
    view.Status = move->second.Part->status();
    for (const Route &route : move->second.Part->plan().Routes)
      view.Evidence[route.Id] = Knowledge.Evidence.total({it.Id, route.Id});
    out.push_back(std::move(view));
  }
  return out;
}

} // namespace sorrelbay
