#pragma once

#include "GatewayState.h"
#include "LibDecision/LeaderLease.h"
#include "LibServing/CloudHooks.h"

namespace sorrelbay {

/// Holds, or tries to hold, the one lease for all duties, as a conditional
/// write in the platform's store. While a peer says that it holds the lease,
/// the store isn't asked. Belongs to the loop's thread.
class DutyLease {
public:
  explicit DutyLease(GatewayState &state);

  /// To be called several times a second.
  void tick(Instant now);
  /// Whether duties may be exercised now.
  bool isHeld(Instant now) const { return Lease.isHeld(now); }
  LeaseHolder stamp() const;
  /// Puts the lease that is held into what is reported to peers.
  void tell(FleetMember &self, Instant now) const;
  /// Grows each time that the lease is taken anew.
  std::uint64_t term() const { return FencingToken; }

private:
  void noteReportedHolders(Instant now);
  void read(Instant now);
  void write(Instant now);
  bool mayStandBy(Instant now) const;

  GatewayState &State;
  LeaderLease Lease;
  /// The number of the holder that the store last showed, and of this one.
  std::uint64_t SeenFencing = 0;
  std::uint64_t FencingToken = 0;
  /// Writes of the lease by this process.
  std::uint64_t Renewals = 0;
  bool IsWaiting = false;
  bool WasHeld = false;
};

} // namespace sorrelbay
