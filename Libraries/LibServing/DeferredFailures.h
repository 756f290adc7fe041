#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/UpstreamReachability.h"
#include <deque>
#include <vector>

namespace sorrelbay {

/// A send that failed without a response.
struct UnansweredSend {
  ServiceId Service;
  VersionId Version;
  RouteId Route;
  UpstreamId Upstream;
};

/// Sends that failed without a response, held back until this host has shown
/// that it reaches the service. Otherwise a host that is cut off would find any
/// version faulty. Not thread-safe.
class DeferredFailures {
public:
  void add(const UnansweredSend &send, Instant now);
  /// Drops the failures of a service that is unreachable from this host.
  void discard(const ServiceId &service);
  /// The upstream has crashed. The failures of the calls that ended with it
  /// count as one: a version must not look bad because its upstream was busy
  /// when one call crashed it.
  void mergeCrash(const UpstreamId &upstream);
  /// Removes and returns the failures that count by now.
  std::vector<UnansweredSend> takeDue(const UpstreamReachability &paths,
                                      Instant now);

private:
  struct Deferred {
    UnansweredSend Send;
    Instant At{};
  };

  std::deque<Deferred> Held;
};

} // namespace sorrelbay
