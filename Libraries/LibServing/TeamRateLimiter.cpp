#include "LibServing/TeamRateLimiter.h"
#include <algorithm>
#include <cmath>
#include <vector>

namespace sorrelbay {

/// The weight of a peer's old pace when a report updates it.
static constexpr double PaceRetention = 0.6;
/// How long a silent peer's pace is extrapolated: the peer may be unreachable
/// and still admit calls.
static constexpr Duration MaxExtrapolation = seconds(2);
/// How the fraction of admitted calls changes per time step after the bucket
/// was empty, and the level, in seconds of the rate, from which it grows
/// faster.
static constexpr Duration AdmissionStep = milliseconds(250);
static constexpr Duration MaxAdmissionStep = seconds(1);
static constexpr double ShrinkByStep = 0.8;
static constexpr double GrowthByStep = 0.04;
static constexpr double CalmGrowthByStep = 0.25;
static constexpr double CalmSeconds = 0.5;
static constexpr double MinAdmittedFraction = 0.02;
/// Seconds of the rate that are reserved for small calls; the smaller the call,
/// the more of them it may use.
static constexpr double SmallCallReserveSeconds = 0.3;
/// A call that takes at least this many seconds of the rate is not small.
static constexpr double SmallCallSeconds = 0.01;
/// Reports that arrive closer together than this were delayed on the way or at
/// this host: their counters are right, but the interval between them is not
/// the time in which the units were admitted.
static constexpr Duration MinPaceSpan = milliseconds(100);
/// After a silence of BacklogSilence, delayed reports may arrive for another
/// BacklogDrainTime; their total was admitted over the whole time.
static constexpr Duration BacklogSilence = milliseconds(700);
static constexpr Duration BacklogDrainTime = milliseconds(500);
/// A team's debt is limited to what its rate gives in this time plus its burst.
/// Refusing calls for longer would not make up for anything, since no window of
/// the allotment reaches back further.
static constexpr Duration MaxDebt = seconds(8);
/// The fraction of the difference by which a level moves towards its peers' at
/// each step. Downwards it is larger, because a host with too high a level
/// overdraws the allotment. Upwards it is small, because peers' levels are one
/// report old and too high while levels fall.
static constexpr double DownwardStep = 0.3;
static constexpr double UpwardStep = 0.04;
/// The same while classes of calls differ. Peers' levels are also too
/// low while levels rise: with the larger step, a bucket that was overdrawn
/// rose at a fraction of the rate and stayed empty for seconds.
static constexpr double OrderedDownwardStep = 0.15;
static constexpr double OrderedUpwardStep = 0.08;
/// Peers' levels older than this are ignored.
static constexpr Duration MaxLevelAge = seconds(1);
/// For this long after its first use, a host that admitted calls before it
/// received reports of older peers lowers its level to theirs.
static constexpr Duration StartupWindow = milliseconds(1500);
/// If a new aggregator reports no pace, the growth of its sum since the
/// previous one's last report is limited to this factor times the last known
/// pace.
static constexpr double GapPaceFactor = 3;
/// The longest time between two aggregators for which a sum's growth is
/// estimated.
static constexpr Duration MaxReporterGap = seconds(5);

/// Handles the first report of another process.
void TeamRateLimiter::beginIncarnation(Peer &peer, const PeerUsage &use,
                                       Instant now) {
  const bool isFirst = peer.Incarnation.empty();
  peer.Incarnation = use.Incarnation;
  if (use.IsSum && !isFirst) {
    // Two aggregators may have started to count at different times, so the
    // difference between their sums means little. The new aggregator has
    // measured the pace of its sum, including changes after the previous one's
    // last report.
    const double gap =
        toSeconds(std::min<Duration>(now - peer.ReportedAt, MaxReporterGap));
    const auto estimatedGrowth = static_cast<UsedUnits>(
        use.Pace.value_or(GapPaceFactor * peer.Pace) * gap);
    const UsedUnits from = use.IsOlder
                               ? std::max(peer.Used, use.Used - estimatedGrowth)
                               : peer.Used;
    peer.Used =
        use.Pace ? use.Used - estimatedGrowth : std::min(use.Used, from);
    return;
  }
  // What a new process reports was admitted by it; the units of the previous
  // process have already been charged.
  peer.Used = use.IsOlder ? use.Used : 0;
  peer.ReportedAt = now;
  peer.PacedAt = now;
  peer.UnitsSincePace = 0;
  peer.ChargedAhead = 0;
  peer.ChargedAheadUntil = now;
  if (!use.IsOlder || !use.Level)
    return;
  if (!IsFilled)
    ReportedLevel = std::min(*use.Level, ReportedLevel.value_or(*use.Level));
  else if (now - FirstUseAt < StartupWindow)
    Level = std::min(Level, *use.Level);
}

void TeamRateLimiter::notePeer(const SourceId &peer, const PeerUsage &use,
                               Instant now) {
  if (RefilledAt == Instant{})
    RefilledAt = FirstUseAt = now;
  Peer &it = Peers[peer];
  if (it.Incarnation != use.Incarnation)
    beginIncarnation(it, use, now);
  const auto newUnits = static_cast<double>(use.Used - it.Used);
  updatePace(it, newUnits, use.IsSum, now);
  it.Used = use.Used;
  it.Level = use.Level;
  Level -= newUnits - it.ChargedAhead;
  it.ChargedAhead = 0;
  it.ChargedAheadUntil = now;
  clampOwnLevel();
}

/// A sum's pace is updated on every report: it covers many hosts, and while it
/// lags behind, all hosts admit too much.
void TeamRateLimiter::updatePace(Peer &peer, double newUnits, bool isSum,
                                 Instant now) {
  if (now - peer.ReportedAt > BacklogSilence)
    peer.BacklogUntil = now + BacklogDrainTime;
  peer.UnitsSincePace += std::max(0.0, newUnits);
  peer.ReportedAt = now;
  const bool isTrusted =
      now >= peer.BacklogUntil && now - peer.PacedAt >= MinPaceSpan;
  if (isSum ? now <= peer.PacedAt : !isTrusted)
    return;
  const double span = toSeconds(now - peer.PacedAt);
  peer.Pace = PaceRetention * peer.Pace +
              (1 - PaceRetention) * peer.UnitsSincePace / span;
  peer.PacedAt = now;
  peer.UnitsSincePace = 0;
}

/// Limits a level to the possible range. A value outside of it is an error, and
/// reported to peers it would make all hosts refuse the team's calls.
double TeamRateLimiter::clampLevel(double level) const {
  const double least = -toSeconds(MaxDebt) * static_cast<double>(Rate) -
                       static_cast<double>(Burst);
  return std::clamp(level, least, static_cast<double>(Burst));
}

void TeamRateLimiter::clampOwnLevel() {
  if (IsFilled && Rate > 0)
    Level = clampLevel(Level);
}

void TeamRateLimiter::forgetPeer(const SourceId &peer) {
  const auto it = Peers.find(peer);
  if (it != Peers.end())
    it->second.Pace = 0;
}

void TeamRateLimiter::converge(Instant now) {
  if (!IsFilled || Rate <= 0)
    return;
  refill(Rate, Burst, now);
  std::vector<double> peerLevels;
  for (const auto &[name, it] : Peers)
    if (it.Level && now - it.ReportedAt <= MaxLevelAge)
      peerLevels.push_back(clampLevel(*it.Level));
  if (peerLevels.empty())
    return;
  // Of two middle levels the lower counts: a zone that stands above the others
  // must not confirm itself.
  const auto middle =
      peerLevels.begin() + static_cast<long>((peerLevels.size() - 1) / 2);
  std::nth_element(peerLevels.begin(), middle, peerLevels.end());
  const double downward = IsOrdered ? OrderedDownwardStep : DownwardStep;
  const double upward = IsOrdered ? OrderedUpwardStep : UpwardStep;
  const double part = *middle < Level ? downward : upward;
  Level += part * (*middle - Level);
}

void TeamRateLimiter::refill(std::int64_t rate, std::int64_t burst,
                             Instant now) {
  const auto most = static_cast<double>(burst);
  if (!IsFilled) {
    // Peers may have admitted calls long before the first one arrives here;
    // what the bucket gained since then counts as well as what they took.
    IsFilled = true;
    if (RefilledAt == Instant{})
      RefilledAt = FirstUseAt = now;
    Level += most;
    if (ReportedLevel)
      Level = std::min(Level, *ReportedLevel);
  }
  Level += toSeconds(now - RefilledAt) * static_cast<double>(rate);
  RefilledAt = now;
  for (auto &[name, it] : Peers) {
    const Instant until = std::min(now, it.ReportedAt + MaxExtrapolation);
    if (until <= it.ChargedAheadUntil)
      continue;
    const double pace = std::min(it.Pace, most + static_cast<double>(rate));
    const double extrapolated = toSeconds(until - it.ChargedAheadUntil) * pace;
    it.ChargedAheadUntil = until;
    it.ChargedAhead += extrapolated;
    Level -= extrapolated;
  }
  clampOwnLevel();
}

/// The lowest level at which a call of this size is admitted. Large prompts
/// exhaust an allotment at once, and a booking that takes as much as a single
/// word of a prompt would be refused because of them; what small calls take in
/// addition is soon refilled.
static double leastLevelFor(std::int64_t units, std::int64_t rate) {
  const auto perSecond = static_cast<double>(rate);
  const double size =
      static_cast<double>(units) / (SmallCallSeconds * perSecond);
  return -SmallCallReserveSeconds * perSecond * std::max(0.0, 1 - size);
}

/// Reports reach other hosts a fraction of a second late. If all hosts resumed
/// at the moment when the bucket is no longer empty, a team that requests
/// several times its allotment would overdraw it by as much again before the
/// first report. So after the bucket was empty only a fraction of the calls is
/// admitted, which shrinks while it is empty and grows slowly while it isn't.
/// A less urgent class has a fraction of its own, which follows the level that
/// the class requires, so that the least urgent class is limited first.
void TeamRateLimiter::updateAdmittedFractions(const AllotmentReserve &reserve,
                                              Instant now) {
  const Duration span = std::min(now - FractionsUpdatedAt, MaxAdmissionStep);
  FractionsUpdatedAt = now;
  const double steps = toSeconds(span) / toSeconds(AdmissionStep);
  // The number of classes changes with the plan.
  const int count = reserve.callClass().Count;
  Fractions.resize(static_cast<std::size_t>(count), Fractions.back());
  double &first = Fractions.front().Value;
  if (Level <= 0)
    first =
        std::max(MinAdmittedFraction, first * std::pow(ShrinkByStep, steps));
  else if (Level >= CalmSeconds * static_cast<double>(Rate))
    first += CalmGrowthByStep * steps;
  else
    first += GrowthByStep * steps;
  first = std::min(1.0, first);
  if (count == 1)
    return;
  const BucketState bucket{Level, peerPace(now), Rate, Burst};
  for (int rank = 1; rank < count; ++rank) {
    double &fraction = Fractions[static_cast<std::size_t>(rank)].Value;
    fraction = reserve.nextFraction(fraction, rank, bucket, steps);
  }
}

double TeamRateLimiter::peerPace(Instant now) const {
  double pace = 0;
  for (const auto &[name, it] : Peers)
    if (now - it.ReportedAt < MaxExtrapolation)
      pace += it.Pace;
  return pace;
}

double TeamRateLimiter::requiredLevel(std::int64_t units, std::int64_t rate,
                                      std::int64_t burst,
                                      const AllotmentReserve &reserve) {
  const double leastIfSmall = leastLevelFor(units, rate);
  if (leastIfSmall < 0)
    return leastIfSmall;
  return reserve.requiredLevel(reserve.callClass().Rank, rate, burst);
}

/// Spreads the admitted fraction evenly over the calls of a class.
bool TeamRateLimiter::isAdmittedByFraction(int rank) {
  AdmittedFraction &fraction = Fractions[static_cast<std::size_t>(rank)];
  fraction.Credit += fraction.Value;
  if (fraction.Credit < 1)
    return false;
  fraction.Credit -= 1;
  return true;
}

bool TeamRateLimiter::take(std::int64_t units, std::int64_t rate,
                           std::int64_t burst, Instant now,
                           const AllotmentReserve &reserve) {
  if (rate <= 0) {
    OwnUsed += units;
    return true;
  }
  Rate = rate;
  Burst = burst;
  refill(rate, burst, now);
  IsOrdered = reserve.isInForce();
  updateAdmittedFractions(reserve, now);
  const double least = requiredLevel(units, rate, burst, reserve);
  if (Level <= least)
    return false;
  // Small calls are exempt: their units are too few to overshoot.
  if (least >= 0 && !isAdmittedByFraction(reserve.callClass().Rank))
    return false;
  Level -= static_cast<double>(units);
  OwnUsed += units;
  return true;
}

void TeamRateLimiter::giveBack(std::int64_t units) {
  Level += static_cast<double>(units);
  OwnUsed -= units;
}

Duration TeamRateLimiter::wait(std::int64_t rate, double requiredLevel) const {
  if (Level > requiredLevel || rate <= 0)
    return Duration::zero();
  return fromSeconds((requiredLevel - Level) / static_cast<double>(rate));
}

} // namespace sorrelbay
