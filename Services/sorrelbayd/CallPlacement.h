#pragma once

#include "GatewayState.h"
#include <optional>
#include <vector>

namespace sorrelbay {

/// What decides which upstreams a call may go to. The plan that holds the route
/// and the team must outlive the placement.
struct PlacedCall {
  const ServingCall &Call;
  const PlanIndex &Plan;
  const ServingRoute &Route;
  /// Null if the route needs no key.
  const ServingTeam *Team = nullptr;
  ServiceId Service;
  /// Another host has counted the call as demand.
  bool IsDemandCounted = false;
};

/// The name in logs and metrics of why no upstream takes a call.
const char *causeOf(UnavailabilityCause cause);

/// Chooses the upstreams for one call, for its first attempt and for repeats,
/// and counts the call as demand for the service's engines.
class CallPlacement {
public:
  CallPlacement(GatewayState &state, PlacedCall placed)
      : State(state), Placed(std::move(placed)),
        IsDemandCounted(Placed.IsDemandCounted) {}

  /// The upstream for the next attempt; empty if none may take the call. An
  /// upstream is chosen at most once.
  std::optional<ReplicaChoice> choose(Instant now);
  /// Why no upstream takes the call now, and how long that lasts at least; a
  /// wait of zero if one does.
  Unavailability unavailability(Instant now) const;
  /// The same for a call that is refused because `choose` found none. If that
  /// is because upstreams limit or pause calls, the call counts as demand.
  Unavailability noteUnavailable(Instant now);
  /// Whether a call with a prompt, sent there now, is expected to end within
  /// the time that its caller has left, and does not wait longer for other
  /// prompts than calls of other routes could.
  bool canEndInTime(const ReplicaChoice &choice, Duration timeLeft) const;
  /// The time that the call itself usually takes at an upstream, without a
  /// wait; zero until it is known.
  Duration ownTime() const;
  /// The call is sent there.
  void noteSent(const ReplicaChoice &choice);
  /// How long after its send there a first byte is no longer to be expected;
  /// zero until it is known.
  Duration silenceTimeout(const ReplicaChoice &choice) const;
  /// The engine time that the service's upstreams need to prefill the tokens.
  Duration prefillTime(std::int64_t tokens) const;
  /// Whether the call has been counted as demand.
  bool isDemandCounted() const { return IsDemandCounted; }
  /// The call's rank; 0 is the most urgent.
  int priority() const;

private:
  ReplicaRequest request() const;
  Duration ownTime(std::int64_t tokensToPrefill) const;
  bool hasConnectionCapacity(const std::string &address) const;
  void noteDemand(std::int64_t tokensToPrefill, Instant now);

  GatewayState &State;
  PlacedCall Placed;
  /// Upstreams that were chosen, or that may not get another connection.
  std::vector<UpstreamId> Tried;
  bool IsDemandCounted;
};

} // namespace sorrelbay
