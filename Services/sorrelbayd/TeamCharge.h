#pragma once

#include "CallIntake.h"

namespace sorrelbay {

/// What one call uses of its team's allotment.
class TeamCharge {
public:
  /// Charges the call's team, which must not be null. Returns why the call is
  /// refused if the allotment does not suffice; nothing is charged then.
  std::optional<CallRefusal> charge(GatewayState &state,
                                    const CallIdentity &identity,
                                    const ReceivedCall &received);
  /// Returns what was charged if a call that is refused with the status did not
  /// run.
  void giveBackAfter(GatewayState &state, int status) const;
  /// The units that the call needs; 0 if it was not to be charged.
  std::int64_t units() const { return Units; }
  /// The call's class among those of its team; the only one where calls are
  /// admitted in order of arrival.
  CallClass callClass() const { return Class; }

private:
  TeamId Team;
  std::int64_t Units = 0;
  CallClass Class;
  bool IsCharged = false;
};

} // namespace sorrelbay
