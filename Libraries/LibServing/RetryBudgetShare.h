#pragma once

#include <algorithm>
#include <cstdint>

namespace sorrelbay {

/// One host's share of the retry budget, which is common to all hosts.
struct RetryBudgetShare {
  /// Retries that each call adds to the balance.
  double Share = 0;
  /// Retries that a new process starts with.
  double Begin = 1;
  /// The maximum number of retries that may accumulate.
  double MaxBalance = 0;
};

/// The share of each of `hosts` hosts in a budget of `share` retries per call
/// plus `slack`. Only part of `share` is used, because calls that arrive just
/// before the end of a window are retried in the next one. Each host may
/// accumulate half of its part of the slack, so that the total stays within the
/// slack while hosts join and leave, but always at least one retry. A new
/// process starts with one retry, and its calls add the others: hosts that
/// start together don't know of each other yet, and each would otherwise start
/// with the slack of the whole fleet.
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
