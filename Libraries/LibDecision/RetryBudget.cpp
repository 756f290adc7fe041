#include "LibDecision/RetryBudget.h"
#include <algorithm>

namespace sorrelbay {

void RetryBudget::noteCall() { Saved = std::min(MostSaved, Saved + Share); }

void RetryBudget::limitSaved(double mostSaved) {
  MostSaved = mostSaved;
  Saved = std::min(MostSaved, Saved);
}

bool RetryBudget::takeRetry(RetryLayer layer) {
  if (layer == RetryLayer::Forwarded || Saved < 1)
    return false;
  Saved -= 1;
  return true;
}

} // namespace sorrelbay
