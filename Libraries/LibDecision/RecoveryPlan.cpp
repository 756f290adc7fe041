#include "LibDecision/RecoveryPlan.h"
#include "LibBase/Invariant.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace sorrelbay {

/// The share of the estimated length that is assumed to remain once an answer
/// is longer than estimated.
static constexpr double OutgrownRemainder = 0.25;
/// How long an engine is avoided after its first failure of an answer.
static constexpr Duration InitialRetryBackoff = milliseconds(250);
/// Safety factor on the estimated prefill time, so that resumptions start early
/// enough.
static constexpr double PrefillTimeFactor = 1.5;

RecoveryPlan::RecoveryPlan(RecoverySettings settings) : Settings(settings) {}

void RecoveryPlan::setUpstream(const UpstreamId &id, const ZoneId &zone,
                               std::uint32_t capacity) {
  Upstream &upstream = Upstreams[id];
  // An address that is listed again belongs to a new process, to which the
  // notice does not apply.
  if (upstream.IsGone)
    upstream.LeavesAt.reset();
  upstream.IsGone = false;
  upstream.Zone = zone;
  upstream.Capacity = capacity;
}

void RecoveryPlan::open(const OpenAnswer &answer, const UpstreamId &at) {
  close(answer.Request);
  Answer &entry = Answers[answer.Request];
  entry.Open = answer;
  enter(entry, at);
}

void RecoveryPlan::setProgress(const RequestId &request,
                               std::uint64_t tokensSoFar) {
  auto it = Answers.find(request);
  if (it != Answers.end())
    it->second.Open.TokensSoFar = tokensSoFar;
}

void RecoveryPlan::close(const RequestId &request) {
  auto it = Answers.find(request);
  if (it == Answers.end())
    return;
  requeue(it->second);
  leave(it->second);
  Answers.erase(it);
}

RecoveryActions RecoveryPlan::notice(Instant at,
                                     const std::vector<UpstreamId> &upstreams,
                                     Instant leavesAt) {
  for (const UpstreamId &id : upstreams) {
    auto &known = Upstreams[id].LeavesAt;
    known = known ? std::min(*known, leavesAt) : leavesAt;
  }
  // Moves to an engine that is now leaving, too, need another target.
  for (auto &[request, answer] : Answers)
    if (answer.CurrentPhase == Phase::Moving && isLeaving(answer.To))
      requeue(answer);
  return plan(at);
}

RecoveryActions RecoveryPlan::gone(Instant at, const UpstreamId &upstream) {
  Upstreams[upstream].IsGone = true;
  for (auto &[request, answer] : Answers) {
    if (answer.At != upstream && answer.To != upstream)
      continue;
    requeue(answer);
    if (answer.At == upstream)
      leave(answer);
  }
  return plan(at);
}

RecoveryActions RecoveryPlan::moved(Instant at, const RequestId &request,
                                    std::uint64_t cachedTokens) {
  RecoveryActions actions;
  auto it = Answers.find(request);
  if (it == Answers.end() || it->second.CurrentPhase != Phase::Moving)
    return actions;
  Answer &answer = it->second;
  const UpstreamId to = answer.To;
  const std::uint64_t whole = context(answer);
  releaseTarget(answer);
  startResumption(answer, to, whole - std::min(whole, cachedTokens), actions);
  return plan(at, std::move(actions));
}

RecoveryActions RecoveryPlan::moveFailed(Instant at, const RequestId &request) {
  auto it = Answers.find(request);
  if (it == Answers.end() || it->second.CurrentPhase != Phase::Moving)
    return {};
  it->second.HasMoveFailed = true;
  requeue(it->second);
  return plan(at);
}

RecoveryActions RecoveryPlan::resumed(Instant at, const RequestId &request) {
  auto it = Answers.find(request);
  if (it == Answers.end() || it->second.CurrentPhase != Phase::Resuming)
    return {};
  endPrefill(it->second);
  it->second.CurrentPhase = Phase::Steady;
  it->second.ConnectionLostTo = UpstreamId();
  it->second.Avoided.clear();
  return plan(at);
}

RecoveryActions RecoveryPlan::attemptLost(Instant at, const RequestId &request,
                                          const UpstreamId &upstream,
                                          AttemptLoss loss) {
  auto it = Answers.find(request);
  if (it == Answers.end() || it->second.At != upstream)
    return {};
  Answer &answer = it->second;
  requeue(answer);
  leave(answer);
  if (loss == AttemptLoss::Upstream || answer.ConnectionLostTo == upstream) {
    avoid(at, answer, upstream);
  } else {
    answer.ConnectionLostTo = upstream;
    answer.Open.Cached.push_back({upstream, context(answer)});
  }
  return plan(at);
}

RecoveryActions RecoveryPlan::tick(Instant at) { return plan(at); }

bool RecoveryPlan::isBusy() const {
  return std::any_of(Answers.begin(), Answers.end(), [this](const auto &entry) {
    return entry.second.CurrentPhase != Phase::Steady ||
           isLeaving(entry.second.At);
  });
}

std::size_t RecoveryPlan::waiting() const {
  return std::count_if(Answers.begin(), Answers.end(), [](const auto &entry) {
    return entry.second.CurrentPhase == Phase::Waiting;
  });
}

bool RecoveryPlan::mayAdmitAnywhere() const {
  const std::size_t n = waiting();
  return n == 0 || freeCapacity() > n;
}

bool RecoveryPlan::mayAdmit(const UpstreamId &upstream) const {
  auto it = Upstreams.find(upstream);
  return it != Upstreams.end() && hasCapacity(it->second) &&
         freeCapacity() > waiting();
}

std::uint32_t RecoveryPlan::load(const UpstreamId &upstream) const {
  auto it = Upstreams.find(upstream);
  return it == Upstreams.end() ? 0 : it->second.Load;
}

bool RecoveryPlan::isLeaving(const UpstreamId &upstream) const {
  auto it = Upstreams.find(upstream);
  return it != Upstreams.end() && (it->second.IsGone || it->second.LeavesAt);
}

std::uint64_t RecoveryPlan::context(const Answer &answer) {
  return answer.Open.PromptTokens + answer.Open.TokensSoFar;
}

std::uint64_t RecoveryPlan::recomputedAt(const Answer &answer,
                                         const UpstreamId &id) {
  const std::uint64_t whole = context(answer);
  std::uint64_t cached = 0;
  for (const CachedPrefix &it : answer.Open.Cached)
    if (it.At == id)
      cached = std::max(cached, it.Tokens);
  return whole - std::min(whole, cached);
}

std::uint64_t RecoveryPlan::leastRecomputed(const Answer &answer) const {
  std::uint64_t least = context(answer);
  for (const auto &[id, upstream] : Upstreams)
    if (hasCapacity(upstream))
      least = std::min(least, recomputedAt(answer, id));
  return least;
}

bool RecoveryPlan::hasCapacity(const Upstream &upstream) {
  return !upstream.IsGone && !upstream.LeavesAt &&
         upstream.Load < upstream.Capacity;
}

bool RecoveryPlan::avoids(Instant at, const Answer &answer,
                          const UpstreamId &id) {
  const auto it = answer.Avoided.find(id);
  return it != answer.Avoided.end() && at < it->second.Until;
}

/// Without the backoff, an answer whose engines all fail would use up its
/// attempts within milliseconds, before another engine is listed.
void RecoveryPlan::avoid(Instant at, Answer &answer, const UpstreamId &id) {
  RetryBackoff &entry = answer.Avoided[id];
  entry.BackoffDelay = std::max(InitialRetryBackoff, entry.BackoffDelay * 2);
  entry.Until = at + entry.BackoffDelay;
}

std::uint32_t RecoveryPlan::freeCapacity() const {
  std::uint32_t n = 0;
  for (const auto &[id, upstream] : Upstreams)
    if (hasCapacity(upstream))
      n += upstream.Capacity - upstream.Load;
  return n;
}

/// Reclaims often hit whole zones: other engines of the zone may be next.
bool RecoveryPlan::isZoneAtRisk(const ZoneId &zone) const {
  return std::any_of(
      Upstreams.begin(), Upstreams.end(), [&zone](const auto &entry) {
        return entry.second.LeavesAt && entry.second.Zone == zone;
      });
}

/// When the answer's engine leaves; the epoch if the answer has none.
Instant RecoveryPlan::leavesAt(const Answer &answer) const {
  auto it = Upstreams.find(answer.At);
  if (it == Upstreams.end() || it->second.IsGone)
    return Instant{};
  return it->second.LeavesAt.value_or(Instant::max());
}

Duration RecoveryPlan::moveTime(const Answer &answer) const {
  return fromSeconds(static_cast<double>(context(answer)) *
                     Settings.CacheBytesPerToken / Settings.MoveBytesPerSecond);
}

bool RecoveryPlan::finishesInPlace(Instant at, const Answer &answer) const {
  const auto expected = static_cast<double>(answer.Open.ExpectedLength);
  const double remaining =
      std::max(expected - static_cast<double>(answer.Open.TokensSoFar),
               expected * OutgrownRemainder);
  const Duration needed = fromSeconds(remaining / Settings.TokensPerSecond *
                                      Settings.FinishTimeFactor);
  return at + needed + Settings.Margin <= leavesAt(answer);
}

bool RecoveryPlan::isMovable(const Answer &answer) const {
  return !answer.At.empty() && !answer.HasMoveFailed &&
         Settings.MovesPerSource > 0 && Settings.MovesTogether > 0;
}

void RecoveryPlan::enter(Answer &answer, const UpstreamId &id) {
  answer.At = id;
  ++Upstreams[id].Load;
}

void RecoveryPlan::leave(Answer &answer) {
  if (answer.At.empty())
    return;
  --Upstreams[answer.At].Load;
  answer.At = UpstreamId();
}

void RecoveryPlan::releaseTarget(Answer &answer) {
  if (answer.To.empty())
    return;
  --Upstreams[answer.To].Load;
  answer.To = UpstreamId();
}

void RecoveryPlan::endPrefill(Answer &answer) {
  if (answer.CurrentPhase == Phase::Resuming)
    --Upstreams[answer.At].Prefills;
}

void RecoveryPlan::requeue(Answer &answer) {
  endPrefill(answer);
  releaseTarget(answer);
  answer.CurrentPhase = Phase::Waiting;
}

void RecoveryPlan::verifyTarget(const UpstreamId &id) const {
  const Upstream &upstream = Upstreams.at(id);
  verifyInvariant(!upstream.IsGone && !upstream.LeavesAt,
                  "recovery-avoids-leaving-upstreams",
                  "an answer was assigned to a leaving upstream");
  verifyInvariant(upstream.Load < upstream.Capacity,
                  "recovery-keeps-to-capacity",
                  "an answer was assigned to a full upstream");
}

RecoveryActions RecoveryPlan::plan(Instant at, RecoveryActions actions) {
  queueAtRiskAnswers(at);
  std::uint32_t reservedCapacity = 0;
  const Candidates rest = planMoves(at, reservedCapacity, actions);
  planResumptions(at, rest, reservedCapacity, actions);
  return actions;
}

void RecoveryPlan::queueAtRiskAnswers(Instant at) {
  for (auto &[request, answer] : Answers)
    if (answer.CurrentPhase == Phase::Steady && isLeaving(answer.At) &&
        !finishesInPlace(at, answer))
      answer.CurrentPhase = Phase::Waiting;
}

/// The waiting answers, ordered by the time at which their engines leave. Ties
/// are ordered by the share of tokens that moving the cache saves, then by
/// context length, largest first.
RecoveryPlan::Candidates RecoveryPlan::waitingAnswers() {
  struct Ranked {
    Instant LeavesAt;
    double Saved;
    std::uint64_t Context;
    Answer *Entry;
  };
  std::vector<Ranked> ranked;
  for (auto &[request, answer] : Answers) {
    if (answer.CurrentPhase != Phase::Waiting)
      continue;
    const std::uint64_t whole = context(answer);
    const double saved = static_cast<double>(leastRecomputed(answer)) /
                         static_cast<double>(std::max<std::uint64_t>(whole, 1));
    ranked.push_back({leavesAt(answer), saved, whole, &answer});
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const Ranked &a, const Ranked &b) {
                     return std::tie(a.LeavesAt, b.Saved, b.Context) <
                            std::tie(b.LeavesAt, a.Saved, a.Context);
                   });
  Candidates candidates;
  for (const Ranked &it : ranked)
    candidates.push_back(it.Entry);
  return candidates;
}

RecoveryPlan::MoveSlots RecoveryPlan::moveSlots(Instant at) const {
  MoveSlots slots;
  slots.Overall.assign(Settings.MovesTogether, at);
  for (const auto &[id, upstream] : Upstreams)
    slots.BySource[id].assign(Settings.MovesPerSource, at);
  auto occupy = [](std::vector<Instant> &free, Instant until) {
    auto earliest = std::min_element(free.begin(), free.end());
    *earliest = std::max(*earliest, until);
  };
  for (const auto &[request, answer] : Answers) {
    if (answer.CurrentPhase != Phase::Moving)
      continue;
    // A move that takes longer than estimated still occupies its slot.
    const Instant until = std::max(answer.MoveEnds, at + milliseconds(1));
    occupy(slots.Overall, until);
    occupy(slots.BySource[answer.At], until);
  }
  return slots;
}

/// Starts the moves for which a slot is free and counts the capacity to reserve
/// for later ones. Returns the answers that cannot be moved in time.
RecoveryPlan::Candidates
RecoveryPlan::planMoves(Instant at, std::uint32_t &reservedCapacity,
                        RecoveryActions &actions) {
  Candidates rest;
  MoveSlots slots = moveSlots(at);
  for (Answer *answer : waitingAnswers()) {
    if (!isMovable(*answer)) {
      rest.push_back(answer);
      continue;
    }
    auto &bySource = slots.BySource[answer->At];
    auto overall = std::min_element(slots.Overall.begin(), slots.Overall.end());
    auto source = std::min_element(bySource.begin(), bySource.end());
    const Instant begin = std::max(*overall, *source);
    const Instant end = begin + moveTime(*answer);
    if (end + Settings.Margin > leavesAt(*answer)) {
      rest.push_back(answer);
      continue;
    }
    *overall = *source = end;
    const UpstreamId *to = begin <= at ? moveTarget() : nullptr;
    if (to)
      startMove(at, *answer, *to, actions);
    else
      ++reservedCapacity;
  }
  return rest;
}

/// Whether the answer may stay on its engine for now. It generates more tokens
/// there and may even finish, and later resumptions are spread out more.
bool RecoveryPlan::mayStay(Instant at, const Answer &answer,
                           Duration backlog) const {
  return !answer.At.empty() &&
         at + backlog + Settings.Margin < leavesAt(answer);
}

void RecoveryPlan::planResumptions(Instant at, const Candidates &candidates,
                                   std::uint32_t reservedCapacity,
                                   RecoveryActions &actions) {
  std::uint32_t engines = 0;
  for (const auto &[id, upstream] : Upstreams)
    engines += hasCapacity(upstream) ? 1 : 0;
  if (engines == 0)
    return;
  double tokens = 0;
  for (const Answer *it : candidates)
    tokens += static_cast<double>(leastRecomputed(*it));
  const Duration backlog = fromSeconds(
      PrefillTimeFactor * tokens / (engines * Settings.PrefillTokensPerSecond));
  for (Answer *answer : candidates) {
    if (mayStay(at, *answer, backlog))
      continue;
    // Leave the capacity that later moves need, unless no engine serves this
    // answer.
    if (!answer->At.empty() && freeCapacity() <= reservedCapacity)
      continue;
    if (const UpstreamId *to = resumptionTarget(at, *answer))
      startResumption(*answer, *to, recomputedAt(*answer, *to), actions);
  }
}

const UpstreamId *RecoveryPlan::moveTarget() const {
  const UpstreamId *best = nullptr;
  std::tuple<bool, double> bestRank;
  for (const auto &[id, upstream] : Upstreams) {
    if (!hasCapacity(upstream))
      continue;
    const std::tuple<bool, double> rank(isZoneAtRisk(upstream.Zone),
                                        static_cast<double>(upstream.Load) /
                                            upstream.Capacity);
    if (!best || rank < bestRank) {
      best = &id;
      bestRank = rank;
    }
  }
  return best;
}

const UpstreamId *RecoveryPlan::resumptionTarget(Instant at,
                                                 const Answer &answer) const {
  const UpstreamId *best = nullptr;
  std::tuple<bool, std::uint64_t, double> bestRank;
  for (const auto &[id, upstream] : Upstreams) {
    if (!hasCapacity(upstream) || avoids(at, answer, id) ||
        upstream.Prefills >= Settings.PrefillsTogether)
      continue;
    const std::tuple<bool, std::uint64_t, double> rank(
        isZoneAtRisk(upstream.Zone), recomputedAt(answer, id),
        static_cast<double>(upstream.Load) / upstream.Capacity);
    if (!best || rank < bestRank) {
      best = &id;
      bestRank = rank;
    }
  }
  return best;
}

void RecoveryPlan::startMove(Instant at, Answer &answer, const UpstreamId &to,
                             RecoveryActions &actions) {
  verifyTarget(to);
  answer.To = to;
  ++Upstreams[to].Load;
  answer.CurrentPhase = Phase::Moving;
  answer.MoveEnds = at + moveTime(answer);
  actions.Moves.push_back({answer.Open.Request, answer.At, to});
}

void RecoveryPlan::startResumption(Answer &answer, const UpstreamId &to,
                                   std::uint64_t recomputed,
                                   RecoveryActions &actions) {
  verifyTarget(to);
  leave(answer);
  enter(answer, to);
  ++Upstreams[to].Prefills;
  answer.CurrentPhase = Phase::Resuming;
  actions.Resumes.push_back({answer.Open.Request, to, recomputed});
}

} // namespace sorrelbay
