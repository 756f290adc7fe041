#include "StreamRecovery.h"
#include "LibBase/LogLine.h"
#include "LibEngine/EngineClient.h"
#include <algorithm>
#include <set>

namespace sorrelbay {

/// An answer's length where its caller sets no limit.
static constexpr std::uint64_t UsualLength = 256;
static constexpr Duration MoveTimeout = seconds(10);
/// What a leaving engine is given whose end isn't told; the shortest notice.
static constexpr Duration ShortestNotice = seconds(2);
/// How long an ended answer is kept for a caller whose connection broke.
static constexpr Duration KeptAfterEnd = seconds(15);

StreamRecovery::StreamRecovery(const DaemonSettings &settings,
                               UpstreamTable &upstreams, LiveAnswers &answers,
                               Metrics &metrics)
    : Settings(settings), Upstreams(upstreams), Answers(answers),
      Counts(metrics),
      Movers(std::max<std::size_t>(1, settings.Recovery.MovesTogether)) {}

RecoveryPlan &StreamRecovery::planOf(const VersionId &version) {
  return Plans.try_emplace(version, Settings.Recovery).first->second;
}

void StreamRecovery::begin(const LiveAnswer &answer,
                           const UpstreamId &upstream) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const AnswerRequest &what = answer.What;
  OpenAnswer open;
  open.Request = what.Id;
  open.PromptTokens = what.Call.PromptTokens;
  open.TokensSoFar = answer.tokenCount();
  open.ExpectedLength = what.Call.MaxTokens ? what.Call.MaxTokens : UsualLength;
  Open[what.Id] = Answers.find(what.Id, what.Context.FromTeam);
  planOf(what.Version).open(open, upstream);
}

void StreamRecovery::firstTokenArrived(const LiveAnswer &answer) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const VersionId &version = answer.What.Version;
  perform(version, planOf(version).resumed(now(), answer.What.Id));
}

void StreamRecovery::lost(const LiveAnswer &answer, const UpstreamId &upstream,
                          AttemptLoss loss) {
  const std::lock_guard<std::mutex> lock(Mutex);
  const VersionId &version = answer.What.Version;
  RecoveryPlan &plan = planOf(version);
  plan.setProgress(answer.What.Id, answer.tokenCount());
  perform(version, plan.attemptLost(now(), answer.What.Id, upstream, loss));
}

void StreamRecovery::end(const LiveAnswer &answer) {
  const std::lock_guard<std::mutex> lock(Mutex);
  planOf(answer.What.Version).close(answer.What.Id);
  Open.erase(answer.What.Id);
}

bool StreamRecovery::mayAdmit(const VersionId &version) {
  const std::lock_guard<std::mutex> lock(Mutex);
  return planOf(version).mayAdmitAnywhere();
}

void StreamRecovery::tick() {
  const std::lock_guard<std::mutex> lock(Mutex);
  const Instant at = now();
  Answers.dropEndedBefore(at - KeptAfterEnd);
  takeUpstreams(at);
  for (const auto &[request, answer] : Open)
    planOf(answer->What.Version).setProgress(request, answer->tokenCount());
  for (auto &[version, plan] : Plans)
    if (plan.isBusy())
      perform(version, plan.tick(at));
}

void StreamRecovery::takeUpstreams(Instant at) {
  std::map<VersionId, std::map<Instant, std::vector<UpstreamId>>> notices;
  std::set<UpstreamId> listed;
  for (const EngineView &it : Upstreams.engines()) {
    RecoveryPlan &plan = planOf(it.Version);
    listed.insert(it.Id);
    Known[it.Id] = it.Version;
    plan.setUpstream(it.Id, it.Zone, it.Capacity);
    if (it.IsLeaving && !plan.isLeaving(it.Id))
      notices[it.Version][it.LeavesAt.value_or(at + ShortestNotice)].push_back(
          it.Id);
  }
  // What is no longer listed is gone or about to be; its answers may still
  // come, so they are sent elsewhere before anything is cut.
  for (auto it = Known.begin(); it != Known.end();) {
    const bool isListed = listed.count(it->first) != 0;
    if (!isListed)
      notices[it->second][at].push_back(it->first);
    it = isListed ? std::next(it) : Known.erase(it);
  }
  for (const auto &[version, waves] : notices)
    for (const auto &[leavesAt, upstreams] : waves)
      perform(version, planOf(version).notice(at, upstreams, leavesAt));
}

void StreamRecovery::perform(const VersionId &version,
                             const RecoveryActions &actions) {
  for (const MoveCache &it : actions.Moves)
    move(version, it);
  for (const AnswerResumption &it : actions.Resumes) {
    const auto answer = Open.find(it.Request);
    if (answer == Open.end() || !answer->second)
      continue;
    Counts.countResume(it.Recomputed);
    LogLine(Severity::Info, "answer resumed")
        .field("request", it.Request.text())
        .field("upstream", it.To.text())
        .field("recomputed", static_cast<std::int64_t>(it.Recomputed))
        .field("trace_id", answer->second->What.Context.Trace.TraceId);
    const auto handle = Handles.find(it.Request);
    answer->second->redirect(
        {it.To, handle == Handles.end() ? std::string() : handle->second});
  }
}

void StreamRecovery::move(const VersionId &version, const MoveCache &order) {
  const auto answer = Open.find(order.Request);
  if (answer == Open.end())
    return;
  // Tokens that come during the export are not counted on.
  const std::uint64_t tokens =
      answer->second->What.Call.PromptTokens + answer->second->tokenCount();
  Movers.enqueue(
      [this, version, order, tokens] { moveNow(version, order, tokens); });
}

void StreamRecovery::moveNow(const VersionId &version, const MoveCache &order,
                             std::uint64_t cachedTokens) {
  std::string handle;
  try {
    handle = exportCache(order.From, order.Request.text(), MoveTimeout);
  } catch (const EngineFailed &error) {
    LogLine(Severity::Warning, "cache not moved")
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
  Handles[order.Request] = handle;
  perform(version, plan.moved(now(), order.Request, cachedTokens));
  // If the plan has changed meanwhile, the cache is of no use any more.
  Handles.erase(order.Request);
}

void StreamRecovery::stop() { Movers.shutdown(); }

} // namespace sorrelbay
