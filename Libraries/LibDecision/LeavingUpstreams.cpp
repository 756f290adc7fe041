#include "LibDecision/LeavingUpstreams.h"
#include <algorithm>

namespace sorrelbay {

void LeavingUpstreams::noteLeaving(const LeavingNotice &notice) {
  Instant &goneAt = GoneAt[notice.Upstream];
  goneAt = std::max(goneAt, notice.GoneAt);
}

void LeavingUpstreams::noteStayConfirmed(const UpstreamId &upstream,
                                         Instant askedAt) {
  Instant &staysAt = StayConfirmedAt[upstream];
  staysAt = std::max(staysAt, askedAt);
}

void LeavingUpstreams::notePeerAnswered(Instant askedAt) {
  PeerAnsweredAt = std::max(PeerAnsweredAt, askedAt);
}

// After a pause, a thread that handles a call may run before the ticking thread
// does. The time since the last tick therefore counts as a gap, too.
Instant LeavingUpstreams::resumedAt(Instant now) const {
  return now - LastTick > Settings.MaxTickGap ? now : ResumedAt;
}

void LeavingUpstreams::noteTick(Instant now) {
  ResumedAt = resumedAt(now);
  LastTick = now;
  for (auto it = GoneAt.begin(); it != GoneAt.end();)
    it = it->second + Settings.RetentionAfterGone < now ? GoneAt.erase(it)
                                                        : std::next(it);
  for (auto it = StayConfirmedAt.begin(); it != StayConfirmedAt.end();)
    it = it->second + Settings.RetentionAfterGone < now
             ? StayConfirmedAt.erase(it)
             : std::next(it);
}

bool LeavingUpstreams::isLeaving(const UpstreamId &upstream,
                                 Instant now) const {
  const auto found = GoneAt.find(upstream);
  return found != GoneAt.end() &&
         now <= found->second + Settings.RetentionAfterGone;
}

bool LeavingUpstreams::isViewFresh(Instant now) const {
  const Instant resumed = resumedAt(now);
  return PeerAnsweredAt >= resumed ||
         now >= resumed + Settings.PeerAnswerTimeout;
}

NewWork LeavingUpstreams::newWorkFor(const UpstreamId &upstream,
                                     Instant now) const {
  if (isLeaving(upstream, now))
    return NewWork::Refused;
  if (!isViewFresh(now))
    return NewWork::AskPeers;
  const Instant resumed = resumedAt(now);
  const auto stays = StayConfirmedAt.find(upstream);
  const bool isAnswered =
      stays != StayConfirmedAt.end() && stays->second >= resumed &&
      stays->second + Settings.StayConfirmationLifetime >= now;
  return isAnswered ? NewWork::Allowed : NewWork::AskUpstream;
}

std::vector<LeavingNotice> LeavingUpstreams::notices(Instant now) const {
  std::vector<LeavingNotice> out;
  for (const auto &it : GoneAt)
    if (isLeaving(it.first, now))
      out.push_back({it.first, it.second});
  return out;
}

} // namespace sorrelbay
