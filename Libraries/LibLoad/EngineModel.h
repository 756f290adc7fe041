#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>

namespace sorrelbay {

/// How long an upstream took to a first token, and for how much.
struct FirstTokenSample {
  /// Prompt tokens that it had to read until then: the call's own that weren't
  /// cached, and those of the calls ahead of it.
  std::int64_t Tokens = 0;
  /// From the send to the first byte.
  Duration Took{};
};

struct EngineModelSettings {
  /// What is believed before anything was seen: the time to the first token of
  /// an empty prompt, and what each prompt token adds, in milliseconds.
  double PriorBase = 40;
  double PriorPerToken = 0.01;
  /// Observations that this belief weighs as much as.
  double PriorWeight = 4;
  /// The weight that older observations keep with each new one.
  double Memory = 0.99;
  /// What is learned never leaves these ranges, in milliseconds.
  double LeastPerToken = 0.0005;
  double MostPerToken = 1;
  double MostBase = 500;
  /// Observations after which the estimate is relied on to turn calls away.
  int EnoughSeen = 10;
  /// How many times slower or faster than its service one upstream may be
  /// taken for.
  double MostSlowness = 8;
  double LeastSlowness = 0.5;
  /// An upstream that was found slow is tried again as the finding fades.
  Duration SlownessHalfLife = seconds(5);
};

/// What the engines of one service do, learned from their first tokens: how
/// long a prompt takes by its size, for the service as a whole by least squares
/// over past observations, and by how much each upstream differs from it.
/// Engines of another make are several times faster or slower, so that figures
/// in tokens that fit one are wrong for the next. Not thread-safe.
class EngineModel {
public:
  explicit EngineModel(EngineModelSettings settings = {});

  void note(const UpstreamId &upstream, const FirstTokenSample &seen,
            Instant now);
  void forget(const UpstreamId &upstream) { Upstreams.erase(upstream); }

  /// Milliseconds that reading so many prompt tokens takes at an upstream of
  /// usual speed.
  double prefillTime(double tokens) const { return PerToken * tokens; }
  /// By how much the upstream is slower than that.
  double slownessOf(const UpstreamId &upstream, Instant now) const;
  /// Milliseconds from the send to the first token, besides reading.
  double base() const { return Base; }
  /// Whether enough was seen to turn calls away by it.
  bool hasEnoughSamples() const { return Seen >= Settings.EnoughSeen; }

private:
  /// Decayed sums over observations: x is tokens, y milliseconds.
  struct Sums {
    double N = 0;
    double X = 0;
    double Y = 0;
    double Xx = 0;
    double Xy = 0;
  };
  /// What one upstream took, and what it would have taken at usual speed.
  struct Pace {
    double Took = 0;
    double Expected = 0;
    Instant At{};
  };

  static void add(Sums &sums, double x, double y, double weight);
  void solve();
  double leftOf(const Pace &pace, Instant now) const;

  EngineModelSettings Settings;
  Sums Past;
  double Base;
  double PerToken;
  int Seen = 0;
  std::map<UpstreamId, Pace> Upstreams;
};

} // namespace sorrelbay
