#pragma once

#include "CallSend.h"
#include "GatewayState.h"
#include <optional>
#include <string>

namespace sorrelbay {

/// A call that has ended, as far as logs and metrics show it.
struct CallRecord {
  const ServingCall *Call = nullptr;
  const char *Outcome = "";
  int Status = 0;
  /// Why it was not answered by an upstream; empty if it was.
  const char *Cause = "";
  Instant ReceivedAt{};
  /// Zero if the call got no byte of a response.
  Instant FirstByteAt{};
  const ServingRoute *Route = nullptr;
  const ServingTeam *Team = nullptr;
  std::int64_t Units = 0;
  /// The call's class among those of its team.
  CallClass Class;
  /// Empty if the call was refused before anything was decided.
  std::optional<int> Sends;
  int FailedConnects = 0;
  /// How long it waited for a place at the upstreams.
  Duration Waited{};
  /// The last send of the call.
  const CallSend *LastSend = nullptr;
  /// The complete events of the response that its caller got.
  std::size_t Events = 0;
  /// The upstream's stream ended inside an event.
  bool EndedInsideEvent = false;
  /// The host that the call was relayed from; empty if it was not.
  HostId RelayedFrom;
  const PlanIndex *Plan = nullptr;
};

/// Counts the call in the metrics and logs it, within the limits of log lines a
/// second. A relayed call is counted among the calls by the host that its
/// caller sent it to.
void recordCall(GatewayState &state, const CallRecord &record, Instant now);

} // namespace sorrelbay
