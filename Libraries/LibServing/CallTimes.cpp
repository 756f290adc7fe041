#include "LibServing/CallTimes.h"
#include <algorithm>

namespace sorrelbay {

/// Bounds of one measured ratio: an engine that has stopped shows nothing about
/// the others.
static constexpr double MinRatio = 0.25;
static constexpr double MaxRatio = 4;
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
  Outputs[service].Tokens.note(static_cast<double>(tokens));
  Outputs[service].Took.note(toSeconds(took));
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

Duration CallTimes::output(const ServiceId &service,
                           std::int64_t tokens) const {
  const auto found = Outputs.find(service);
  if (found == Outputs.end() || !found->second.Took.isKnown())
    return Duration::zero();
  const OutputEstimate &estimate = found->second;
  return fromSeconds(estimate.Took.mean() / estimate.Tokens.mean() *
                     static_cast<double>(tokens));
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
