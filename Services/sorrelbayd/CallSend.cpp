#include "CallSend.h"

namespace sorrelbay {

bool isResponseTo(const std::string &callId, const UpstreamReplyInfo &replyInfo,
                  bool isFirstOnConnection) {
  if (replyInfo.Id.empty())
    return callId.empty() || isFirstOnConnection;
  return replyInfo.Id == callId;
}

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
