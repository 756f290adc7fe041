#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// Estimates the cost that a service completes per second while it is busy, and
/// the response time of a started call. Measurements decay exponentially.
class DrainRate {
public:
  DrainRate(double initialRate, Duration initialResponseTime);

  /// Records a time span during which every call slot of the service was in
  /// use.
  void noteBusyTime(Duration span);
  /// Records a call of the given cost that finished while the service was busy.
  void noteCompletedCost(double cost) { CompletedCost += cost; }
  /// Records the time from a call's start to its first token or its answer.
  void noteResponseTime(Duration responseTime);

  /// Cost per second.
  double rate() const;
  /// The mean response time plus the given number of mean deviations.
  Duration responseTime(double deviations) const;

private:
  /// Weight of the initial rate, in busy seconds.
  static constexpr double InitialBusySeconds = 1;

  double CompletedCost;
  double BusySeconds = InitialBusySeconds;
  double MeanResponseTime;
  double ResponseTimeDeviation;
};

} // namespace sorrelbay
