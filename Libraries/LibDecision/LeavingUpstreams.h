#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

/// That an upstream leaves, from whichever source: host list, notice, the
/// upstream's own load report or a peer.
struct LeavingNotice {
  UpstreamId Upstream;
  /// When its host is taken away.
  Instant GoneAt;

  friend bool operator==(const LeavingNotice &a, const LeavingNotice &b) {
    return std::tie(a.Upstream, a.GoneAt) == std::tie(b.Upstream, b.GoneAt);
  }
};

/// Whether an upstream may be given new work.
enum class NewWork {
  Allowed,
  /// It is leaving.
  Refused,
  /// It has not said for a while that it stays: ask it first.
  AskUpstream,
  /// This daemon was paused and has not heard since what its peers know: ask
  /// them first, or give the call to one of them.
  AskPeers,
};

struct LeavingSettings {
  /// How long an upstream's word that it stays is good for.
  Duration StayConfirmationLifetime = seconds(3);
  /// A gap between two ticks above this means that the daemon was paused.
  Duration MaxTickGap = seconds(1);
  /// After a pause, how long a peer's answer is waited for at most; with all of
  /// them down the upstream's own word has to do. Zero without peers.
  Duration PeerAnswerTimeout = seconds(3);
  /// How long a notice is kept after the host should be gone, since the host
  /// list lags and would show the upstream as live.
  Duration RetentionAfterGone = minutes(2);
};

/// Which upstreams leave. Every source only ever adds to it, so that a late,
/// repeated or lost message from one can't undo another's; an
/// entry ends by its expiry alone. Not thread-safe.
class LeavingUpstreams {
public:
  explicit LeavingUpstreams(LeavingSettings settings = {})
      : Settings(settings) {}

  /// Takes in a notice from any source. Of several about one upstream the
  /// latest end counts.
  void noteLeaving(const LeavingNotice &notice);
  /// The upstream said that it stays, in answer to a request that was sent at
  /// that time. The time of sending counts: an answer that lay in a socket
  /// while the daemon was paused tells of before the pause.
  void noteStayConfirmed(const UpstreamId &upstream, Instant askedAt);
  /// A peer whose own view is fresh has sent all its notices, in answer to a
  /// request that was sent at that time. The host list does not do: it lags.
  void notePeerAnswered(Instant askedAt);
  /// To be called several times within the pause limit.
  void noteTick(Instant now);

  bool isLeaving(const UpstreamId &upstream, Instant now) const;
  /// Whether this daemon has heard its peers since it was last paused. One
  /// that hasn't must say so when a peer asks it for its notices.
  bool isViewFresh(Instant now) const;
  NewWork newWorkFor(const UpstreamId &upstream, Instant now) const;
  /// All notices that have not expired, for peers.
  std::vector<LeavingNotice> notices(Instant now) const;

private:
  Instant resumedAt(Instant now) const;

  LeavingSettings Settings;
  std::map<UpstreamId, Instant> GoneAt;
  std::unordered_map<UpstreamId, Instant> StayConfirmedAt;
  Instant PeerHeardAt{};
  Instant LastTick{};
  /// The end of the last pause; a start counts as one.
  Instant ResumedAt{};
};

} // namespace sorrelbay
