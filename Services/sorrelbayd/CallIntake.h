#pragma once

#include "GatewayState.h"
#include <optional>

namespace sorrelbay {

/// Why a call is refused before it is sent.
struct CallRefusal {
  int Status = 0;
  const char *Cause = "";
  /// The shortest time after which its caller may retry; empty to name none.
  std::optional<Duration> RetryDelay;
  /// Callers are to return at different times after the delay.
  bool IsSpread = true;
};

/// A call and when it was read.
struct ReceivedCall {
  const ServingCall &Call;
  /// The plan in force at that time; null if there was none.
  const PlanIndex *Plan = nullptr;
  Instant At{};
};

/// The route and the team of a call.
struct CallIdentity {
  const ServingRoute *Route = nullptr;
  /// Null if the route needs no key.
  const ServingTeam *Team = nullptr;

  /// Empty if the route needs no key.
  TeamId teamName() const { return Team ? Team->Name : TeamId(); }
};

/// Finds the call's route and team. Returns why the call is refused if it has
/// none, or if this host can't know.
std::optional<CallRefusal> identifyCall(const GatewayState &state,
                                        const ReceivedCall &received,
                                        CallIdentity &identity);

/// Why a host that is shutting down refuses a call that may take until
/// `waitLimit`; empty if it accepts the call.
std::optional<CallRefusal> refusalWhileStopping(const GatewayState &state,
                                                Instant receivedAt,
                                                Duration waitLimit);

} // namespace sorrelbay
