#include "StreamRecovery.h"
#include "LibBase/LogLine.h"
#include "LibEngine/EngineClient.h"
#include <algorithm>
#include <set>

namespace sorrelbay {

/// The expected length of an answer, in tokens, if its caller sets no limit.
static constexpr std::uint64_t DefaultAnswerLength = 256;
static constexpr Duration MoveTimeout = seconds(10);
/// The assumed time until an engine leaves if its reclaim time is unknown; this
/// is the shortest notice period.
static constexpr Duration ShortestNoticePeriod = seconds(2);
/// How long an ended answer is retained for a caller whose connection broke.
static constexpr Duration EndedAnswerRetention = seconds(15);

StreamRecovery::StreamRecovery(const DaemonSettings &settings,
                               UpstreamTable &upstreams, LiveAnswers &answers,
                               Metrics &metrics)
    : Settings(settings), Upstreams(upstreams), Answers(answers),
      Counts(metrics), CacheMoveWorkers(std::max<std::size_t>(
                           1, settings.Recovery.MovesTogether)) {}

RecoveryPlan &StreamRecovery::planOf(const VersionId &version) {
  return Plans.try_emplace(version, Settings.Recovery).first->second;
}

void StreamRecovery::begin(const LiveAnswer &answer,
                           const UpstreamId &upstream) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const AnswerRequest &callRequest = answer.CallRequest;
  OpenAnswer open;
  open.Request = callRequest.Id;
  open.PromptTokens = callRequest.Call.PromptTokens;
  open.TokensSoFar = answer.tokenCount();
  open.ExpectedLength = callRequest.Call.MaxTokens ? callRequest.Call.MaxTokens
                                                   : DefaultAnswerLength;
  Open[callRequest.Id] =
      Answers.find(callRequest.Id, callRequest.Context.FromTeam);
  planOf(callRequest.Version).open(open, upstream);
}

void StreamRecovery::firstTokenArrived(const LiveAnswer &answer) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const VersionId &version = answer.CallRequest.Version;
  perform(version, planOf(version).resumed(now(), answer.CallRequest.Id));
}

void StreamRecovery::lost(const LiveAnswer &answer, const UpstreamId &upstream,
                          AttemptLoss loss) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const VersionId &version = answer.CallRequest.Version;
  RecoveryPlan &plan = planOf(version);
  plan.setProgress(answer.CallRequest.Id, answer.tokenCount());
  perform(version,
          plan.attemptLost(now(), answer.CallRequest.Id, upstream, loss));
}

void StreamRecovery::end(const LiveAnswer &answer) {
  const std::lock_guard<std::mutex> lock(Mutex);
  planOf(answer.CallRequest.Version).close(answer.CallRequest.Id);
  Open.erase(answer.CallRequest.Id);
}

bool StreamRecovery::mayAdmit(const VersionId &version) {
  const std::lock_guard<std::mutex> lock(Mutex);
  return planOf(version).mayAdmitAnywhere();
}

void StreamRecovery::tick() {
  const std::lock_guard<std::mutex> lock(Mutex);
  const Instant at = now();
  Answers.dropEndedBefore(at - EndedAnswerRetention);
  updateUpstreams(at);
  for (const auto &[request, answer] : Open)
    planOf(answer->CallRequest.Version)
        .setProgress(request, answer->tokenCount());
  for (auto &[version, plan] : Plans)
    if (plan.isBusy())
      perform(version, plan.tick(at));
}

void StreamRecovery::updateUpstreams(Instant at) {
  std::map<VersionId, std::map<Instant, std::vector<UpstreamId>>> notices;
  std::set<UpstreamId> listed;
  for (const EngineView &it : Upstreams.engines()) {
    RecoveryPlan &plan = planOf(it.Version);
    listed.insert(it.Id);
    KnownEngines[it.Id] = it.Version;
    plan.setUpstream(it.Id, it.Zone, it.Capacity);
    if (it.IsLeaving && !plan.isLeaving(it.Id))
      notices[it.Version][it.LeavesAt.value_or(at + ShortestNoticePeriod)]
          .push_back(it.Id);
  }
  // An engine that is no longer listed has left or will soon. It may still send
  // its answers, so they are redirected before their connections break.
  for (auto it = KnownEngines.begin(); it != KnownEngines.end();) {
    const bool isListed = listed.count(it->first) != 0;
    if (!isListed)
      notices[it->second][at].push_back(it->first);
    it = isListed ? std::next(it) : KnownEngines.erase(it);
  }
  for (const auto &[version, batches] : notices)
    for (const auto &[leavesAt, upstreams] : batches)
      perform(version, planOf(version).notice(at, upstreams, leavesAt));
}

void StreamRecovery::perform(const VersionId &version,
                             const RecoveryActions &actions) {
  for (const MoveCache &it : actions.Moves)
    enqueueMove(version, it);
  for (const AnswerResumption &it : actions.Resumes) {
    const auto answer = Open.find(it.Request);
    if (answer == Open.end() || !answer->second)
      continue;
    Counts.countResume(it.Recomputed);
    LogLine(Severity::Info, "answer resumed")
        .field("request", it.Request.text())
        .field("upstream", it.To.text())
        .field("recomputed", static_cast<std::int64_t>(it.Recomputed))
        .field("trace_id", answer->second->CallRequest.Context.Trace.TraceId);
    const auto handle = CacheHandles.find(it.Request);
    answer->second->redirect(
        {it.To, handle == CacheHandles.end() ? std::string() : handle->second});
  }
}

void StreamRecovery::enqueueMove(const VersionId &version,
                                 const MoveCache &order) {
  const auto answer = Open.find(order.Request);
  if (answer == Open.end())
    return;
  // Tokens that arrive during the export may be missing from the cache.
  const std::uint64_t tokens = answer->second->CallRequest.Call.PromptTokens +
                               answer->second->tokenCount();
  CacheMoveWorkers.enqueue(
      [this, version, order, tokens] { moveCache(version, order, tokens); });
}

void StreamRecovery::moveCache(const VersionId &version, const MoveCache &order,
                               std::uint64_t cachedTokens) {
  std::string handle;
  try {
    handle = exportCache(order.From, order.Request.text(), MoveTimeout);
  } catch (const EngineFailed &error) {
    LogLine(Severity::Warning, "KV cache not moved")
        .field("request", order.Request.text())
        .field("error", error.what());
  }
  const std::lock_guard<std::mutex> lock(Mutex);
  RecoveryPlan &plan = planOf(version);
  const auto answer = Open.find(order.Request);
  if (answer == Open.end())
    return;
  plan.setProgress(order.Request, answer->second->tokenCount());
  if (handle.empty()) {
    perform(version, plan.moveFailed(now(), order.Request));
    return;
  }
  CacheHandles[order.Request] = handle;
  perform(version, plan.moved(now(), order.Request, cachedTokens));
  // If the plan has changed meanwhile, the moved cache is no longer usable.
  CacheHandles.erase(order.Request);
}

void StreamRecovery::stop() { CacheMoveWorkers.shutdown(); }

} // namespace sorrelbay
