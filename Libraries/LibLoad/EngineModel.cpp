#include "LibLoad/EngineModel.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

/// Sizes of the two prompts that stand for the prior estimate in the least
/// squares, in tokens.
static constexpr double ShortPrompt = 0;
static constexpr double LongPrompt = 4000;
/// Observations with more tokens than this, or with a longer time in
/// milliseconds, are implausible and ignored.
static constexpr double MaxSampleTokens = 1e6;
static constexpr double MaxSampleTime = 20000;
/// Weight of the usual speed in an upstream's slowness, in milliseconds.
static constexpr double UsualSpeedWeight = 300;
/// Factor by which each new observation reduces the weight of an upstream's
/// older ones.
static constexpr double SlownessDecayFactor = 0.8;

EngineModel::EngineModel(EngineModelSettings settings)
    : Settings(settings), Base(settings.PriorBase),
      PerToken(settings.PriorPerToken) {}

void EngineModel::add(Sums &sums, double x, double y, double weight) {
  sums.N += weight;
  sums.X += weight * x;
  sums.Y += weight * y;
  sums.Xx += weight * x * x;
  sums.Xy += weight * x * y;
}

void EngineModel::solve() {
  Sums all = DecayedSums;
  const double weight = Settings.PriorWeight / 2;
  add(all, ShortPrompt, Settings.PriorBase, weight);
  add(all, LongPrompt, Settings.PriorBase + LongPrompt * Settings.PriorPerToken,
      weight);
  const double determinant = all.N * all.Xx - all.X * all.X;
  if (determinant <= 0)
    return;
  const double slope = (all.N * all.Xy - all.X * all.Y) / determinant;
  PerToken = std::clamp(slope, Settings.MinPerToken, Settings.MaxPerToken);
  Base = std::clamp((all.Y - PerToken * all.X) / all.N, 0.0, Settings.MaxBase);
}

/// The share of an upstream's measured slowness that remains after its decay.
double EngineModel::remainingShare(const UpstreamTiming &timing,
                                   Instant now) const {
  const double age = toSeconds(std::max(now - timing.At, Duration::zero()));
  return std::exp2(-age / toSeconds(Settings.SlownessHalfLife));
}

void EngineModel::note(const UpstreamId &upstream,
                       const FirstTokenSample &observed, Instant now) {
  const auto tokens = static_cast<double>(observed.Tokens);
  const double took = toSeconds(observed.Took) * 1000;
  if (tokens < 0 || tokens > MaxSampleTokens || took < 0 ||
      took > MaxSampleTime)
    return;
  const double expected = Base + prefillTime(tokens);
  const double slowness = slownessOf(upstream, now);
  UpstreamTiming &timing = Upstreams[upstream];
  const double remainingWeight = remainingShare(timing, now);
  timing.Took =
      SlownessDecayFactor *
      (timing.Expected + remainingWeight * (timing.Took - timing.Expected));
  timing.Took += took;
  timing.Expected = SlownessDecayFactor * timing.Expected + expected;
  timing.At = now;
  for (double *it : {&DecayedSums.N, &DecayedSums.X, &DecayedSums.Y,
                     &DecayedSums.Xx, &DecayedSums.Xy})
    *it *= Settings.DecayFactor;
  // A slow upstream is little evidence of the speed of the others.
  add(DecayedSums, tokens, took, 1 / std::max(1.0, slowness * slowness));
  ++Observations;
  solve();
}

double EngineModel::slownessOf(const UpstreamId &upstream, Instant now) const {
  const auto it = Upstreams.find(upstream);
  if (it == Upstreams.end())
    return 1;
  const UpstreamTiming &timing = it->second;
  const double measuredSlowness =
      (timing.Took + UsualSpeedWeight) / (timing.Expected + UsualSpeedWeight);
  return std::clamp(1 + (measuredSlowness - 1) * remainingShare(timing, now),
                    Settings.MinSlowness, Settings.MaxSlowness);
}

} // namespace sorrelbay
