#pragma once

namespace sorrelbay {

/// The mean of a measured quantity and its mean deviation, both exponentially
/// weighted with the gains that TCP uses for round-trip times (RFC 6298). Not
/// thread-safe.
class RunningEstimate {
public:
  /// Adds a measured value. Values that are negative or not finite are ignored.
  void note(double value);

  /// Whether there are enough values to decide by the estimate.
  bool isKnown() const;
  double mean() const { return Mean; }
  double deviation() const { return Deviation; }
  /// What nearly all values stay below: the mean and two deviations.
  double upperBound() const;
  /// When a value that is still outstanding is no longer to be expected: the
  /// mean and four deviations, as for TCP's retransmission timeout, and at
  /// least twice the mean.
  double timeout() const;

private:
  double Mean = 0;
  double Deviation = 0;
  int Count = 0;
};

} // namespace sorrelbay
