#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace sorrelbay {

/// The alternative hypotheses: the version's odds of a bad call are these
/// multiples of the old version's odds.
constexpr std::array<double, 4> OddsRatios = {2.5, 5, 20, 150};
/// Weight of each alternative in the mixture; the weights add up to 1.
constexpr std::array<double, 4> OddsWeights = {0.2, 0.45, 0.25, 0.1};

/// For each alternative the log likelihood ratio against the hypothesis "no
/// worse than the old version".
using LogRatios = std::array<double, OddsRatios.size()>;

/// The log likelihood ratios for the given numbers of calls and of bad calls
/// among them, where a call to the old version is bad with probability
/// `oldRate`.
LogRatios logRatiosOf(std::uint64_t calls, std::uint64_t bad, double oldRate);

/// The log likelihood ratio of one alternative rate against the old one.
double logRatioOf(std::uint64_t calls, std::uint64_t bad, double oldRate,
                  double newRate);

LogRatios operator+(const LogRatios &a, const LogRatios &b);
LogRatios operator*(double factor, const LogRatios &ratios);

/// A mixture sequential probability ratio test in which the fault may begin at
/// any interval. A version that turns bad after thousands of good calls is
/// found about as fast as one that was bad from the start, because good calls
/// before the change do not count against later bad ones. The value is an
/// e-value: for a version that is no worse than the old one it ever exceeds x
/// with a probability of at most about 1/x, however often it is evaluated.
class SequentialTest {
public:
  /// Ends the interval that began at the previous call.
  void closeInterval(const LogRatios &interval);

  /// The value including the interval that is still open.
  double value(const LogRatios &open) const;

private:
  // Sum over all intervals at which the fault may have begun: the weight of
  // that start times the likelihood ratio since then.
  LogRatios Sums{};
  std::uint64_t Intervals = 0;

  double startWeight() const;
};

} // namespace sorrelbay
