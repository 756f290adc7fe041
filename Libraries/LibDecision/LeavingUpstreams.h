#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace sorrelbay {

/// Reports that an upstream is leaving. The source is the host list, a reclaim
/// notice, the upstream's load report or a peer.
struct LeavingNotice {
  UpstreamId Upstream;
  /// When its host is reclaimed.
  Instant GoneAt;

  friend bool operator==(const LeavingNotice &a, const LeavingNotice &b) {
    return std::tie(a.Upstream, a.GoneAt) == std::tie(b.Upstream, b.GoneAt);
  }
};

/// Whether new calls may be sent to an upstream.
enum class NewWork {
  Allowed,
  /// The upstream is leaving.
  Refused,
  /// The upstream's last confirmation that it stays has expired. Query the
  /// upstream first.
  AskUpstream,
  /// This daemon was paused and has had no answer from its peers since. Query
  /// the peers first, or hand the call over to one of them.
  AskPeers,
};

struct LeavingSettings {
  /// How long an upstream's confirmation that it stays is valid. The upstream
  /// must be queried again after that.
  Duration StayConfirmationLifetime = seconds(3);
  /// A longer gap between two ticks means that the daemon was paused.
  Duration MaxTickGap = seconds(1);
  /// The maximum wait for the answer of a peer after a pause. After that, the
  /// upstream's own confirmation suffices. Zero if there are no peers.
  Duration PeerAnswerTimeout = seconds(3);
  /// How long a notice is kept after the host is gone. The host list lags and
  /// would still show the upstream as live.
  Duration RetentionAfterGone = minutes(2);
};

/// The set of leaving upstreams. Sources only add notices, so a late, repeated
/// or lost message from one source cannot undo a notice from another. Notices
/// are removed only when they expire. Not thread-safe.
class LeavingUpstreams {
public:
  explicit LeavingUpstreams(LeavingSettings settings = {})
      : Settings(settings) {}

  /// Adds a notice from any source. Of several notices for one upstream, the
  /// one with the latest GoneAt counts.
  void noteLeaving(const LeavingNotice &notice);
  /// Records that the upstream confirmed that it stays, in answer to a query
  /// sent at `askedAt`. The time of the query counts, because an answer that
  /// was buffered in a socket while the daemon was paused describes the state
  /// before the pause.
  void noteStayConfirmed(const UpstreamId &upstream, Instant askedAt);
  /// Records that a peer with a fresh view has sent all its notices, in answer
  /// to a query sent at `askedAt`. The host list is no substitute because it
  /// lags.
  void notePeerAnswered(Instant askedAt);
  /// Must be called several times within MaxTickGap.
  void noteTick(Instant now);

  bool isLeaving(const UpstreamId &upstream, Instant now) const;
  /// Whether a peer has answered this daemon since its last pause. A daemon
  /// without a fresh view must report that when a peer queries its notices.
  bool isViewFresh(Instant now) const;
  NewWork newWorkFor(const UpstreamId &upstream, Instant now) const;
  /// All notices that have not expired, to be sent to peers.
  std::vector<LeavingNotice> notices(Instant now) const;

private:
  Instant resumedAt(Instant now) const;

  LeavingSettings Settings;
  std::map<UpstreamId, Instant> GoneAt;
  std::unordered_map<UpstreamId, Instant> StayConfirmedAt;
  Instant PeerAnsweredAt{};
  Instant LastTick{};
  /// The end of the last pause. The start of the daemon counts as one.
  Instant ResumedAt{};
};

} // namespace sorrelbay
