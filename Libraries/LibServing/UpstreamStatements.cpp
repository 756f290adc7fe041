#include "LibServing/UpstreamStatements.h"
#include <algorithm>

namespace sorrelbay {

/// The end of a limit is reported to other hosts for this long.
static constexpr Duration RateLimitEndReportTime = seconds(5);
/// A limit that no response has confirmed for this long is checked by the next
/// call of a host that may send one.
static constexpr Duration RateLimitCheckAfter = seconds(2);
/// A limit that no response confirms passes to other hosts this often.
static constexpr Duration RateShareTurn = seconds(5);
/// A longer pause is cut to this length, so that a wrong value does not keep an
/// upstream without calls for good.
static constexpr Duration LongestPause = hours(1);
/// The clock of an upstream may differ by this much from that of a host.
static constexpr Duration MaxClockDifference = milliseconds(500);
/// The statements of an upstream that is not registered are kept for this long.
static constexpr Duration Retention = minutes(10);

/// A new process of the upstream is not bound by what the one before stated.
void UpstreamStatements::noteProcess(const UpstreamId &id,
                                     std::int64_t startedMs,
                                     std::optional<Instant> startedAt,
                                     Instant now) {
  if (startedMs == 0)
    return;
  const auto [process, isNew] = Processes.try_emplace(id);
  const bool hasRestarted = !isNew && process->second.StartedMs != startedMs;
  process->second.StartedMs = startedMs;
  if (!hasRestarted)
    return;
  const Instant since =
      startedAt ? std::min(*startedAt - MaxClockDifference, now) : now;
  process->second.Since = since;
  const auto known = ByUpstream.find(id);
  if (known == ByUpstream.end())
    return;
  Statements &it = known->second;
  if (it.RateLimit.Statement.At <= since)
    it.RateLimit = {};
  if (it.RejectionLimit.Statement.At <= since)
    it.RejectionLimit = {};
  it.Pauses.erase(
      std::remove_if(it.Pauses.begin(), it.Pauses.end(),
                     [&](const Pause &pause) { return pause.SentAt <= since; }),
      it.Pauses.end());
  if (it.LeavingSentAt <= since)
    it.LeavingSentAt.reset();
}

Instant UpstreamStatements::processSince(const UpstreamId &id) const {
  const auto it = Processes.find(id);
  return it == Processes.end() ? Instant{} : it->second.Since;
}

bool UpstreamStatements::noteRateLimit(const UpstreamId &id,
                                       const LimitStatement &statement) {
  return accept(id, &Statements::RateLimit, statement, true);
}

void UpstreamStatements::notePeerRateLimit(const UpstreamId &id,
                                           const LimitStatement &statement) {
  accept(id, &Statements::RateLimit, statement, false);
}

bool UpstreamStatements::noteRejectionLimit(const UpstreamId &id,
                                            const LimitStatement &statement) {
  return accept(id, &Statements::RejectionLimit, statement, true);
}

void UpstreamStatements::notePeerRejectionLimit(
    const UpstreamId &id, const LimitStatement &statement) {
  accept(id, &Statements::RejectionLimit, statement, false);
}

/// Keeps the statement if it is newer than what is known. Returns whether the
/// limit has changed.
template <typename Limit>
bool UpstreamStatements::accept(const UpstreamId &id, Limit Statements::*limit,
                                const LimitStatement &statement, bool isOwn) {
  const auto known = ByUpstream.find(id);
  const bool isEndOfNone =
      !statement.PerSecond && (known == ByUpstream.end() ||
                               !(known->second.*limit).Statement.PerSecond);
  if (isEndOfNone || statement.At <= processSince(id))
    return false;
  Statements &it = known == ByUpstream.end() ? ByUpstream[id] : known->second;
  Limit &changed = it.*limit;
  if (statement.At <= changed.Statement.At)
    return false;
  const bool hasChanged = changed.Statement.PerSecond != statement.PerSecond;
  changed.Statement = statement;
  changed.IsOwn = isOwn;
  it.LastAt = std::max(it.LastAt, statement.At);
  return hasChanged;
}

template <typename Limit>
LimitStatements UpstreamStatements::ownStatements(Limit Statements::*limit,
                                                  Instant now) const {
  LimitStatements out;
  for (const auto &[id, it] : ByUpstream) {
    const LimitStatement &statement = (it.*limit).Statement;
    if ((it.*limit).IsOwn &&
        (statement.PerSecond || now - statement.At < RateLimitEndReportTime))
      out.emplace(id, statement);
  }
  return out;
}

LimitStatements UpstreamStatements::ownRateLimits(Instant now) const {
  return ownStatements(&Statements::RateLimit, now);
}

LimitStatements UpstreamStatements::ownRejectionLimits(Instant now) const {
  return ownStatements(&Statements::RejectionLimit, now);
}

std::optional<double>
UpstreamStatements::rejectionLimit(const UpstreamId &id) const {
  const auto it = ByUpstream.find(id);
  return it == ByUpstream.end() ? std::nullopt
                                : it->second.RejectionLimit.Statement.PerSecond;
}

void UpstreamStatements::setSendingHosts(SendingHosts hosts) {
  if (Senders == hosts)
    return;
  Senders = std::move(hosts);
  for (auto &[id, it] : ByUpstream)
    it.RejectionLimit.Cached.reset();
}

/// The upstream's limit of rejections; null if it names none.
UpstreamRejectionLimit *
UpstreamStatements::namedRejectionLimit(const UpstreamId &id) {
  const auto it = ByUpstream.find(id);
  const bool isNamed =
      it != ByUpstream.end() && it->second.RejectionLimit.Statement.PerSecond;
  return isNamed ? &it->second.RejectionLimit : nullptr;
}

RejectionShare
UpstreamStatements::shareOfRejections(const UpstreamId &id,
                                      UpstreamRejectionLimit &limit,
                                      const UpstreamRoom &room) const {
  const double perSecond = *limit.Statement.PerSecond;
  if (!limit.Cached || limit.Cached->PerSecond != perSecond ||
      limit.Cached->Slots != room.Slots)
    limit.Cached = {perSecond, room.Slots,
                    rejectionShare(id, Senders, room.Slots, perSecond)};
  return limit.Cached->Share;
}

std::optional<Duration>
UpstreamStatements::rejectionWait(const UpstreamId &id,
                                  const UpstreamRoom &room, Instant now) {
  UpstreamRejectionLimit *limit = namedRejectionLimit(id);
  if (!limit)
    return std::nullopt;
  return limit->Limiter.wait(shareOfRejections(id, *limit, room), room, now);
}

void UpstreamStatements::noteRejected(const UpstreamId &id, Instant now) {
  if (UpstreamRejectionLimit *limit = namedRejectionLimit(id))
    limit->Limiter.noteRejected(now);
}

void UpstreamStatements::setServingHosts(const HostId &self,
                                         std::vector<HostId> hosts) {
  if (Self == self && ServingHosts == hosts)
    return;
  Self = self;
  ServingHosts = std::move(hosts);
  for (auto &[id, it] : ByUpstream)
    it.RateLimit.Cached.reset();
}

/// The upstream's rate limit; null if it names none.
UpstreamRateLimit *UpstreamStatements::namedRateLimit(const UpstreamId &id) {
  const auto it = ByUpstream.find(id);
  const bool isNamed = it != ByUpstream.end() &&
                       it->second.RateLimit.Statement.PerSecond.has_value();
  return isNamed ? &it->second.RateLimit : nullptr;
}

bool UpstreamStatements::isRateLimitUnconfirmed(const UpstreamId &id,
                                                Instant now) const {
  const auto it = ByUpstream.find(id);
  return it != ByUpstream.end() && it->second.RateLimit.Statement.PerSecond &&
         now - it->second.RateLimit.Statement.At > RateLimitCheckAfter;
}

/// This host's share of the upstream's rate limit in calls per second. A limit
/// that no response has confirmed for a while passes to other hosts: those that
/// hold it may have no calls for the upstream, or no path to it.
double UpstreamStatements::rateShare(const UpstreamId &id,
                                     UpstreamRateLimit &limit, Instant now) {
  const double perSecond = *limit.Statement.PerSecond;
  const Duration age =
      std::max<Duration>(now - limit.Statement.At, Duration::zero());
  const auto turn = static_cast<std::size_t>(age / RateShareTurn);
  if (!limit.Cached || limit.Cached->PerSecond != perSecond ||
      limit.Cached->Turn != turn)
    limit.Cached = {perSecond, turn,
                    rateLimitShare(id, Self, ServingHosts, perSecond, turn)};
  return limit.Cached->Share;
}

std::optional<Duration> UpstreamStatements::rateLimitWait(const UpstreamId &id,
                                                          Instant now) {
  UpstreamRateLimit *limit = namedRateLimit(id);
  if (!limit)
    return std::nullopt;
  return limit->Limiter.wait(rateShare(id, *limit, now), now);
}

bool UpstreamStatements::notePause(const UpstreamId &id,
                                   const PauseStatement &statement) {
  if (statement.SentAt <= processSince(id))
    return false;
  if (statement.Length <= Duration::zero())
    return true;
  const Instant until = statement.At + std::min(statement.Length, LongestPause);
  Statements &it = ByUpstream[id];
  it.LastAt = std::max(it.LastAt, until);
  it.Pauses.erase(std::remove_if(it.Pauses.begin(), it.Pauses.end(),
                                 [&](const Pause &pause) {
                                   return pause.Until <= statement.At;
                                 }),
                  it.Pauses.end());
  it.Pauses.push_back({statement.SentAt, until});
  return true;
}

Duration UpstreamStatements::Statements::pauseLeft(Instant now) const {
  Duration longest = Duration::zero();
  for (const Pause &it : Pauses)
    longest = std::max<Duration>(longest, it.Until - now);
  return longest;
}

Duration UpstreamStatements::pauseLeft(const UpstreamId &id,
                                       Instant now) const {
  const auto it = ByUpstream.find(id);
  return it == ByUpstream.end() ? Duration::zero() : it->second.pauseLeft(now);
}

bool UpstreamStatements::noteLeaving(const UpstreamId &id, Instant sentAt,
                                     Instant now) {
  if (sentAt <= processSince(id))
    return false;
  Statements &it = ByUpstream[id];
  it.LeavingSentAt = std::max(it.LeavingSentAt.value_or(sentAt), sentAt);
  it.LastAt = std::max(it.LastAt, now);
  return true;
}

bool UpstreamStatements::isLeaving(const UpstreamId &id) const {
  const auto it = ByUpstream.find(id);
  return it != ByUpstream.end() && it->second.LeavingSentAt.has_value();
}

bool UpstreamStatements::allowCall(const UpstreamId &id,
                                   const UpstreamRoom &room, Instant now) {
  const auto it = ByUpstream.find(id);
  if (it == ByUpstream.end())
    return true;
  if (it->second.LeavingSentAt || it->second.pauseLeft(now) > Duration::zero())
    return false;
  UpstreamRateLimit &limit = it->second.RateLimit;
  if (limit.Statement.PerSecond &&
      !limit.Limiter.hasCapacity(rateShare(id, limit, now), now))
    return false;
  return rejectionWait(id, room, now).value_or(Duration::zero()) ==
         Duration::zero();
}

void UpstreamStatements::noteSent(const UpstreamId &id,
                                  const UpstreamRoom &room, Instant now) {
  if (UpstreamRateLimit *limit = namedRateLimit(id))
    limit->Limiter.note(rateShare(id, *limit, now), now);
  UpstreamRejectionLimit *rejections = namedRejectionLimit(id);
  if (rejections &&
      room.OwnCalls >= shareOfRejections(id, *rejections, room).Slots)
    rejections->Limiter.noteSent(now);
}

void UpstreamStatements::noteUnregistered(const UpstreamId &id) {
  if (ByUpstream.count(id) == 0)
    Processes.erase(id);
}

void UpstreamStatements::forgetUnregistered(
    const std::function<bool(const UpstreamId &)> &isRegistered, Instant now) {
  for (auto it = ByUpstream.begin(); it != ByUpstream.end();) {
    if (isRegistered(it->first) || now - it->second.LastAt < Retention) {
      ++it;
      continue;
    }
    Processes.erase(it->first);
    it = ByUpstream.erase(it);
  }
}

} // namespace sorrelbay
