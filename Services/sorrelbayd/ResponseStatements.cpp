#include "ResponseStatements.h"
#include "LibBase/BootClock.h"
#include "LibBase/LogLine.h"
#include <cmath>

namespace sorrelbay {

/// Names of unknown statements that are logged.
static constexpr std::size_t MaxUnknownStatements = 32;
/// Upstreams' loads that are logged, once for each reason why they are ignored.
static constexpr std::size_t MaxIgnoredLoads = 256;
/// Characters of a header field's value that are logged.
static constexpr std::size_t MaxLoggedValue = 64;
static constexpr const char *Applied = "applied";

/// A response to an earlier call on the connection may be too old to state the
/// present rate limit. A pause that it asks for can only be counted as too
/// long, and an upstream that was leaving then still is.
void ResponseStatements::apply(const UpstreamReplyInfo &replyInfo) {
  if (Source.IsForThisCall)
    applyRateLimit(replyInfo.RateLimit);
  else if (replyInfo.RateLimit)
    ignore({StatementKind::RateLimit, IgnoredReason::OtherCall,
            std::to_string(*replyInfo.RateLimit)});
  if (Source.IsForThisCall)
    applyRejectionLimit(replyInfo.RejectionLimit);
  else if (replyInfo.RejectionLimit)
    ignore({StatementKind::RejectionLimit, IgnoredReason::OtherCall,
            std::to_string(*replyInfo.RejectionLimit)});
  if (replyInfo.Pause)
    applyPause(*replyInfo.Pause);
  if (replyInfo.IsLeaving)
    applyLeaving();
  if (replyInfo.Load)
    applyLoad(*replyInfo.Load);
  for (const IgnoredStatement &it : replyInfo.Ignored)
    ignore(it);
}

static std::string toText(const LoadStatement &load) {
  std::string out = std::to_string(load.Running) + "," +
                    std::to_string(load.Waiting) + "," +
                    std::to_string(load.Slots);
  if (load.Slowness)
    out += "," + std::to_string(std::lround(*load.Slowness * 100));
  return out;
}

/// A response that arrived while the host was suspended may be read long after
/// the upstream stated its load in it.
void ResponseStatements::applyLoad(LoadStatement load) {
  const Instant now = bootNow();
  load.At = now;
  std::optional<IgnoredReason> reason;
  if (!Source.IsForThisCall)
    reason = IgnoredReason::OtherCall;
  else if (State.wasStalled(now) || Source.SentAt < State.StallEndedAt)
    reason = IgnoredReason::Stale;
  else
    reason = State.Replicas.loads().note(Source.Upstream, load);
  logContradicted();
  if (reason)
    return ignore({StatementKind::Load, *reason, toText(load)});
  State.Counts.countUpstreamStatement(toText(StatementKind::Load), Applied);
  State.LoadLog.note(Source.Upstream, load);
}

/// Logs the statements of all upstreams that were contradicted since the last
/// response. The call named is the one with which this is logged.
void ResponseStatements::logContradicted() {
  for (const IgnoredLoad &it : State.Replicas.loads().takeContradicted())
    ResponseStatements(State, {it.Id, Source.CallId, {}, {}, false, false})
        .ignore({StatementKind::Load, it.Reason, toText(it.Statement)});
}

/// What the response states about a limit; empty if nothing. Only a successful
/// response without a limit ends one; it describes the upstream at some time
/// after the call was sent.
std::optional<LimitStatement> ResponseStatements::limitStatement(
    StatementKind kind, const std::optional<double> &perSecond) const {
  if (!perSecond && !Source.IsSuccess)
    return std::nullopt;
  if (perSecond)
    State.Counts.countUpstreamStatement(toText(kind), Applied);
  return LimitStatement{perSecond, perSecond ? bootNow() : Source.ChosenAt};
}

void ResponseStatements::applyRejectionLimit(
    const std::optional<double> &perSecond) {
  const auto statement =
      limitStatement(StatementKind::RejectionLimit, perSecond);
  if (!statement || !State.Replicas.statements().noteRejectionLimit(
                        Source.Upstream, *statement))
    return;
  State.NotifyPeers();
  if (!State.StatementLogBudget.take(bootNow()))
    return;
  LogLine line(Severity::Info, perSecond ? "upstream names a rejection limit"
                                         : "upstream rejection limit over");
  line.field("upstream", Source.Upstream.text()).field("id", Source.CallId);
  if (perSecond)
    line.field("per_second", *perSecond);
}

void ResponseStatements::applyRateLimit(
    const std::optional<double> &perSecond) {
  const auto statement = limitStatement(StatementKind::RateLimit, perSecond);
  if (!statement ||
      !State.Replicas.statements().noteRateLimit(Source.Upstream, *statement))
    return;
  State.NotifyPeers();
  LogLine line(Severity::Info, perSecond ? "upstream names a rate limit"
                                         : "upstream rate limit over");
  line.field("upstream", Source.Upstream.text()).field("id", Source.CallId);
  if (perSecond)
    line.field("per_second", *perSecond);
}

void ResponseStatements::applyPause(Duration pause) {
  const Instant now = bootNow();
  if (!State.Replicas.statements().notePause(Source.Upstream,
                                             {Source.SentAt, now, pause}))
    return ignore({StatementKind::Pause, IgnoredReason::EarlierProcess,
                   std::to_string(toSeconds(pause))});
  State.Counts.countUpstreamStatement(toText(StatementKind::Pause), Applied);
  if (State.StatementLogBudget.take(now))
    LogLine(Severity::Info, "upstream asks for a pause")
        .field("upstream", Source.Upstream.text())
        .field("id", Source.CallId)
        .field("pause_ms", toMilliseconds(pause));
}

void ResponseStatements::applyLeaving() {
  UpstreamStatements &statements = State.Replicas.statements();
  const bool isKnown = statements.isLeaving(Source.Upstream);
  if (!statements.noteLeaving(Source.Upstream, Source.SentAt, bootNow()))
    return ignore({StatementKind::Leaving, IgnoredReason::EarlierProcess, ""});
  State.Counts.countUpstreamStatement(toText(StatementKind::Leaving), Applied);
  if (!isKnown)
    LogLine(Severity::Info, "upstream states that it leaves")
        .field("upstream", Source.Upstream.text())
        .field("id", Source.CallId);
}

/// Whether no such statement has been logged: an unknown one by its name, a
/// load by its upstream and why it is ignored, because these come with each
/// response. Further ones than the maximum are not.
bool ResponseStatements::isFirstOfItsKind(
    const IgnoredStatement &statement) const {
  const bool isUnknown = statement.Kind == StatementKind::Unknown;
  const std::string key =
      isUnknown ? statement.Value
                : Source.Upstream.text() + " " + toText(statement.Reason);
  auto &logged = State.StatementsLoggedOnce[statement.Kind];
  return logged.size() < (isUnknown ? MaxUnknownStatements : MaxIgnoredLoads) &&
         logged.insert(key).second;
}

void ResponseStatements::ignore(const IgnoredStatement &statement) {
  State.Counts.countUpstreamStatement(toText(statement.Kind),
                                      toText(statement.Reason));
  const bool isLoggedOnce = statement.Kind == StatementKind::Unknown ||
                            statement.Kind == StatementKind::Load;
  if (isLoggedOnce && !isFirstOfItsKind(statement))
    return;
  if (State.StatementLogBudget.take(bootNow()))
    LogLine(Severity::Warning, "upstream statement ignored")
        .field("upstream", Source.Upstream.text())
        .field("id", Source.CallId)
        .field("statement", toText(statement.Kind))
        .field("why", toText(statement.Reason))
        .field("value", statement.Value.substr(0, MaxLoggedValue));
}

} // namespace sorrelbay
