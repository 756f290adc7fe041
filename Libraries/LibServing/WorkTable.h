#pragma once

#include "LibBase/Identifier.h"
#include "LibServing/OutstandingWork.h"
#include <map>
#include <memory>

namespace sorrelbay {

/// The work in progress at one upstream.
struct UpstreamWork {
  /// That of this host.
  OutstandingWork Own;
  /// The sum of what peers report.
  OutstandingWork Peers;

  OutstandingWork total() const { return Own + Peers; }
};

/// The work in progress at the upstreams, whether they are registered or not:
/// an upstream that loses its registration goes on with its calls and may be
/// registered again under the same id before they end. No figure is ever
/// negative, and none is left of an upstream without calls. Not thread-safe.
class WorkTable {
public:
  /// The upstream's record. It stays valid, and is kept up to date, as long as
  /// the pointer is held.
  std::shared_ptr<const UpstreamWork> of(const UpstreamId &id);

  /// Records that this host sends a call to the upstream.
  void noteSent(const UpstreamId &id, const CallCost &cost);
  /// Records that the prompt of one of this host's calls has been prefilled.
  void noteFirstByte(const UpstreamId &id, const CallCost &cost);
  /// Records the end of one of this host's calls. Returns whether it was the
  /// last one there.
  bool noteEnded(const UpstreamId &id, const CallCost &cost, bool hadFirstByte);
  /// Replaces all work that a peer reported before.
  void notePeer(const SourceId &peer,
                std::map<UpstreamId, OutstandingWork> open);

  /// This host's work in progress, for its reports.
  std::map<UpstreamId, OutstandingWork> own() const;
  OutstandingWork totalAt(const UpstreamId &id) const;
  /// Drops the records of upstreams that have no work and that nobody holds.
  void forgetIdle();

private:
  const std::shared_ptr<UpstreamWork> &at(const UpstreamId &id);

  std::map<UpstreamId, std::shared_ptr<UpstreamWork>> ByUpstream;
  std::map<SourceId, std::map<UpstreamId, OutstandingWork>> Reported;
};

} // namespace sorrelbay
