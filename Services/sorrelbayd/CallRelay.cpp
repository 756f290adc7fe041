#include "CallRelay.h"
#include "LibServing/StopPolicy.h"

namespace sorrelbay {

static constexpr const char *EnvelopeHeader = "Sorrelbay-Relay";
static constexpr const char *ResultHeader = "Sorrelbay-Relay-Result";
static const std::string Declined = "declined ";
static const std::string Refused = "refused ";
static const std::string Answered = "answered ";

/// Most hosts that a call is relayed to.
static constexpr std::size_t MaxRelays = 3;

std::optional<RelayPeer> CallRelay::next(const ServiceId &service,
                                         Instant now) {
  if (State.RelaySecret.empty() || Tried.size() >= MaxRelays)
    return std::nullopt;
  auto peer =
      State.Relays.choose(service, State.Fleet, Tried, State.Random(), now);
  if (!peer)
    return std::nullopt;
  Tried.push_back(peer->Host);
  State.Relays.noteSent(peer->Host);
  return peer;
}

void CallRelay::noteEnded(bool isReached, Instant now) {
  State.Relays.noteEnded(Tried.back(), isReached, now);
}

HttpHeader relayResultHeader(const RelayResult &result) {
  switch (result.Outcome) {
  case RelayOutcome::Declined:
    return {ResultHeader, Declined + result.Cause};
  case RelayOutcome::Refused:
    return {ResultHeader, Refused + result.Cause};
  case RelayOutcome::Answered:
  case RelayOutcome::Unknown:
    break;
  }
  return {ResultHeader, Answered + result.Upstream.text()};
}

RelayResult parseRelayResult(const HttpHeaders &headers) {
  const std::string text = headerValue(headers, ResultHeader);
  const auto hasPrefix = [&](const std::string &prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
  };
  RelayResult out;
  if (hasPrefix(Declined)) {
    out.Outcome = RelayOutcome::Declined;
    out.Cause = text.substr(Declined.size());
  } else if (hasPrefix(Refused)) {
    out.Outcome = RelayOutcome::Refused;
    out.Cause = text.substr(Refused.size());
  } else if (hasPrefix(Answered)) {
    out.Outcome = RelayOutcome::Answered;
    out.Upstream = UpstreamId(text.substr(Answered.size()));
  }
  return out;
}

HttpHeaders withoutRelayResult(const HttpHeaders &headers) {
  return withoutHeader(headers, ResultHeader);
}

HttpCall makeRelayCall(const HttpRequest &request,
                       const RelayEnvelope &envelope,
                       const std::string &secret) {
  HttpCall call;
  call.Method = request.Method;
  call.Path = request.Path;
  call.Body = request.Body;
  call.Headers =
      endToEndHeaders(withoutHeader(request.Headers, EnvelopeHeader));
  call.Headers.push_back({EnvelopeHeader, sealRelayEnvelope(envelope, secret)});
  return call;
}

RelayEnvelope envelopeOf(const HttpRequest &request,
                         const std::string &secret) {
  return openRelayEnvelope(headerValue(request.Headers, EnvelopeHeader),
                           secret);
}

HttpRequest withoutEnvelope(HttpRequest request) {
  request.Headers = withoutHeader(request.Headers, EnvelopeHeader);
  return request;
}

const char *declineCause(const GatewayState &state, const ServingCall &call,
                         const RelayEnvelope &envelope, Instant now) {
  if (envelope.To != state.Settings.Host)
    return "other_host";
  if (envelope.CallId != call.Id ||
      envelope.RequestDigest != digestOfRequest(call.Method, call.Path))
    return "other_call";
  if (!state.Plan || state.Plan->plan().Version < envelope.PlanVersion)
    return "older_plan";
  if (!state.knowsUpstreams() || !state.Plan->service(envelope.Service))
    return "upstreams_unknown";
  if (state.Paths.isUnreachable(envelope.Service))
    return "unreachable";
  if (state.StoppingSince &&
      !acceptsCallWhileStopping(now - *state.StoppingSince,
                                state.Settings.Bounds.Grace,
                                envelope.WaitLimit))
    return "stopping";
  return nullptr;
}

} // namespace sorrelbay
