#include "CallPlacement.h"
#include <algorithm>

namespace sorrelbay {

const char *causeOf(UnavailabilityCause cause) {
  switch (cause) {
  case UnavailabilityCause::Cold:
    return "upstreams_cold";
  case UnavailabilityCause::Limited:
    return "upstreams_limited";
  case UnavailabilityCause::Paused:
    return "upstreams_paused";
  case UnavailabilityCause::NoUpstream:
    break;
  }
  return "no_upstream";
}

/// Whether this host may use a connection to the upstream. An upstream accepts
/// a limited number of connections from all hosts together and resets those
/// beyond it along with their calls, so each host uses at most its share.
bool CallPlacement::hasConnectionCapacity(const std::string &address) const {
  const ServingService *service = Placed.Plan.service(Placed.Service);
  if (!service || service->MaxConnections <= 0 || State.Client.hasIdle(address))
    return true;
  const int maxOwnConnections =
      std::max(1, service->MaxConnections / State.Fleet.hostCount());
  return State.Client.connections(address) <
         static_cast<std::size_t>(maxOwnConnections);
}

ReplicaRequest CallPlacement::request() const {
  const ServingService *service = Placed.Plan.service(Placed.Service);
  ReplicaRequest request;
  request.ForService = Placed.Service;
  request.OwnZone = State.Settings.Zone;
  if (service && service->Engine)
    request.Prompt = Placed.Call.Prompt;
  request.IsForDesk = service && !service->Engine;
  request.PromptTokens = Placed.Call.PromptTokens.value_or(0);
  request.Seed = State.Random();
  request.Version = State.VersionFor(Placed.Service, Placed.Call.Id);
  request.RouteRegions = Placed.Route.PermittedRegions;
  if (Placed.Team)
    request.TeamRegions = Placed.Team->PermittedRegions;
  request.Hosts = State.Fleet.hostCount();
  request.Tried = Tried;
  return request;
}

std::optional<ReplicaChoice> CallPlacement::choose(Instant now) {
  ReplicaRequest request = this->request();
  for (;;) {
    request.Tried = Tried;
    auto chosen = State.Replicas.choose(request, now);
    if (!chosen)
      return chosen;
    Tried.push_back(chosen->Id);
    if (!hasConnectionCapacity(State.Replicas.find(chosen->Id)->Address))
      continue;
    noteDemand(chosen->TokensToPrefill, now);
    return chosen;
  }
}

Unavailability CallPlacement::unavailability(Instant now) const {
  return State.Replicas.unavailability(request(), now);
}

Unavailability CallPlacement::noteUnavailable(Instant now) {
  const ReplicaRequest request = this->request();
  const Unavailability why = State.Replicas.unavailability(request, now);
  // Upstreams that take fewer calls must not make the service look less busy.
  if (why.Cause == UnavailabilityCause::Paused ||
      why.Cause == UnavailabilityCause::Limited)
    noteDemand(State.Replicas.expectedPrefill(request, now), now);
  return why;
}

bool CallPlacement::canEndInTime(const ReplicaChoice &choice,
                                 Duration timeLeft) const {
  const bool isMeasured =
      Placed.Call.PromptTokens &&
      State.Replicas.modelOf(Placed.Service).hasEnoughSamples();
  if (!isMeasured)
    return true;
  const Duration wait =
      State.Times.firstToken(Placed.Service, priority(), choice.Wait);
  if (wait > State.PromptWaits.maxWait(Placed.Service))
    return false;
  const Duration firstToken =
      State.Times.firstToken(Placed.Service, priority(), choice.FirstToken);
  return firstToken + State.Times.shortestOutput(Placed.Service,
                                                 Placed.Call.MaxOutputTokens) <=
         timeLeft;
}

Duration CallPlacement::ownTime(std::int64_t tokensToPrefill) const {
  return prefillTime(tokensToPrefill) +
         State.Times.output(Placed.Service, Placed.Call.MaxOutputTokens);
}

Duration CallPlacement::ownTime() const {
  return Placed.Call.PromptTokens ? ownTime(*Placed.Call.PromptTokens)
                                  : State.Times.response(Placed.Service);
}

Duration CallPlacement::silenceTimeout(const ReplicaChoice &choice) const {
  if (!Placed.Call.PromptTokens)
    return State.Times.responseTimeout(Placed.Service);
  return State.Times.firstTokenTimeout(Placed.Service, priority(),
                                       choice.FirstToken);
}

void CallPlacement::noteSent(const ReplicaChoice &choice) {
  if (Placed.Call.PromptTokens)
    State.PromptWaits.noteSent(Placed.Service, Placed.Route.Name,
                               ownTime(choice.TokensToPrefill));
}

Duration CallPlacement::prefillTime(std::int64_t tokens) const {
  const double milliseconds = State.Replicas.modelOf(Placed.Service)
                                  .prefillTime(static_cast<double>(tokens));
  return fromSeconds(milliseconds / 1000);
}

int CallPlacement::priority() const {
  const bool hasOwnPriority = Placed.Team && Placed.Team->Priority;
  return hasOwnPriority ? *Placed.Team->Priority : Placed.Route.Priority;
}

/// Counts the call once in what callers ask of the service's engines.
void CallPlacement::noteDemand(std::int64_t tokensToPrefill, Instant now) {
  if (IsDemandCounted)
    return;
  IsDemandCounted = true;
  State.Demand.note(Placed.Service,
                    toSeconds(prefillTime(tokensToPrefill)) * 1000, now);
  const EnginePlacement &engines = State.Replicas.engines();
  const std::int64_t promptTokens = Placed.Call.PromptTokens.value_or(0);
  if (engines.isShort(Placed.Service, promptTokens))
    State.ShortDemand.note(
        Placed.Service, engines.steadyPrefillTime(Placed.Service, promptTokens),
        now);
}

} // namespace sorrelbay
