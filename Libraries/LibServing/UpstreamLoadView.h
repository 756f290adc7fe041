#pragma once

#include "LibBase/Identifier.h"
#include "LibServing/IgnoredStatement.h"
#include "LibServing/UpstreamLoad.h"
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace sorrelbay {

/// An upstream's stated load that had no effect, or has none any more.
struct IgnoredLoad {
  UpstreamId Id;
  IgnoredReason Reason = IgnoredReason::Implausible;
  LoadStatement Statement;
};

/// What upstreams state to this host about their load, and what is expected of
/// it now: the weight of a statement decays with its age, and the calls that
/// this host has started and finished since then are accounted for. Has no
/// clock of its own; not thread-safe.
class UpstreamLoadView {
public:
  /// Records a statement that was made to this host. Returns why it is ignored;
  /// empty if it is used.
  std::optional<IgnoredReason> note(const UpstreamId &id,
                                    const LoadStatement &statement);
  /// Records that this host starts a call at the upstream.
  void noteStarted(const UpstreamId &id, Instant now);
  /// Records that a call of this host has ended there.
  void noteEnded(const UpstreamId &id, bool wasRejected, Instant now);
  /// Records that this host has no open call there. Calls may have started
  /// before the upstream was forgotten and ended afterwards.
  void noteIdle(const UpstreamId &id);

  ExpectedLoad expected(const UpstreamId &id, Instant now) const;
  /// The upstream's slowness now, between 0.5 and 8; 1 if it is not known.
  double slownessOf(const UpstreamId &id, Instant now) const {
    return expected(id, now).Slowness;
  }
  /// Whether what the upstream states about free capacity is not used, because
  /// it was contradicted.
  bool isContradicted(const UpstreamId &id, Instant now) const;
  /// The statements that were contradicted since the last call.
  std::vector<IgnoredLoad> takeContradicted();
  void forget(const UpstreamId &id) { Upstreams.erase(id); }

private:
  struct Upstream {
    LoadStatement Newest;
    /// Calls of this host since then that have started, less those that ended.
    int OwnCallsSince = 0;
    /// The start times of this host's open calls. Which one has ended is not
    /// known; the oldest is removed, so that there are never more old calls in
    /// the list than in fact.
    std::deque<Instant> OpenSince;
    /// Statements whose calls have not ended yet. An upstream no longer
    /// counts a call whose response it sends.
    int Responding = 0;
    /// The statement that this host's open calls may contradict.
    std::optional<LoadStatement> Unchecked;
    Instant ContradictedUntil{};
  };

  void checkOpenCalls(const UpstreamId &id, Upstream &it, Instant now);
  void contradict(const UpstreamId &id, Upstream &it,
                  const LoadStatement &statement, Instant now);

  /// Only upstreams that have stated their load.
  std::map<UpstreamId, Upstream> Upstreams;
  std::vector<IgnoredLoad> Contradicted;
};

} // namespace sorrelbay
