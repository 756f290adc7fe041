#include "TeamCharge.h"
#include "LibServing/Allotment.h"
#include <algorithm>

namespace sorrelbay {

static constexpr int TooManyRequests = 429;
static constexpr Duration MinRetryDelay = milliseconds(100);

std::optional<CallRefusal> TeamCharge::charge(GatewayState &state,
                                              const ServingTeam &team,
                                              const ServingCall &call,
                                              Instant at) {
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
  IsCharged = rateLimiter.take(Units, allotment.Rate, allotment.Burst, at);
  if (IsCharged)
    return std::nullopt;
  return CallRefusal{
      TooManyRequests, "beyond_allotment",
      std::max<Duration>(MinRetryDelay, rateLimiter.wait(team.Rate))};
}

void TeamCharge::giveBack(GatewayState &state) const {
  if (IsCharged)
    state.RateLimiters[Team].giveBack(Units);
}

} // namespace sorrelbay
