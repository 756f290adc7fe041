#pragma once

#include "CallIntake.h"

namespace sorrelbay {

/// What one call uses of its team's allotment.
class TeamCharge {
public:
  /// Charges the team for the call. Returns why the call is refused if the
  /// allotment does not suffice; nothing is charged then.
  std::optional<CallRefusal> charge(GatewayState &state,
                                    const ServingTeam &team,
                                    const ServingCall &call, Instant at);
  /// Returns what was charged, because the call did not run.
  void giveBack(GatewayState &state) const;
  /// The units that the call needs; 0 if it was not to be charged.
  std::int64_t units() const { return Units; }

private:
  TeamId Team;
  std::int64_t Units = 0;
  bool IsCharged = false;
};

} // namespace sorrelbay
