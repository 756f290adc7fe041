#include "RolloutTracker.h"
#include "LibBase/LogLine.h"
#include "LibBase/Trace.h"
#include <algorithm>
#include <utility>

namespace sorrelbay {

/// A longer interval between two ticks means that the process was paused.
static constexpr Duration MaxTickInterval = seconds(1);
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
    const auto activeRollout = ActiveRollouts.find(it.Id);
    if (activeRollout == ActiveRollouts.end() || isRolledBack(it.Id))
      continue;
    const bool hasNew = !activeRollout->second.NewReplicas.empty();
    const bool hasOld = !activeRollout->second.OldReplicas.empty();
    if (hasNew && !hasOld)
      return it.Id;
    if (hasNew &&
        chooseVersion(activeRollout->second.Controller->shares(),
                      std::to_string(keyHash), isRepeatable, now()) == it.Id)
      return it.Id;
  }
  return steady == nullptr ? VersionId() : steady->Id;
}

void RolloutTracker::record(const EvidenceKey &key, UpstreamOutcome outcome) {
  const std::lock_guard<std::mutex> lock(Mutex);
  Knowledge.Evidence.record(Self, key, outcome);
  const auto activeRollout = ActiveRollouts.find(key.Version);
  if (outcome != UpstreamOutcome::Good && activeRollout != ActiveRollouts.end())
    judge(key.Version, *activeRollout->second.Controller, now());
}

void RolloutTracker::judge(const VersionId &version, Rollout &controller,
                           Instant at) {
  const bool wasRolledBack = isRolledBack(version);
  controller.update(Knowledge, at);
  if (!wasRolledBack && isRolledBack(version))
    logRollback(version, "judged here");
}

void RolloutTracker::beginRollouts(const Bundle &bundle) {
  if (Generation == bundle.Generation)
    return;
  Generation = bundle.Generation;
  std::map<VersionId, ActiveRollout> next;
  BundleVersions.clear();
  for (const UpstreamVersion &it : bundle.Versions)
    BundleVersions.insert(it.Id);
  for (const Service &it : bundle.Services) {
    auto plan = planRollout(bundle, it.Id, 1);
    if (!plan)
      continue;
    const std::size_t old = Replicas(plan->Old).size();
    plan = planRollout(bundle, it.Id, old);
    next[plan->New].Controller = std::make_unique<Rollout>(*plan, Self.Host);
  }
  ActiveRollouts = std::move(next);
  Knowledge.Evidence.keepOnly(BundleVersions);
}

void RolloutTracker::updateFreshness(Instant at) {
  if (at > LastTickAt + MaxTickInterval)
    ResumedAt = at;
  LastTickAt = at;
  // While a daemon runs without a pause, its own verdict is sufficient. After a
  // pause it first needs the knowledge that it may have missed.
  const bool isCurrent = RefreshedAt >= ResumedAt;
  for (auto &it : ActiveRollouts)
    if (isCurrent)
      it.second.Controller->confirmKnowledgeUntil(at);
}

void RolloutTracker::tick(const Bundle &bundle, Instant at) {
  std::map<VersionId, std::vector<UpstreamId>> replicas;
  for (const UpstreamVersion &it : bundle.Versions)
    replicas[it.Id] = Replicas(it.Id);
  const std::lock_guard<std::mutex> lock(Mutex);
  beginRollouts(bundle);
  updateFreshness(at);
  for (auto &it : ActiveRollouts) {
    ActiveRollout &activeRollout = it.second;
    activeRollout.NewReplicas = replicas[it.first];
    activeRollout.OldReplicas = replicas[activeRollout.Controller->plan().Old];
    if (!activeRollout.NewReplicas.empty())
      judge(it.first, *activeRollout.Controller, at);
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
RolloutTracker::excludedReplicas(const VersionId &version) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const auto activeRollout = ActiveRollouts.find(version);
  if (activeRollout == ActiveRollouts.end())
    return {};
  const Rollout &controller = *activeRollout->second.Controller;
  const auto selected =
      canaryReplicas(activeRollout->second.NewReplicas, controller.callShare(),
                     controller.plan().ReplicaShare);
  std::vector<UpstreamId> out;
  for (const UpstreamId &it : activeRollout->second.NewReplicas)
    if (std::find(selected.begin(), selected.end(), it) == selected.end())
      out.push_back(it);
  return out;
}

RolloutKnowledge RolloutTracker::ownKnowledge() {
  const std::lock_guard<std::mutex> lock(Mutex);
  return ownPart(Knowledge, Self);
}

void RolloutTracker::receive(const RolloutKnowledge &incoming) {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::vector<VersionId> newlyRolledBack;
  for (const auto &[version, veto] : incoming.Vetoes)
    if (!isRolledBack(version))
      newlyRolledBack.push_back(version);
  merge(Knowledge, incoming);
  for (const VersionId &it : newlyRolledBack)
    logRollback(it, "reported by a peer");
  if (!BundleVersions.empty())
    Knowledge.Evidence.keepOnly(BundleVersions);
}

void RolloutTracker::confirmKnowledgeUntil(Instant askedAt) {
  const std::lock_guard<std::mutex> lock(Mutex);
  RefreshedAt = std::max(RefreshedAt, askedAt);
}

std::vector<RolloutView> RolloutTracker::rolloutViews(const Bundle &bundle) {
  const std::lock_guard<std::mutex> lock(Mutex);
  std::vector<RolloutView> out;
  for (const UpstreamVersion &it : bundle.Versions) {
    const auto activeRollout = ActiveRollouts.find(it.Id);
    if (activeRollout == ActiveRollouts.end())
      continue;
    RolloutView view;
    view.Version = it;
    view.Status = activeRollout->second.Controller->status();
    for (const Route &route : activeRollout->second.Controller->plan().Routes)
      view.Evidence[route.Id] = Knowledge.Evidence.total({it.Id, route.Id});
    out.push_back(std::move(view));
  }
  return out;
}

} // namespace sorrelbay
