#include "LibServing/UpstreamRejectionLimit.h"
#include "LibServing/RendezvousRank.h"
#include <algorithm>

namespace sorrelbay {

/// The part of an upstream's slots, and of the rejections that it bears, that
/// all hosts together use: calls of hosts that are not known, and calls that
/// have ended here but not there, take some too.
static constexpr double UsedSlots = 0.9;
static constexpr double UsedRejections = 0.7;
/// The span in which rejections are counted. The upstream counts them by the
/// second; they arrive here at other intervals.
static constexpr Duration Window = milliseconds(1200);
/// An upstream without room rejects a call within this time.
static constexpr Duration RejectionTime = milliseconds(150);
/// The number of hosts that a host assumes if it does not know them.
static constexpr int AssumedHosts = 16;
/// Slots that other hosts seem not to use are used up to this part of all.
static constexpr double FreeSlots = 0.6;
/// The wait until one of the open calls may have ended.
static constexpr Duration OpenCallsWait = milliseconds(300);

int shareOfUnits(const UpstreamId &upstream, const SendingHosts &hosts,
                 int units) {
  const auto rank = rendezvousRank(upstream, hosts.Self, hosts.All);
  if (!rank)
    return 0;
  const int count = static_cast<int>(hosts.All.size());
  const bool hasRest = static_cast<int>(*rank) < units % count;
  return units / count + (hasRest ? 1 : 0);
}

RejectionShare rejectionShare(const UpstreamId &upstream,
                              const SendingHosts &hosts, int slots,
                              double perSecond) {
  const int usedSlots =
      std::max(1, static_cast<int>(UsedSlots * static_cast<double>(slots)));
  if (hosts.AreOthersUnknown)
    return {std::max(1, usedSlots / AssumedHosts), 0};
  const int usedRejections =
      static_cast<int>(UsedRejections * std::min(perSecond, 1e6));
  return {shareOfUnits(upstream, hosts, usedSlots),
          shareOfUnits(upstream, hosts, usedRejections)};
}

void RejectionLimiter::forgetOld(Instant now) {
  while (!Rejected.empty() && now - Rejected.front() >= Window)
    Rejected.pop_front();
  while (!Sent.empty() && now - Sent.front() >= RejectionTime)
    Sent.pop_front();
}

bool RejectionLimiter::hasCapacity(const RejectionShare &share,
                                   const UpstreamRoom &room, Instant now) {
  forgetOld(now);
  const int rejected = static_cast<int>(Rejected.size());
  // Even the calls that this host's slots allow have met a full upstream.
  if (rejected >= std::max(1, share.Rejections))
    return false;
  if (room.OwnCalls < share.Slots)
    return true;
  const bool isMostlyFree =
      room.OwnCalls + room.PeerCalls < FreeSlots * room.Slots;
  return isMostlyFree &&
         static_cast<int>(Sent.size()) + rejected < share.Rejections;
}

Duration RejectionLimiter::wait(const RejectionShare &share,
                                const UpstreamRoom &room, Instant now) {
  if (hasCapacity(share, room, now))
    return Duration::zero();
  if (!Rejected.empty())
    return Window - (now - Rejected.front());
  return Sent.empty() ? OpenCallsWait : RejectionTime - (now - Sent.front());
}

void RejectionLimiter::noteSent(Instant now) { Sent.push_back(now); }

void RejectionLimiter::noteRejected(Instant now) {
  forgetOld(now);
  if (!Sent.empty())
    Sent.pop_front();
  Rejected.push_back(now);
}

} // namespace sorrelbay
