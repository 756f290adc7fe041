#pragma once

namespace sorrelbay {

/// The layer that requests a retry.
enum class RetryLayer {
  /// The daemon that the caller is connected to.
  EntryHost,
  /// A daemon that received the call from another daemon. It never retries,
  /// since two layers of retries multiply the load during an outage.
  Forwarded,
};

/// A retry budget: each call adds a share of a retry, one tenth by default, so
/// that retries cannot multiply the load on a failing upstream. Not
/// thread-safe.
class RetryBudget {
public:
  /// Each call adds `share` to the balance, which is capped at the given
  /// maximum. The balance starts at that maximum.
  explicit RetryBudget(double share = 0.1, double maxBalance = 10)
      : RetryBudget(share, maxBalance, maxBalance) {}
  /// Starts with the given balance.
  RetryBudget(double share, double maxBalance, double balance)
      : Share(share), MaxBalance(maxBalance), Balance(balance) {}

  void noteCall();
  /// Changes the cap of the balance and discards what exceeds it.
  void setMaxBalance(double maxBalance);
  /// Takes one retry out of the balance. Returns false if the balance is below
  /// 1 or the layer may not retry.
  bool takeRetry(RetryLayer layer);

private:
  double Share;
  double MaxBalance;
  double Balance;
};

} // namespace sorrelbay
