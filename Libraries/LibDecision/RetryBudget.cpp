#include "LibDecision/RetryBudget.h"
#include <algorithm>

namespace sorrelbay {

void RetryBudget::noteCall() { Saved = std::min(MaxBalance, Saved + Share); }

void RetryBudget::setMaxBalance(double maxBalance) {
  MaxBalance = maxBalance;
  Saved = std::min(MaxBalance, Saved);
}

bool RetryBudget::takeRetry(RetryLayer layer) {
  if (layer == RetryLayer::Forwarded || Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

} // namespace sorrelbay
