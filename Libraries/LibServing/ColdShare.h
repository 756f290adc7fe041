#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <deque>
#include <vector>

namespace sorrelbay {

/// Calls that this host may send to a cold upstream in any second, of the
/// `perSecond` that all hosts together may. The first hosts in the upstream's
/// rendezvous order have equal parts and the others none, so that hosts need
/// not agree by messages: one that has not heard of another host gives that
/// host's part away once more and no further. A host that the list lacks has
/// none. 0 where nothing may be sent.
int coldRateShare(const UpstreamId &upstream, const HostId &self,
                  const std::vector<HostId> &hosts, double perSecond);

/// Keeps one host's sends to one cold upstream to its share in every second,
/// wherever the second begins. Not thread-safe.
class ColdRateLimiter {
public:
  /// Whether another call may be sent now.
  bool hasRoom(int share, Instant now) const;
  void note(Instant now);

private:
  /// Sends of the last second, the oldest first.
  std::deque<Instant> Sends;
};

} // namespace sorrelbay
