#include "CallSend.h"

namespace sorrelbay {

static constexpr Duration OnceOnlyIdleTime = seconds(1);
static constexpr Duration DefaultIdleTime = seconds(3);

bool isResponseTo(const std::string &callId, const UpstreamReplyInfo &replyInfo,
                  bool isFirstOnConnection) {
  if (replyInfo.Id.empty())
    return callId.empty() || isFirstOnConnection;
  return replyInfo.Id == callId;
}

bool isRejectionOf(const std::string &callId,
                   const UpstreamReplyInfo &replyInfo) {
  return replyInfo.DidNotRun && replyInfo.Id == callId;
}

Duration longestIdleTime(Repeatability kind) {
  return kind == Repeatability::NonIdempotent ? OnceOnlyIdleTime
                                              : DefaultIdleTime;
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
