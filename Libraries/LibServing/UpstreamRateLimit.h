#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace sorrelbay {

/// What is known about a limit that an upstream states: the rate of calls that
/// it accepts, or of rejections that it bears.
struct LimitStatement {
  /// Calls per second from all hosts together; empty if the upstream states no
  /// limit any more.
  std::optional<double> PerSecond;
  /// The time of the statement, on the boot clock of the host that holds it: of
  /// the response that named a limit, or of the send whose response named none.
  /// The newest statement applies.
  Instant At{};
  friend bool operator==(const LimitStatement &a, const LimitStatement &b) {
    return a.PerSecond == b.PerSecond && a.At == b.At;
  }
};

using LimitStatements = std::map<UpstreamId, LimitStatement>;

/// Adds the statements that are newer than those known.
void mergeNewest(LimitStatements &known, const LimitStatements &others);

/// The calls per second that the host `self` may send to an upstream that
/// accepts `perSecond` calls from all hosts together. A few more hosts than the
/// limit has whole calls a second get equal shares and the others none: each
/// host may send one call at once, so that shares for all hosts of a large
/// fleet would exceed the limit. The hosts follow the upstream's rendezvous
/// hashing order; each `turn` begins with the host after those of the previous
/// one. Returns 0 if `self` is not in `hosts`.
double rateLimitShare(const UpstreamId &upstream, const HostId &self,
                      const std::vector<HostId> &hosts, double perSecond,
                      std::size_t turn = 0);

/// Limits the calls that one host sends to one upstream to its share: a token
/// bucket that holds the calls of half a second, and at least one. Not
/// thread-safe.
class RateShareLimiter {
public:
  bool hasCapacity(double share, Instant now) const;
  /// The time until another call may be sent; a long time if the share is 0.
  Duration wait(double share, Instant now) const;
  void note(double share, Instant now);

private:
  double tokens(double share, Instant now) const;

  /// The calls that could be sent at the time RefilledAt. The bucket is full
  /// before the first call.
  double Tokens = 0;
  Instant RefilledAt{};
};

/// What a host knows about one upstream's rate limit, and its own use of it.
struct UpstreamRateLimit {
  LimitStatement Statement;
  /// The statement was made to this host, not to another.
  bool IsOwn = false;
  RateShareLimiter Limiter;
  /// This host's share, for the limit and the turn that it was computed for;
  /// empty until it is computed.
  struct CachedShare {
    double PerSecond = 0;
    std::size_t Turn = 0;
    double Share = 0;
  };
  std::optional<CachedShare> Cached;
};

} // namespace sorrelbay
