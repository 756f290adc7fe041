#pragma once

#include "LibBase/Time.h"

namespace sorrelbay {

/// Measures how fast a service works its calls off while it is busy, and how
/// long a started call takes. Old measurements fade.
class DrainRate {
public:
  DrainRate(double initialRate, Duration initialResponseTime);

  /// The service was busy, with every place taken, for that long.
  void noteBusyTime(Duration span);
  /// A call of that cost was over while the service was busy.
  void noteCompletedCost(double cost) { Work += cost; }
  /// A call took that long from its start to its first token, or its answer.
  void noteResponseTime(Duration hold);

  /// Cost a second.
  double rate() const;
  /// The time a started call takes, with that many mean deviations on top.
  Duration hold(double deviations) const;

private:
  /// What the first guess weighs beside measurements.
  static constexpr double InitialBusySeconds = 1;

  double Work;
  double BusySeconds = InitialBusySeconds;
  double MeanResponseTime;
  double ResponseTimeDeviation;
};

} // namespace sorrelbay
