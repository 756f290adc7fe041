#include "LibServing/CallQueue.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

/// Calls that a review of all turns may look at in each millisecond, which
/// bounds its cost.
static constexpr std::size_t ReviewedCallsPerMs = 10;
static constexpr Duration MinReviewInterval = milliseconds(10);
/// A call is added only if the wait exceeds its caller's time in few cases:
/// before that, its caller can still ask another host.
static constexpr double WaitDeviations = 2;

const char *toText(WaitRefusalCause cause) {
  switch (cause) {
  case WaitRefusalCause::Full:
    return "full";
  case WaitRefusalCause::Hopeless:
    return "hopeless";
  case WaitRefusalCause::Displaced:
    return "displaced";
  case WaitRefusalCause::TimedOut:
    break;
  }
  return "timed_out";
}

CallQueue::Group CallQueue::groupOf(const WaitingCall &call) {
  return {call.Priority, call.OfTeam};
}

CallQueue::Position CallQueue::positionOf(const WaitingCall &call) {
  return {call.Deadline, call.Id};
}

/// The fair queue serves higher priorities first.
QueuedCall CallQueue::turnOf(const Group &group, std::uint64_t id) {
  QueuedCall turn;
  turn.Id = id;
  turn.OfTeam = group.OfTeam;
  turn.Priority = -group.Priority;
  return turn;
}

void CallQueue::setWeights(std::map<TeamId, int> weights) {
  Turns.setWeights(weights);
  Weights = std::move(weights);
}

Instant CallQueue::startBy(Instant deadline) const {
  return deadline - Pace.ResponseTime;
}

/// The calls that would start before this one if none arrived after it.
double CallQueue::callsAhead(const WaitingCall &call) const {
  const Group group = groupOf(call);
  const double ahead = Turns.costAhead(turnOf(group, call.Id));
  const auto own = Waiting.find(group);
  if (own == Waiting.end())
    return ahead;
  const auto behind = own->second.upper_bound(positionOf(call));
  return ahead - static_cast<double>(std::distance(behind, own->second.end()));
}

/// On average, half of the interval has passed since the last start.
Duration CallQueue::meanWait(double callsAhead) const {
  return fromSeconds(toSeconds(Pace.StartInterval) * (callsAhead + 0.5));
}

/// The deviations of independent intervals add up by their squares.
Duration CallQueue::longestWait(double callsAhead) const {
  return meanWait(callsAhead) +
         fromSeconds(WaitDeviations * toSeconds(Pace.StartDeviation) *
                     std::sqrt(callsAhead + 1));
}

/// The calls of the group, relative to its team's weight.
double CallQueue::lengthOf(const Group &group) const {
  const auto found = Waiting.find(group);
  const auto weight = Weights.find(group.OfTeam);
  const double calls =
      found == Waiting.end() ? 0 : static_cast<double>(found->second.size());
  return calls / (weight == Weights.end() ? 1 : std::max(1, weight->second));
}

/// The group of the least urgent priority that has the most calls, if an
/// arriving call is to take a position of it.
std::optional<CallQueue::Group>
CallQueue::groupToDisplace(const Group &arriving) const {
  if (Waiting.empty())
    return std::nullopt;
  Group longest = Waiting.rbegin()->first;
  for (auto it = Waiting.rbegin();
       it != Waiting.rend() && it->first.Priority == longest.Priority; ++it)
    if (lengthOf(it->first) > lengthOf(longest))
      longest = it->first;
  if (arriving.Priority < longest.Priority)
    return longest;
  const bool isShorter = arriving.Priority == longest.Priority &&
                         lengthOf(arriving) + 1 < lengthOf(longest);
  return isShorter ? std::optional(longest) : std::nullopt;
}

bool CallQueue::hasRoom(std::size_t calls, std::size_t bytes) const {
  return calls <= Limits.MaxCalls && bytes <= Limits.MaxBytes;
}

/// The call whose position the arriving call may take in a full queue.
std::optional<WaitingCall>
CallQueue::callToDisplace(const WaitingCall &arriving) const {
  const auto group = groupToDisplace(groupOf(arriving));
  if (!group)
    return std::nullopt;
  const WaitingCall &last = Calls.at(Waiting.at(*group).rbegin()->second);
  if (!hasRoom(size(), Bytes - last.Bytes + arriving.Bytes))
    return std::nullopt;
  return last;
}

std::vector<WaitRefusal> CallQueue::add(const WaitingCall &call, Instant now) {
  const Duration wait = longestWait(callsAhead(call));
  if (now + wait > startBy(call.Deadline))
    return {refusal(call, WaitRefusalCause::Hopeless)};
  std::vector<WaitRefusal> out;
  if (!hasRoom(size() + 1, Bytes + call.Bytes)) {
    const auto displaced = callToDisplace(call);
    if (!displaced)
      return {refusal(call, WaitRefusalCause::Full)};
    out.push_back(refusal(*displaced, WaitRefusalCause::Displaced));
    remove(displaced->Id);
  }
  const Group group = groupOf(call);
  Waiting[group].insert(positionOf(call));
  ByDeadline.insert(positionOf(call));
  Calls.emplace(call.Id, call);
  Bytes += call.Bytes;
  Turns.push(turnOf(group, call.Id));
  // The call may have taken the turn of one that now can't start in time.
  const std::vector<WaitRefusal> late = expire(now);
  out.insert(out.end(), late.begin(), late.end());
  return out;
}

std::optional<StartedCall> CallQueue::start(Instant now) {
  const auto turn = Turns.pop();
  if (!turn)
    return std::nullopt;
  const auto group = Waiting.find({-turn->Priority, turn->OfTeam});
  const auto found = Calls.find(group->second.begin()->second);
  const WaitingCall call = found->second;
  group->second.erase(group->second.begin());
  if (group->second.empty())
    Waiting.erase(group);
  ByDeadline.erase(positionOf(call));
  Bytes -= call.Bytes;
  Calls.erase(found);
  return StartedCall{call.Id, now - call.ArrivedAt};
}

std::vector<WaitRefusal> CallQueue::expire(Instant now) {
  std::vector<WaitRefusal> out;
  while (!ByDeadline.empty() && startBy(ByDeadline.begin()->first) < now)
    out.push_back(
        removeLate(ByDeadline.begin()->second, WaitRefusalCause::TimedOut));
  if (now < ReviewAt)
    return out;
  const auto interval =
      milliseconds(static_cast<std::int64_t>(size() / ReviewedCallsPerMs));
  ReviewAt = now + std::max<Duration>(MinReviewInterval, interval);
  for (const std::uint64_t id : hopelessCalls(now))
    out.push_back(removeLate(id, WaitRefusalCause::Hopeless));
  return out;
}

/// The calls whose turn is expected to come too late. Their places are given to
/// those behind them.
std::vector<std::uint64_t> CallQueue::hopelessCalls(Instant now) const {
  std::vector<std::uint64_t> late;
  FairQueue turns = Turns;
  std::map<Group, Positions::const_iterator> next;
  Instant startsAt = now;
  while (const auto turn = turns.pop()) {
    const Group group{-turn->Priority, turn->OfTeam};
    const auto at = next.try_emplace(group, Waiting.at(group).begin()).first;
    const Position &position = *at->second++;
    if (startsAt <= startBy(position.first))
      startsAt += Pace.StartInterval;
    else
      late.push_back(position.second);
  }
  return late;
}

std::optional<Instant> CallQueue::nextExpiry() const {
  if (ByDeadline.empty())
    return std::nullopt;
  return std::min(startBy(ByDeadline.begin()->first), ReviewAt);
}

bool CallQueue::remove(std::uint64_t id) {
  const auto found = Calls.find(id);
  if (found == Calls.end())
    return false;
  const Group group = groupOf(found->second);
  const Position position = positionOf(found->second);
  const auto own = Waiting.find(group);
  own->second.erase(position);
  if (own->second.empty())
    Waiting.erase(own);
  ByDeadline.erase(position);
  Bytes -= found->second.Bytes;
  Calls.erase(found);
  // All turns of a group are alike.
  Turns.removeLast(group.OfTeam, -group.Priority);
  return true;
}

WaitRefusal CallQueue::removeLate(std::uint64_t id, WaitRefusalCause cause) {
  const WaitingCall call = Calls.at(id);
  remove(id);
  return refusal(call, cause);
}

std::vector<WaitRefusal> CallQueue::removeAll() {
  std::vector<WaitRefusal> out;
  for (const auto &[deadline, id] : ByDeadline)
    out.push_back({id, WaitRefusalCause::Hopeless, {}});
  Waiting.clear();
  ByDeadline.clear();
  Calls.clear();
  Bytes = 0;
  Turns.removeIf([](const QueuedCall &) { return true; });
  return out;
}

/// Refuses the call until its turn would come.
WaitRefusal CallQueue::refusal(const WaitingCall &call,
                               WaitRefusalCause cause) const {
  if (Pace.StartInterval == Duration::zero())
    return {call.Id, cause, {}};
  return {call.Id, cause, meanWait(callsAhead(call) + 0.5)};
}

} // namespace sorrelbay
