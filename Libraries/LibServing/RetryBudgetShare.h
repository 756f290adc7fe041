#pragma once

#include <algorithm>
#include <cstdint>

namespace sorrelbay {

/// One host's part of the budget for repeated sends, which is one for all
/// hosts.
struct RetryBudgetShare {
  /// Repeats that each call earns.
  double Share = 0;
  /// Repeats that a new process begins with.
  double Begin = 1;
  /// Repeats that may be saved up.
  double MaxBalance = 0;
};

/// The part of each of so many hosts in a budget of `share` repeats a call and
/// `slack` besides. The share is not used up: calls that come just before a
/// window's end are repeated in the next one. Each host may save up half of its
/// part of the slack, so that the sum stays below while hosts come and go, and
/// one repeat however many hosts there are. All but one is earned by calls:
/// hosts that start together know of no others yet, and each would begin with
/// the slack of the whole fleet.
inline RetryBudgetShare retryBudgetShare(double share, std::int64_t slack,
                                         int hosts) {
  constexpr double UsedShare = 0.7;
  constexpr double UsedSlack = 0.5;
  RetryBudgetShare part;
  part.Share = share * UsedShare;
  part.MaxBalance = std::max(1.0, UsedSlack * static_cast<double>(slack) /
                                      std::max(1, hosts));
  return part;
}

} // namespace sorrelbay
