#pragma once

#include "LibServing/UpstreamRateLimit.h"
#include <deque>

namespace sorrelbay {

/// The hosts that may send calls to upstreams, as this host knows them.
struct SendingHosts {
  HostId Self;
  /// All of them, including this one, in order.
  std::vector<HostId> All;
  /// There are other hosts, and this one has received reports of none, so that
  /// what they send is not known.
  bool AreOthersUnknown = false;

  friend bool operator==(const SendingHosts &a, const SendingHosts &b) {
    return a.Self == b.Self && a.All == b.All &&
           a.AreOthersUnknown == b.AreOthersUnknown;
  }
};

/// This host's part of `units` whole units at an upstream. All hosts get the
/// same number; those that are first in the upstream's rendezvous hashing order
/// get one of the rest.
int shareOfUnits(const UpstreamId &upstream, const SendingHosts &hosts,
                 int units);

/// What is known of an upstream's room for calls.
struct UpstreamRoom {
  /// The calls that the upstream runs at the same time.
  int Slots = 0;
  /// The calls that this host has open there.
  int OwnCalls = 0;
  /// The calls that other hosts have open there, as far as they have reported
  /// them.
  int PeerCalls = 0;
};

/// What one host may send to an upstream that fails if it has to reject too
/// many calls.
struct RejectionShare {
  /// Calls that the host may have open there without a risk of rejection.
  int Slots = 0;
  /// Rejections a second that it may cause.
  int Rejections = 0;
};

/// The share of a host if the upstream has `slots` call slots and fails when it
/// rejects more than `perSecond` calls in a second from all hosts together.
RejectionShare rejectionShare(const UpstreamId &upstream,
                              const SendingHosts &hosts, int slots,
                              double perSecond);

/// Limits the rejections that one host causes at one upstream in any second.
/// Not thread-safe.
class RejectionLimiter {
public:
  /// Whether a call may be sent to an upstream with that room. Calls beyond
  /// this host's slots that were sent just now count as rejected until the
  /// upstream has had the time to do so.
  bool hasCapacity(const RejectionShare &share, const UpstreamRoom &room,
                   Instant now);
  /// The time until another call may be sent; a long time if that depends on
  /// the calls that are open.
  Duration wait(const RejectionShare &share, const UpstreamRoom &room,
                Instant now);
  /// Records that a call beyond this host's slots was sent.
  void noteSent(Instant now);
  void noteRejected(Instant now);

private:
  void forgetOld(Instant now);

  std::deque<Instant> Sent;
  std::deque<Instant> Rejected;
};

/// What a host knows about the rejections that an upstream bears, and its own
/// part in them.
struct UpstreamRejectionLimit {
  LimitStatement Statement;
  /// The statement was made to this host, not to another.
  bool IsOwn = false;
  RejectionLimiter Limiter;
  /// This host's share, for the limit and the slots that it was computed for;
  /// empty until it is computed.
  struct CachedShare {
    double PerSecond = 0;
    int Slots = 0;
    RejectionShare Share;
  };
  std::optional<CachedShare> Cached;
};

} // namespace sorrelbay
