#include "CallIntake.h"
#include "LibServing/StopPolicy.h"

namespace sorrelbay {

static constexpr int Unauthorized = 401;
static constexpr int NotFound = 404;
static constexpr int Unavailable = 503;
/// Margin before the end of the key removal bound.
static constexpr Duration KeyRemovalMargin = milliseconds(100);
/// Retry delay of calls that this host will soon be able to judge.
static constexpr Duration SoonKnownDelay = milliseconds(300);

static std::optional<CallRefusal> findRoute(const GatewayState &state,
                                            const ReceivedCall &received,
                                            CallIdentity &identity) {
  const ServingCall &call = received.Call;
  identity.Route = received.Plan->routeOf(call.HostName, call.Path);
  if (identity.Route)
    return std::nullopt;
  if (state.planAge(received.At) > state.LongestPlanAge)
    return CallRefusal{Unavailable, "no_route_and_plan_stale", SoonKnownDelay};
  return CallRefusal{NotFound, "no_route", {}};
}

static std::optional<CallRefusal> findTeam(const GatewayState &state,
                                           const ReceivedCall &received,
                                           CallIdentity &identity) {
  if (!received.Plan->needsKeys() || identity.Route->IsPublic)
    return std::nullopt;
  const Duration age = state.planAge(received.At);
  const GatewayBounds &bounds = state.Settings.Bounds;
  // The key may have been removed since the plan was confirmed; a host that is
  // cut off from the store would go on accepting it indefinitely.
  if (bounds.KeysFailClosed && age > bounds.KeyRemoval - KeyRemovalMargin)
    return CallRefusal{Unavailable, "keys_stale", SoonKnownDelay};
  identity.Team = received.Plan->teamOf(received.Call.Key);
  if (identity.Team)
    return std::nullopt;
  if (age > state.LongestPlanAge)
    return CallRefusal{Unavailable, "no_key_and_plan_stale", SoonKnownDelay};
  return CallRefusal{Unauthorized, "no_such_key", {}};
}

std::optional<CallRefusal> identifyCall(const GatewayState &state,
                                        const ReceivedCall &received,
                                        CallIdentity &identity) {
  if (!received.Plan)
    return CallRefusal{Unavailable, "no_plan_yet", SoonKnownDelay};
  if (!state.knowsUpstreams())
    return CallRefusal{Unavailable, "upstreams_unknown", SoonKnownDelay};
  if (const auto refusal = findRoute(state, received, identity))
    return refusal;
  return findTeam(state, received, identity);
}

std::optional<CallRefusal> refusalWhileStopping(const GatewayState &state,
                                                Instant receivedAt,
                                                Duration waitLimit) {
  if (!state.StoppingSince ||
      acceptsCallWhileStopping(receivedAt - *state.StoppingSince,
                               state.Settings.Bounds.Grace, waitLimit))
    return std::nullopt;
  // Another host accepts the call at once; address lookups no longer return
  // this host.
  return CallRefusal{Unavailable, "stopping", milliseconds(1), false};
}

} // namespace sorrelbay
