#pragma once

namespace sorrelbay {

/// Who asks for a retry.
enum class RetryLayer {
  /// The daemon that the caller speaks to.
  EntryHost,
  /// A daemon that another one forwarded the call to. It never retries: two
  /// layers that retry multiply the load of an outage.
  Forwarded,
};

/// Allows retries up to a tenth of the calls, so that an upstream's trouble
/// can't be doubled by the retries of its calls. Not thread-safe.
class RetryBudget {
public:
  /// Each call earns that share of a retry; at most so many are saved up for a
  /// burst.
  explicit RetryBudget(double share = 0.1, double maxBalance = 10)
      : RetryBudget(share, maxBalance, maxBalance) {}
  /// One that begins with so many saved up.
  RetryBudget(double share, double maxBalance, double saved)
      : Share(share), MaxBalance(maxBalance), Saved(saved) {}

  void noteCall();
  /// Changes how many may be saved up; what is saved beyond it is lost.
  void setMaxBalance(double maxBalance);
  /// Takes a retry out of the budget; false if there is none or the layer may
  /// not retry.
  bool takeRetry(RetryLayer layer);

private:
  double Share;
  double MaxBalance;
  double Saved;
};

} // namespace sorrelbay
