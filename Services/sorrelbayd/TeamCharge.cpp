#include "TeamCharge.h"
#include "LibServing/Allotment.h"
#include <algorithm>

namespace sorrelbay {

static constexpr int BadRequest = 400;
static constexpr int TooManyRequests = 429;
static constexpr int Unavailable = 503;
static constexpr Duration MinRetryDelay = milliseconds(100);

/// A small fleet's hosts know each other's admissions soon enough.
static AllotmentReserve reserveFor(const GatewayState &state,
                                   const CallIdentity &identity,
                                   const PlanIndex &plan) {
  if (!state.Fleet.isAggregatedByZone())
    return {};
  return {state.Settings.UrgentReserve,
          plan.classOf(*identity.Route, *identity.Team)};
}

std::optional<CallRefusal> TeamCharge::charge(GatewayState &state,
                                              const CallIdentity &identity,
                                              const ReceivedCall &received) {
  const ServingTeam &team = *identity.Team;
  const ServingCall &call = received.Call;
  Team = team.Name;
  Units = 1;
  if (team.CountsTokens)
    Units = call.PromptTokens ? *call.PromptTokens + call.MaxOutputTokens
                              : team.FallbackTokens;
  TeamRateLimiter &rateLimiter = state.RateLimiters[Team];
  const GatewayBounds &bounds = state.Settings.Bounds;
  const Allotment allotment =
      allotmentFor(team, state.Fleet.isAggregatedByZone(),
                   {bounds.AllotmentSlack, bounds.AllotmentWindow});
  const AllotmentReserve reserve = reserveFor(state, identity, *received.Plan);
  Class = reserve.callClass();
  IsCharged = rateLimiter.take(Units, allotment.Rate, allotment.Burst,
                               received.At, reserve);
  state.Counts.countTeamUnits(Team.text(), Class.Rank, Units, IsCharged);
  if (IsCharged)
    return std::nullopt;
  const double level =
      std::max(0.0, TeamRateLimiter::requiredLevel(Units, allotment.Rate,
                                                   allotment.Burst, reserve));
  return CallRefusal{
      TooManyRequests, "beyond_allotment",
      std::max<Duration>(MinRetryDelay, rateLimiter.wait(team.Rate, level))};
}

void TeamCharge::giveBackAfter(GatewayState &state, int status) const {
  const bool didNotRun = status == Unavailable || status == BadRequest;
  if (IsCharged && didNotRun)
    state.RateLimiters[Team].giveBack(Units);
}

} // namespace sorrelbay
