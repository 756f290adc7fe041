#pragma once

#include "GatewayState.h"
#include "LibDecision/MoverLease.h"
#include "LibServing/CloudOrders.h"

namespace sorrelbay {

/// Holds, or tries to hold, the one lease for all duties, as a conditional
/// write in the platform's store. While a peer says that it holds the lease,
/// the store isn't asked. Belongs to the loop's thread.
class DutyKeeper {
public:
  explicit DutyKeeper(GatewayState &state);

  /// To be called several times a second.
  void tick(Instant now);
  /// Whether duties may be exercised now.
  bool isHeld(Instant now) const { return Lease.isHeld(now); }
  DutyStamp stamp() const;
  /// Puts the lease that is held into what is reported to peers.
  void tell(FleetMember &self, Instant now) const;
  /// Grows each time that the lease is taken anew.
  std::uint64_t term() const { return Fencing; }

private:
  void hearHolders(Instant now);
  void read(Instant now);
  void write(Instant now);
  bool mayStandBy(Instant now) const;

  GatewayState &State;
  MoverLease Lease;
  /// The number of the holder that the store last showed, and of this one.
  std::uint64_t SeenFencing = 0;
  std::uint64_t Fencing = 0;
  /// Writes of the lease by this process.
  std::uint64_t Renewals = 0;
  bool IsWaiting = false;
  bool WasHeld = false;
};

} // namespace sorrelbay
