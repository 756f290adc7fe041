#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>
#include <map>

namespace sorrelbay {

/// A measured time to first token, and the tokens that were prefilled in it.
struct FirstTokenSample {
  /// Prompt tokens that the upstream prefilled until then: the call's own that
  /// were not cached, and those of the calls queued ahead of it.
  std::int64_t Tokens = 0;
  /// Time from the send to the first byte.
  Duration Took{};
};

struct EngineModelSettings {
  /// Prior estimate of the time to first token of an empty prompt, in
  /// milliseconds.
  double PriorBase = 40;
  /// Prior estimate of the time that each prompt token adds, in milliseconds.
  double PriorPerToken = 0.01;
  /// Weight of the prior estimate, in observations.
  double PriorWeight = 4;
  /// Factor by which each new observation reduces the weight of older ones, 0
  /// to 1.
  double DecayFactor = 0.99;
  /// Lower bound of the estimated time for each prompt token, in milliseconds.
  double MinPerToken = 0.0005;
  /// Upper bound of the estimated time for each prompt token, in milliseconds.
  double MaxPerToken = 1;
  /// Upper bound of the estimated time for an empty prompt, in milliseconds.
  double MaxBase = 500;
  /// Observations after which calls may be rejected by the estimate.
  int MinObservations = 10;
  /// Upper bound of an upstream's slowness, as a multiple of its service's
  /// usual time.
  double MaxSlowness = 8;
  /// Lower bound of an upstream's slowness, as a multiple of its service's
  /// usual time.
  double MinSlowness = 0.5;
  /// Half-life of an upstream's measured slowness: as it decays, a slow
  /// upstream gets calls again.
  Duration SlownessHalfLife = seconds(5);
};

/// Latency model of one service's engines, learned from their times to first
/// token: the prefill time by prompt size for the service as a whole, by least
/// squares over past observations, and each upstream's slowness relative to it.
/// Engines of different types differ in speed by factors, so that limits in
/// tokens that fit one type are wrong for the next. Not thread-safe.
class EngineModel {
public:
  explicit EngineModel(EngineModelSettings settings = {});

  void note(const UpstreamId &upstream, const FirstTokenSample &observed,
            Instant now);
  void forget(const UpstreamId &upstream) { Upstreams.erase(upstream); }

  /// Time to prefill `tokens` prompt tokens at an upstream of usual speed, in
  /// milliseconds.
  double prefillTime(double tokens) const { return PerToken * tokens; }
  /// The upstream's time as a multiple of the usual one; 1 until it is
  /// measured.
  double slownessOf(const UpstreamId &upstream, Instant now) const;
  /// Time from the send to the first token without prefill, in milliseconds.
  double base() const { return Base; }
  /// Whether there are enough observations to reject calls by the estimate.
  bool hasEnoughSamples() const {
    return Observations >= Settings.MinObservations;
  }

private:
  /// Decayed sums over observations: x is tokens, y milliseconds.
  struct Sums {
    double N = 0;
    double X = 0;
    double Y = 0;
    double Xx = 0;
    double Xy = 0;
  };
  /// Decayed sums of one upstream's measured times and of the times expected at
  /// usual speed, in milliseconds.
  struct UpstreamTiming {
    double Took = 0;
    double Expected = 0;
    Instant At{};
  };

  static void add(Sums &sums, double x, double y, double weight);
  void solve();
  double remainingShare(const UpstreamTiming &timing, Instant now) const;

  EngineModelSettings Settings;
  Sums DecayedSums;
  double Base;
  double PerToken;
  int Observations = 0;
  std::map<UpstreamId, UpstreamTiming> Upstreams;
};

} // namespace sorrelbay
