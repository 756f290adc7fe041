#include "LibServing/TeamMeter.h"
#include <algorithm>

namespace sorrelbay {

/// How much of its old pace a peer is believed to keep with each report.
static constexpr double PaceMemory = 0.6;
/// A silent peer's pace is counted on for so long: it may be cut off and still
/// let calls in.
static constexpr Duration LongestAhead = seconds(2);
/// Seconds of the rate that are kept for small calls, the more the smaller.
static constexpr double KeptSeconds = 0.3;
/// A call that takes so many seconds of the rate is not small.
static constexpr double SmallCallSeconds = 0.01;
/// How much more than by its pace a sum may have grown between two speakers.
static constexpr double LikelyGrowth = 3;

/// Another process tells from now on.
void TeamMeter::begin(Peer &peer, const PeerUse &use, Instant now) {
  const bool isFirst = peer.Incarnation.empty();
  peer.Incarnation = use.Incarnation;
  if (use.IsSum && !isFirst) {
    // Two speakers may have begun to count at different times; more than the
    // pace of late explains was let in long ago.
    const auto likely = static_cast<UsedUnits>(
        LikelyGrowth * peer.Pace * toSeconds(now - peer.ReportedAt));
    const UsedUnits from =
        use.IsOlder ? std::max(peer.Used, use.Used - likely) : peer.Used;
    peer.Used = std::min(use.Used, from);
    return;
  }
  // A new process has let in what it reports; the old one's are counted.
  peer.Used = use.IsOlder ? use.Used : 0;
  peer.ReportedAt = now;
  peer.Ahead = 0;
  peer.AheadAt = now;
  if (use.IsOlder && use.Level && !IsFilled)
    ToldLevel = std::min(*use.Level, ToldLevel.value_or(*use.Level));
}

void TeamMeter::notePeer(const SourceId &peer, const PeerUse &use,
                         Instant now) {
  if (FilledAt == Instant{})
    FilledAt = now;
  Peer &it = Peers[peer];
  if (it.Incarnation != use.Incarnation)
    begin(it, use, now);
  const auto fresh = static_cast<double>(use.Used - it.Used);
  const double span = toSeconds(now - it.ReportedAt);
  if (span > 0) {
    it.Pace =
        PaceMemory * it.Pace + (1 - PaceMemory) * std::max(0.0, fresh) / span;
    it.ReportedAt = now;
  }
  it.Used = use.Used;
  Level -= fresh - it.Ahead;
  it.Ahead = 0;
  it.AheadAt = now;
}

void TeamMeter::forgetPeer(const SourceId &peer) {
  const auto it = Peers.find(peer);
  if (it != Peers.end())
    it->second.Pace = 0;
}

void TeamMeter::fill(std::int64_t rate, std::int64_t burst, Instant now) {
  const auto most = static_cast<double>(burst);
  if (!IsFilled) {
    // Peers may have been letting calls in for long before the first one comes
    // here; what the bucket gained meanwhile counts as well as what they took.
    IsFilled = true;
    if (FilledAt == Instant{})
      FilledAt = now;
    Level += most;
    if (ToldLevel)
      Level = std::min(Level, *ToldLevel);
  }
  Level += toSeconds(now - FilledAt) * static_cast<double>(rate);
  FilledAt = now;
  for (auto &[name, it] : Peers) {
    const Instant until = std::min(now, it.ReportedAt + LongestAhead);
    if (until <= it.AheadAt)
      continue;
    const double ahead = toSeconds(until - it.AheadAt) * it.Pace;
    it.AheadAt = until;
    it.Ahead += ahead;
    Level -= ahead;
  }
  Level = std::min(Level, most);
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

bool TeamMeter::take(std::int64_t units, std::int64_t rate, std::int64_t burst,
                     Instant now) {
  if (rate <= 0) {
    OwnUsed += units;
    return true;
  }
  fill(rate, burst, now);
  if (Level <= leastLevelFor(units, rate))
    return false;
  Level -= static_cast<double>(units);
  OwnUsed += units;
  return true;
}

void TeamMeter::giveBack(std::int64_t units) {
  Level += static_cast<double>(units);
  OwnUsed -= units;
}

Duration TeamMeter::wait(std::int64_t rate) const {
  if (Level > 0 || rate <= 0)
    return Duration::zero();
  return fromSeconds(-Level / static_cast<double>(rate));
}

} // namespace sorrelbay
