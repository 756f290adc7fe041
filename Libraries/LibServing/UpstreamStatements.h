#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibServing/UpstreamRateLimit.h"
#include "LibServing/UpstreamRejectionLimit.h"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sorrelbay {

/// An upstream's request to get no calls from this host for some time.
struct PauseStatement {
  /// When the call was sent whose response contained the request.
  Instant SentAt{};
  /// When the response arrived. The pause begins then.
  Instant At{};
  Duration Length{};
};

/// What upstreams state about themselves in their responses, as far as this
/// host knows it, and whether it allows another call. Statements are kept apart
/// from the upstreams' registrations: neither a lapse of the registration nor
/// an outdated view of the store ends them. A statement holds for the process
/// that made it. Not thread-safe.
class UpstreamStatements {
public:
  /// Records which process of the upstream is registered. Statements that an
  /// earlier process made are dropped; those that this one made before its
  /// registration became known stay. `startedMs` is ReplicaRecord::StartedMs; 0
  /// says nothing. `startedAt` is the same time on this host's boot clock, as
  /// far as clocks agree; empty if it is not known.
  void noteProcess(const UpstreamId &id, std::int64_t startedMs,
                   std::optional<Instant> startedAt, Instant now);

  /// Records what a response to this host stated about the rate of calls that
  /// the upstream accepts. Returns whether the known limit has changed.
  bool noteRateLimit(const UpstreamId &id, const LimitStatement &statement);
  /// The same for a response to another host, as that host reports it.
  void notePeerRateLimit(const UpstreamId &id, const LimitStatement &statement);
  /// The newest statements, as far as they were made to this host: limits, and
  /// recent ends of limits. Those of other hosts are left out, or hosts would
  /// pass them back and forth, each time with a later time.
  LimitStatements ownRateLimits(Instant now) const;
  /// Sets the hosts that divide the upstreams' rate limits: those that serve
  /// calls now, including this one if it does.
  void setServingHosts(const HostId &self, std::vector<HostId> hosts);
  /// Whether no response has confirmed the upstream's rate limit for a while.
  /// Only a response shows that a limit has ended.
  bool isRateLimitUnconfirmed(const UpstreamId &id, Instant now) const;
  /// The time until this host may send the next call within its share of the
  /// rate limit; empty if the upstream has none.
  std::optional<Duration> rateLimitWait(const UpstreamId &id, Instant now);

  /// Records what a response to this host stated about the rejections a second
  /// that the upstream bears: if it has to reject more calls for lack of room,
  /// it fails. Returns whether what is known has changed.
  bool noteRejectionLimit(const UpstreamId &id,
                          const LimitStatement &statement);
  /// The same for a response to another host, as that host reports it.
  void notePeerRejectionLimit(const UpstreamId &id,
                              const LimitStatement &statement);
  /// The rejections per second that the upstream bears; empty if it names no
  /// limit.
  std::optional<double> rejectionLimit(const UpstreamId &id) const;
  /// The newest of these statements that were made to this host.
  LimitStatements ownRejectionLimits(Instant now) const;
  /// Sets the hosts that divide the rejections which upstreams bear.
  void setSendingHosts(SendingHosts hosts);
  /// The time until this host may send the next call within its share of the
  /// rejections that the upstream bears; empty if it names no limit.
  std::optional<Duration> rejectionWait(const UpstreamId &id,
                                        const UpstreamRoom &room, Instant now);
  /// Records that the upstream rejected a call of this host.
  void noteRejected(const UpstreamId &id, Instant now);

  /// Records a request for a pause. Of several, the one that ends last applies:
  /// a shorter one does not take back a longer one. Returns false if an earlier
  /// process of the upstream made it, so that it has no effect.
  bool notePause(const UpstreamId &id, const PauseStatement &statement);
  /// The time until the end of the pause that the upstream asked for; zero if
  /// there is none.
  Duration pauseLeft(const UpstreamId &id, Instant now) const;
  bool isPaused(const UpstreamId &id, Instant now) const {
    return pauseLeft(id, now) > Duration::zero();
  }

  /// Records that the upstream stated that it is leaving, in the response to a
  /// call sent at `sentAt`. Its process takes no more calls, whatever it states
  /// afterwards. Returns false if an earlier process made the statement, so
  /// that it has no effect.
  bool noteLeaving(const UpstreamId &id, Instant sentAt, Instant now);
  bool isLeaving(const UpstreamId &id) const;

  /// Whether the statements allow this host another call to the upstream.
  bool allowCall(const UpstreamId &id, const UpstreamRoom &room, Instant now);
  /// Records that a call is sent to the upstream. `room` is as before the call.
  void noteSent(const UpstreamId &id, const UpstreamRoom &room, Instant now);

  /// The upstream is not registered any more. What it stated is kept for a
  /// while.
  void noteUnregistered(const UpstreamId &id);
  /// Drops what is known of upstreams that are not registered and have made no
  /// statement for a while.
  void forgetUnregistered(
      const std::function<bool(const UpstreamId &)> &isRegistered, Instant now);

private:
  /// A process of an upstream.
  struct Process {
    std::int64_t StartedMs = 0;
    /// Statements up to this time were made by an earlier process.
    Instant Since{};
  };
  /// A pause that had not ended when the last one was requested.
  struct Pause {
    Instant SentAt{};
    Instant Until{};
  };
  /// The statements of one upstream, and this host's use of its rate limit.
  struct Statements {
    UpstreamRateLimit RateLimit;
    UpstreamRejectionLimit RejectionLimit;
    std::vector<Pause> Pauses;
    /// When the last call was sent in whose response the upstream stated that
    /// it is leaving; empty if it did not.
    std::optional<Instant> LeavingSentAt;
    /// When the last statement was made.
    Instant LastAt{};

    Duration pauseLeft(Instant now) const;
  };

  Instant processSince(const UpstreamId &id) const;
  UpstreamRateLimit *namedRateLimit(const UpstreamId &id);
  template <typename Limit>
  bool accept(const UpstreamId &id, Limit Statements::*limit,
              const LimitStatement &statement, bool isOwn);
  template <typename Limit>
  LimitStatements ownStatements(Limit Statements::*limit, Instant now) const;
  UpstreamRejectionLimit *namedRejectionLimit(const UpstreamId &id);
  RejectionShare shareOfRejections(const UpstreamId &id,
                                   UpstreamRejectionLimit &limit,
                                   const UpstreamRoom &room) const;
  double rateShare(const UpstreamId &id, UpstreamRateLimit &limit, Instant now);

  std::map<UpstreamId, Process> Processes;
  /// Only upstreams that have made a statement.
  std::map<UpstreamId, Statements> ByUpstream;
  HostId Self;
  std::vector<HostId> ServingHosts;
  SendingHosts Senders;
};

} // namespace sorrelbay
