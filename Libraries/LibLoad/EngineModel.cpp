#include "LibLoad/EngineModel.h"
#include <algorithm>
#include <cmath>

namespace sorrelbay {

/// The two prompts that the first belief is told by, in tokens.
static constexpr double ShortPrompt = 0;
static constexpr double LongPrompt = 4000;
/// Observations beyond these say nothing of an engine's speed.
static constexpr double MostTokens = 1e6;
static constexpr double LongestTook = 20000;
/// Milliseconds at the service's speed that each upstream is believed to have
/// taken before it was seen, and what older ones weigh with each new one.
static constexpr double UsualPaceWeight = 300;
static constexpr double PaceMemory = 0.8;

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
  Sums all = Past;
  const double weight = Settings.PriorWeight / 2;
  add(all, ShortPrompt, Settings.PriorBase, weight);
  add(all, LongPrompt, Settings.PriorBase + LongPrompt * Settings.PriorPerToken,
      weight);
  const double spread = all.N * all.Xx - all.X * all.X;
  if (spread <= 0)
    return;
  const double slope = (all.N * all.Xy - all.X * all.Y) / spread;
  PerToken = std::clamp(slope, Settings.LeastPerToken, Settings.MostPerToken);
  Base = std::clamp((all.Y - PerToken * all.X) / all.N, 0.0, Settings.MostBase);
}

/// The part of a finding that is still believed.
double EngineModel::leftOf(const Pace &pace, Instant now) const {
  const double age = toSeconds(std::max(now - pace.At, Duration::zero()));
  return std::exp2(-age / toSeconds(Settings.SlownessHalfLife));
}

void EngineModel::note(const UpstreamId &upstream, const FirstTokenSample &seen,
                       Instant now) {
  const auto tokens = static_cast<double>(seen.Tokens);
  const double took = toSeconds(seen.Took) * 1000;
  if (tokens < 0 || tokens > MostTokens || took < 0 || took > LongestTook)
    return;
  const double expected = Base + prefillTime(tokens);
  const double slowness = slownessOf(upstream, now);
  Pace &pace = Upstreams[upstream];
  const double left = leftOf(pace, now);
  pace.Took = PaceMemory * (pace.Expected + left * (pace.Took - pace.Expected));
  pace.Took += took;
  pace.Expected = PaceMemory * pace.Expected + expected;
  pace.At = now;
  for (double *it : {&Past.N, &Past.X, &Past.Y, &Past.Xx, &Past.Xy})
    *it *= Settings.Memory;
  // One that is slow says little of the others.
  add(Past, tokens, took, 1 / std::max(1.0, slowness * slowness));
  ++Seen;
  solve();
}

double EngineModel::slownessOf(const UpstreamId &upstream, Instant now) const {
  const auto it = Upstreams.find(upstream);
  if (it == Upstreams.end())
    return 1;
  const Pace &pace = it->second;
  const double found =
      (pace.Took + UsualPaceWeight) / (pace.Expected + UsualPaceWeight);
  return std::clamp(1 + (found - 1) * leftOf(pace, now), Settings.LeastSlowness,
                    Settings.MostSlowness);
}

} // namespace sorrelbay
