#include "CallSend.h"

namespace sorrelbay {

WatchedEnd CallSend::watchedEnd(SendResult result) const {
  if (result == SendResult::Answered)
    return WatchedEnd::Answered;
  if (result == SendResult::Broken && HasBrokenOff)
    return WatchedEnd::BrokenOff;
  const bool isGivenUp =
      result == SendResult::Broken || result == SendResult::Inconclusive;
  return isGivenUp ? WatchedEnd::GivenUp : WatchedEnd::Other;
}

} // namespace sorrelbay
