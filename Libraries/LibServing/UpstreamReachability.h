#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace sorrelbay {

struct UpstreamReachabilitySettings {
  /// A service is unreachable once connections failed to this many of its
  /// upstreams, or to all if it has fewer, and none was opened in between.
  std::size_t FailedUpstreams = 3;
  /// Failures are forgotten after this time.
  Duration FailureRetention = milliseconds(1500);
  /// If calls have been waiting for this long and no upstream of the service
  /// has sent anything meanwhile, the paths are probed.
  Duration SilenceLimit = milliseconds(200);
  /// The shortest interval between probes of a service.
  Duration ProbeInterval = milliseconds(400);
  /// Hosts begin with different upstreams, so that those that start together do
  /// not all probe the same.
  std::size_t FirstProbe = 0;
};

/// Whether this host has lost its paths to all upstreams of a service, judged
/// by the results of opening connections. Responses on open connections are no
/// evidence: these may go on while new ones fail. Whether other hosts have lost
/// theirs too, so that the upstreams are at fault, is not known here. Not
/// thread-safe.
class UpstreamReachability {
public:
  explicit UpstreamReachability(UpstreamReachabilitySettings settings = {})
      : Settings(settings) {}

  /// Records whether a connection to an upstream of the service could be
  /// opened. `upstreams` is the number of the service's upstreams.
  void noteConnect(const ServiceId &service, const UpstreamId &upstream,
                   bool isConnected, std::size_t upstreams, Instant now);
  /// Records that a call was sent to an upstream of the service.
  void noteSent(const ServiceId &service, Instant now);
  /// Records that an upstream of the service sent something.
  void noteReceived(const ServiceId &service, Instant now);
  /// Records that a call broke off without a response. The upstream may be at
  /// fault, or the path to it.
  void noteBroken(const ServiceId &service, Instant now);
  /// Records that a call sent at `sentAt` waits no more.
  void noteWaitEnded(const ServiceId &service, Instant sentAt);

  /// Forgets the service, because it has no upstreams.
  void forget(const ServiceId &service) { ByService.erase(service); }

  bool isUnreachable(const ServiceId &service) const;
  /// Whether the service was unreachable at any time from `since` on.
  bool wasUnreachable(const ServiceId &service, Instant since) const;
  /// Whether a connection to the service was opened after `since`.
  bool hasConnectedSince(const ServiceId &service, Instant since) const;
  /// All services that are unreachable.
  std::set<ServiceId> unreachable() const;
  /// The number of the service's upstreams to which connections failed since
  /// one was opened.
  std::size_t failedUpstreams(const ServiceId &service) const;
  /// Whether a call that was sent has got no byte yet.
  bool isAnyCallWaiting() const;

  /// Whether the paths to the service are to be tested now.
  bool isProbeDue(const ServiceId &service, Instant now) const;

  /// The upstreams, of those given, to which connections are to be opened for
  /// it: a few of different zones if upstreams are silent or nothing is known
  /// yet, as many as have failed if some have, and one if the service is
  /// unreachable. Empty if no probe is due.
  std::vector<UpstreamId>
  takeProbes(const ServiceId &service,
             const std::map<UpstreamId, ZoneId> &upstreams, Instant now);

private:
  struct Paths {
    /// When connections failed since one was opened, by upstream.
    std::map<UpstreamId, Instant> FailedAt;
    /// When the calls without a first byte were sent.
    std::multiset<Instant> WaitingSince;
    Instant ReceivedAt{};
    Instant BrokenAt{};
    Instant ConnectedAt{};
    Instant ProbedAt{};
    bool IsKnown = false;
    bool IsUnreachable = false;
    /// When the service last became reachable again.
    Instant RecoveredAt{};
    std::size_t Probes = 0;
  };

  void forgetOldFailures(Paths &paths, Instant now) const;
  bool isSilent(const Paths &paths, Instant now) const;
  bool hasFailure(const Paths &paths, Instant now) const;

  UpstreamReachabilitySettings Settings;
  std::map<ServiceId, Paths> ByService;
};

} // namespace sorrelbay
