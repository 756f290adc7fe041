#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <deque>
#include <vector>

namespace sorrelbay {

/// The number of calls that the host `self` may send to a cold upstream within
/// any second, out of the `perSecond` that all hosts together may send. The
/// first hosts in the upstream's rendezvous hashing order get equal shares and
/// the others none, so that the hosts need no messages to divide the rate. If a
/// host is unknown to some of the others, at most one share is granted in
/// addition. Returns 0 if `self` is not in `hosts`, or if nothing may be sent.
int coldRateShare(const UpstreamId &upstream, const HostId &self,
                  const std::vector<HostId> &hosts, double perSecond);

/// Limits the calls that one host sends to one cold upstream to its share
/// within any second, wherever the second begins. Not thread-safe.
class ColdRateLimiter {
public:
  /// Whether another call may be sent now.
  bool hasCapacity(int share, Instant now) const;
  void note(Instant now);
  /// Whether no call was sent within the last window.
  bool isIdle(Instant now) const;

private:
  /// Times of the sends within the last window, the oldest first.
  std::deque<Instant> Sends;
};

} // namespace sorrelbay
