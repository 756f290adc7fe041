#include "LibDecision/RetryBudget.h"
#include <algorithm>

namespace sorrelbay {

void RetryBudget::noteCall() {
  Balance = std::min(MaxBalance, Balance + Share);
}

void RetryBudget::setMaxBalance(double maxBalance) {
  MaxBalance = maxBalance;
  Balance = std::min(MaxBalance, Balance);
}

bool RetryBudget::takeRetry(RetryLayer layer) {
  if (layer == RetryLayer::Forwarded || Balance < 1)
    return false;
  Balance -= 1;
  return true;
}

} // namespace sorrelbay
