#pragma once

#include "LibBase/Time.h"
#include "LibLoad/RunningEstimate.h"

namespace sorrelbay {

/// What a host knows about a service's upstreams and the calls sent there.
struct PlaceShare {
  /// Slots of the upstreams that take calls.
  int Slots = 0;
  /// Hosts that may send calls there, including this one.
  int Hosts = 1;
  /// The calls that this host has open at the upstreams or waiting for them.
  int OwnCalls = 0;
  /// The same over all hosts, as far as they have reported it.
  int AllCalls = 0;
};

/// The number of calls that this host may have open at a service's upstreams.
/// It starts at this host's part of the slots, is lowered by rejections for
/// lack of room, and is raised by responses that arrive while it is used up.
/// Hosts exchange no messages for it: an upstream has fewer slots than there
/// are hosts, so a division would leave most hosts with none. Not thread-safe.
class PlaceLimit {
public:
  /// Updates this host's part of the slots. To be called at regular intervals.
  void updateShare(const PlaceShare &share);
  /// An upstream rejected a call that was sent at `sentAt`. Returns whether the
  /// limit was lowered; calls that were sent before the last reduction do not
  /// lower it again.
  bool noteRejected(Instant sentAt, Instant now);
  /// An upstream responded within that time while `open` calls of this host,
  /// including this one, were open. A response that took longer than nearly all
  /// before it does not raise the limit: the upstream has kept it waiting.
  void noteResponse(Duration took, int open);

  int limit() const;
  /// The mean time from sending a call to its response; zero until known.
  Duration responseTime() const { return fromSeconds(ResponseTime.mean()); }
  /// The time within which nearly all responses come; zero until known.
  Duration longestResponseTime() const {
    return fromSeconds(ResponseTime.upperBound());
  }
  /// The mean time between two starts of calls while the limit is used up, and
  /// its mean deviation; zero until known.
  Duration startInterval() const;
  Duration startDeviation() const;

private:
  /// This host's part of the slots, with fractions.
  double Share = 1;
  double Limit = 0;
  int Slots = 1;
  /// Means over the last few updates.
  double OwnCalls = 0;
  double AllCalls = 0;
  /// In seconds.
  RunningEstimate ResponseTime;
  Instant ReducedAt{};
};

} // namespace sorrelbay
