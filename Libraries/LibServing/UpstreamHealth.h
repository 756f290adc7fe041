#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// How a send ended, as evidence of the upstream's health.
enum class SendResult {
  Answered,
  /// The upstream responded with a server error.
  Failed,
  /// The upstream reported that it is full or leaving, and did not run the
  /// call.
  Rejected,
  /// No connection, a broken connection, a malformed response, or no response
  /// in time.
  Broken,
  /// No evidence: the caller disconnected, or the deadline passed for another
  /// reason.
  Inconclusive,
};

struct UpstreamHealthSettings {
  /// Weight that the past failure share keeps with each new send, 0 to 1.
  double FailureShareDecay = 0.85;
  /// An upstream is ejected if its failure share exceeds the mean of the others
  /// by at least this.
  double OutlierMargin = 0.25;
  /// Duration of the first ejection; each one in a row is twice as long as the
  /// one before.
  Duration FirstEjection = milliseconds(1500);
  /// Maximum duration of an ejection.
  Duration LongestEjection = seconds(12);
};

/// The health of one upstream, judged by the results of its calls: one that
/// fails more often than the others is ejected for a while, and probed by a
/// single call afterwards. Not thread-safe.
class UpstreamHealth {
public:
  bool isEjected(Instant now) const { return now < EjectedUntil; }
  /// Whether the upstream is to get calls as long as others are healthy, too.
  bool isHealthy(Instant now) const {
    return !isEjected(now) && !IsBeingProbed;
  }
  double failureShare() const { return FailureShare; }

  /// Records that a call is sent to the upstream.
  void noteSent();
  /// Records the end of a send. `othersFailureShare` is the mean failure share
  /// of the service's other upstreams.
  void noteResult(SendResult result, double othersFailureShare,
                  const UpstreamHealthSettings &settings, Instant now);
  /// A new process of the upstream does not inherit the failures of the one
  /// before, but is probed if that one was ejected.
  void beginProcess();

private:
  double FailureShare = 0;
  /// The number of sends that FailureShare covers, up to a small maximum.
  double SendsSeen = 0;
  Instant EjectedUntil{};
  Duration LastEjection{};
  /// A call was sent as a probe after an ejection and has not ended.
  bool IsBeingProbed = false;
};

} // namespace sorrelbay
