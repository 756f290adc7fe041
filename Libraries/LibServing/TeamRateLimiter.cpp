#include "LibServing/TeamRateLimiter.h"
#include <algorithm>
#include <cmath>
#include <vector>

namespace sorrelbay {

/// How much of its old pace a peer is believed to keep with each report.
static constexpr double PaceMemory = 0.6;
/// A silent peer's pace is counted on for so long: it may be cut off and still
/// let calls in.
static constexpr Duration LongestAhead = seconds(2);
/// How the part that is let in after the bucket was empty changes by each step
/// of time, and when the bucket counts as full enough for it to grow fast.
static constexpr Duration PaceStep = milliseconds(250);
static constexpr Duration LongestPaceStep = seconds(1);
static constexpr double ShrinkByStep = 0.8;
static constexpr double GrowthByStep = 0.04;
static constexpr double CalmGrowthByStep = 0.25;
static constexpr double CalmSeconds = 0.5;
static constexpr double LeastPart = 0.02;
/// Seconds of the rate that are kept for small calls, the more the smaller.
static constexpr double KeptSeconds = 0.3;
/// A call that takes so many seconds of the rate is not small.
static constexpr double SmallCallSeconds = 0.01;
/// Reports that come closer together than that were held up on the way, or the
/// host was: what they add up to is true, but the span between them is not the
/// time in which it was let in.
static constexpr Duration ShortestPaceSpan = milliseconds(100);
/// After a silence of that length reports that were held up may still be coming
/// in for so long; what all of them add up to was let in over the whole time.
static constexpr Duration Silence = milliseconds(700);
static constexpr Duration CatchUp = milliseconds(500);
/// A team is never charged with more than its allotment gives in so long:
/// refusing its calls for longer makes up for nothing that any span of its
/// allotment still holds.
static constexpr Duration LongestDebt = seconds(8);
/// How far a host's level moves towards its peers' with each step. Downwards
/// more: hosts that believe too much overdraw the allotment. Upwards little:
/// peers' levels are a report old, and while all fall they are higher than what
/// is left now.
static constexpr double DownByStep = 0.3;
static constexpr double UpByStep = 0.04;
/// Levels that were told longer ago say nothing of now.
static constexpr Duration LevelMemory = seconds(1);
/// A host that let calls in before it had heard of those that were there before
/// it believes them for so long.
static constexpr Duration BeginTime = milliseconds(1500);
/// How much more than by its pace a sum may have grown between two aggregators.
static constexpr double LikelyGrowth = 3;
/// A sum is believed to have gone on between two aggregators for so long.
static constexpr Duration LongestGap = seconds(5);

/// Another process tells from now on.
void TeamRateLimiter::begin(Peer &peer, const PeerUsage &use, Instant now) {
  const bool isFirst = peer.Incarnation.empty();
  peer.Incarnation = use.Incarnation;
  if (use.IsSum && !isFirst) {
    // Two aggregators may have begun to count at different times, so that the
    // difference of their sums says little. The new one knows how fast its sum
    // grew, also where that changed after the last report of the old one.
    const double gap =
        toSeconds(std::min<Duration>(now - peer.ReportedAt, LongestGap));
    const auto likely = static_cast<UsedUnits>(
        use.Pace.value_or(LikelyGrowth * peer.Pace) * gap);
    const UsedUnits from =
        use.IsOlder ? std::max(peer.Used, use.Used - likely) : peer.Used;
    peer.Used = use.Pace ? use.Used - likely : std::min(use.Used, from);
    return;
  }
  // A new process has let in what it reports; the old one's are counted.
  peer.Used = use.IsOlder ? use.Used : 0;
  peer.ReportedAt = now;
  peer.PacedAt = now;
  peer.Unpaced = 0;
  peer.Ahead = 0;
  peer.AheadAt = now;
  if (!use.IsOlder || !use.Level)
    return;
  if (!IsFilled)
    ReportedLevel = std::min(*use.Level, ReportedLevel.value_or(*use.Level));
  else if (now - FirstAt < BeginTime)
    Level = std::min(Level, *use.Level);
}

void TeamRateLimiter::notePeer(const SourceId &peer, const PeerUsage &use,
                               Instant now) {
  if (FilledAt == Instant{})
    FilledAt = FirstAt = now;
  Peer &it = Peers[peer];
  if (it.Incarnation != use.Incarnation)
    begin(it, use, now);
  const auto fresh = static_cast<double>(use.Used - it.Used);
  learnPace(it, fresh, use.IsSum, now);
  it.Used = use.Used;
  it.Level = use.Level;
  Level -= fresh - it.Ahead;
  it.Ahead = 0;
  it.AheadAt = now;
  keepInRange();
}

/// A sum's pace is taken at once: it stands for many hosts, and each report
/// that it lags behind lets all of them go on for as long.
void TeamRateLimiter::learnPace(Peer &peer, double fresh, bool isSum,
                                Instant now) {
  if (now - peer.ReportedAt > Silence)
    peer.CaughtUpAt = now + CatchUp;
  peer.Unpaced += std::max(0.0, fresh);
  peer.ReportedAt = now;
  const bool isTrusted =
      now >= peer.CaughtUpAt && now - peer.PacedAt >= ShortestPaceSpan;
  if (isSum ? now <= peer.PacedAt : !isTrusted)
    return;
  const double span = toSeconds(now - peer.PacedAt);
  peer.Pace = PaceMemory * peer.Pace + (1 - PaceMemory) * peer.Unpaced / span;
  peer.PacedAt = now;
  peer.Unpaced = 0;
}

/// What a level can be at the least and at the most. A figure beyond it comes
/// from a mistake, and told to peers it would turn the team away everywhere.
double TeamRateLimiter::inRange(double level) const {
  const double least = -toSeconds(LongestDebt) * static_cast<double>(Rate) -
                       static_cast<double>(Burst);
  return std::clamp(level, least, static_cast<double>(Burst));
}

void TeamRateLimiter::keepInRange() {
  if (IsFilled && Rate > 0)
    Level = inRange(Level);
}

void TeamRateLimiter::forgetPeer(const SourceId &peer) {
  const auto it = Peers.find(peer);
  if (it != Peers.end())
    it->second.Pace = 0;
}

void TeamRateLimiter::agree(Instant now) {
  if (!IsFilled || Rate <= 0)
    return;
  fill(Rate, Burst, now);
  std::vector<double> told;
  for (const auto &[name, it] : Peers)
    if (it.Level && now - it.ReportedAt <= LevelMemory)
      told.push_back(inRange(*it.Level));
  if (told.empty())
    return;
  const auto middle = told.begin() + static_cast<long>(told.size() / 2);
  std::nth_element(told.begin(), middle, told.end());
  const double part = *middle < Level ? DownByStep : UpByStep;
  Level += part * (*middle - Level);
}

void TeamRateLimiter::fill(std::int64_t rate, std::int64_t burst, Instant now) {
  const auto most = static_cast<double>(burst);
  if (!IsFilled) {
    // Peers may have been letting calls in for long before the first one comes
    // here; what the bucket gained meanwhile counts as well as what they took.
    IsFilled = true;
    if (FilledAt == Instant{})
      FilledAt = FirstAt = now;
    Level += most;
    if (ReportedLevel)
      Level = std::min(Level, *ReportedLevel);
  }
  Level += toSeconds(now - FilledAt) * static_cast<double>(rate);
  FilledAt = now;
  for (auto &[name, it] : Peers) {
    const Instant until = std::min(now, it.ReportedAt + LongestAhead);
    if (until <= it.AheadAt)
      continue;
    const double pace = std::min(it.Pace, most + static_cast<double>(rate));
    const double ahead = toSeconds(until - it.AheadAt) * pace;
    it.AheadAt = until;
    it.Ahead += ahead;
    Level -= ahead;
  }
  keepInRange();
}

/// How far below zero the bucket may be for a call of that size. Large prompts
/// use an allotment up at once, and a booking that takes as much as one word of
/// them would be refused for their sake; what small calls take besides is soon
/// in again.
static double leastLevelFor(std::int64_t units, std::int64_t rate) {
  const auto perSecond = static_cast<double>(rate);
  const double size =
      static_cast<double>(units) / (SmallCallSeconds * perSecond);
  return -KeptSeconds * perSecond * std::max(0.0, 1 - size);
}

/// Hosts hear of each other a fraction of a second late. Were all of them to
/// open at the moment at which the bucket holds something again, a team that
/// asks for several times its allotment would overdraw it by as much again
/// before the first report. So after the bucket was empty only a part is let
/// in, which shrinks while it is empty and grows slowly while it isn't.
void TeamRateLimiter::pace(std::int64_t rate, Instant now) {
  const Duration span = std::min(now - PacedAt, LongestPaceStep);
  PacedAt = now;
  const double steps = toSeconds(span) / toSeconds(PaceStep);
  if (Level <= 0)
    Part = std::max(LeastPart, Part * std::pow(ShrinkByStep, steps));
  else if (Level >= CalmSeconds * static_cast<double>(rate))
    Part += CalmGrowthByStep * steps;
  else
    Part += GrowthByStep * steps;
  Part = std::min(1.0, Part);
}

/// Spreads the part evenly over calls.
bool TeamRateLimiter::isThinnedIn() {
  Credit += Part;
  if (Credit < 1)
    return false;
  Credit -= 1;
  return true;
}

bool TeamRateLimiter::take(std::int64_t units, std::int64_t rate,
                           std::int64_t burst, Instant now) {
  if (rate <= 0) {
    OwnUsed += units;
    return true;
  }
  Rate = rate;
  Burst = burst;
  fill(rate, burst, now);
  pace(rate, now);
  const double least = leastLevelFor(units, rate);
  if (Level <= least)
    return false;
  // Small calls weigh too little to overshoot.
  if (least == 0 && !isThinnedIn())
    return false;
  Level -= static_cast<double>(units);
  OwnUsed += units;
  return true;
}

void TeamRateLimiter::giveBack(std::int64_t units) {
  Level += static_cast<double>(units);
  OwnUsed -= units;
}

Duration TeamRateLimiter::wait(std::int64_t rate) const {
  if (Level > 0 || rate <= 0)
    return Duration::zero();
  return fromSeconds(-Level / static_cast<double>(rate));
}

} // namespace sorrelbay
