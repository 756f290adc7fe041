#pragma once

#include "GatewayState.h"
#include "LibDecision/LeaderLease.h"
#include "LibServing/CloudHooks.h"

namespace sorrelbay {

/// Acquires and renews the single lease for all duties by conditional writes to
/// the platform's store. While a peer reports that it holds the lease, the
/// store is not queried. Used only on the event loop's thread.
class DutyLease {
public:
  explicit DutyLease(GatewayState &state);

  /// To be called several times a second.
  void tick(Instant now);
  /// Whether this host holds the lease and may exercise the duties.
  bool isHeld(Instant now) const { return Lease.isHeld(now); }
  LeaseHolder leaseHolder() const;
  /// Adds the lease, if it is held, to this host's entry for reports to peers.
  void addLeaseTo(FleetMember &self, Instant now) const;
  /// Number of the term; increases each time the lease is acquired.
  std::uint64_t term() const { return FencingToken; }

private:
  void noteReportedHolders(Instant now);
  void read(Instant now);
  void noteMalformed(std::uint64_t revision);
  void write(Instant now);
  bool mayStandBy(Instant now) const;

  GatewayState &State;
  LeaderLease Lease;
  /// The highest fencing token seen in the store or in peers' reports, and this
  /// host's own.
  std::uint64_t HighestFencingToken = 0;
  std::uint64_t FencingToken = 0;
  /// Lease writes by this process.
  std::uint64_t LeaseWrites = 0;
  /// The last revision of the lease that could not be read.
  std::uint64_t MalformedRevision = 0;
  bool IsCallPending = false;
  bool WasHeld = false;
};

} // namespace sorrelbay
