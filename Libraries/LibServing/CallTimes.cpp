#include "LibServing/CallTimes.h"
#include <algorithm>

namespace sorrelbay {

/// Bounds of one measured ratio: an engine that has stopped shows nothing about
/// the others.
static constexpr double MinRatio = 0.25;
static constexpr double MaxRatio = 4;
/// By which a response raises the least time per token, until a faster one.
static constexpr double PaceGrowth = 1.0 / 64;
/// A shorter silence shows nothing: processes and networks pause for as long.
static constexpr Duration MinTimeout = milliseconds(200);

void CallTimes::noteFirstToken(const ServiceId &service, int priority,
                               Duration expected, Duration took) {
  if (expected <= Duration::zero())
    return;
  const double ratio = toSeconds(took) / toSeconds(expected);
  FirstTokenRatios[{service, priority}].note(
      std::clamp(ratio, MinRatio, MaxRatio));
}

void CallTimes::noteOutput(const ServiceId &service, std::int64_t tokens,
                           Duration took) {
  if (tokens <= 0)
    return;
  OutputEstimate &estimate = Outputs[service];
  const auto count = static_cast<double>(tokens);
  estimate.Tokens.note(count);
  estimate.Took.note(toSeconds(took));
  // Few tokens may come in one event, which shows no pace.
  if (count < estimate.Tokens.mean())
    return;
  const double pace = toSeconds(took) / count;
  const double known = estimate.FastestPace * (1 + PaceGrowth);
  estimate.FastestPace =
      estimate.FastestPace == 0 ? pace : std::min(pace, known);
}

void CallTimes::noteResponse(const ServiceId &service, Duration took) {
  Responses[service].note(toSeconds(took));
}

/// Null until the ratio is known.
const RunningEstimate *CallTimes::ratioOf(const ServiceId &service,
                                          int priority) const {
  const auto found = FirstTokenRatios.find({service, priority});
  const bool isKnown =
      found != FirstTokenRatios.end() && found->second.isKnown();
  return isKnown ? &found->second : nullptr;
}

Duration CallTimes::firstToken(const ServiceId &service, int priority,
                               Duration expected) const {
  const RunningEstimate *ratio = ratioOf(service, priority);
  return ratio ? fromSeconds(toSeconds(expected) * ratio->mean()) : expected;
}

/// Null until the output is known.
const CallTimes::OutputEstimate *
CallTimes::outputOf(const ServiceId &service) const {
  const auto found = Outputs.find(service);
  const bool isKnown = found != Outputs.end() && found->second.Took.isKnown();
  return isKnown ? &found->second : nullptr;
}

Duration CallTimes::output(const ServiceId &service,
                           std::int64_t tokens) const {
  const OutputEstimate *estimate = outputOf(service);
  return estimate
             ? fromSeconds(estimate->Took.mean() / estimate->Tokens.mean() *
                           static_cast<double>(tokens))
             : Duration::zero();
}

Duration CallTimes::shortestOutput(const ServiceId &service,
                                   std::int64_t tokens) const {
  const OutputEstimate *estimate = outputOf(service);
  return estimate
             ? fromSeconds(estimate->FastestPace * static_cast<double>(tokens))
             : Duration::zero();
}

Duration CallTimes::response(const ServiceId &service) const {
  const auto found = Responses.find(service);
  if (found == Responses.end() || !found->second.isKnown())
    return Duration::zero();
  return fromSeconds(found->second.mean());
}

Duration CallTimes::firstTokenTimeout(const ServiceId &service, int priority,
                                      Duration expected) const {
  const RunningEstimate *ratio = ratioOf(service, priority);
  if (!ratio)
    return Duration::zero();
  return std::max(MinTimeout,
                  fromSeconds(toSeconds(expected) * ratio->timeout()));
}

Duration CallTimes::responseTimeout(const ServiceId &service) const {
  const auto found = Responses.find(service);
  if (found == Responses.end() || !found->second.isKnown())
    return Duration::zero();
  return std::max(MinTimeout, fromSeconds(found->second.timeout()));
}

} // namespace sorrelbay
