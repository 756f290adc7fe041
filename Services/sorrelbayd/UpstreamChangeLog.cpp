#include "UpstreamChangeLog.h"
#include "LibBase/LogLine.h"

namespace sorrelbay {

static constexpr Duration LeftOutInterval = seconds(1);

bool UpstreamChangeLog::take(bool isFleetLeader, Instant now) {
  return (isFleetLeader ? LeaderBudget : OwnBudget).take(now);
}

bool UpstreamChangeLog::noteState(const ReplicaRecord &record,
                                  std::uint64_t revision, bool isFleetLeader,
                                  Instant now, const OutstandingWork &open) {
  if (!take(isFleetLeader, now))
    return false;
  LogLine(Severity::Info,
          record.IsLeaving ? "upstream leaves" : "upstream ready")
      .field("upstream", record.Id.text())
      .field("service", record.OfService.text())
      .field("address", record.Address)
      .field("zone", record.InZone.text())
      .field("cold_ms", toMilliseconds(record.ColdDuration))
      .field("open_calls", static_cast<std::int64_t>(open.Calls))
      .field("open_prompt_tokens", open.PromptTokens)
      .field("revision", static_cast<std::int64_t>(revision));
  return true;
}

bool UpstreamChangeLog::noteGone(const UpstreamId &id, bool isFleetLeader,
                                 Instant now, const OutstandingWork &open) {
  if (!take(isFleetLeader, now))
    return false;
  LogLine(Severity::Info, "upstream gone")
      .field("upstream", id.text())
      .field("open_calls", static_cast<std::int64_t>(open.Calls))
      .field("open_prompt_tokens", open.PromptTokens);
  return true;
}

void UpstreamChangeLog::logLeftOut(Instant now) {
  if (now - LeftOutLoggedAt < LeftOutInterval)
    return;
  LeftOutLoggedAt = now;
  const std::int64_t leftOut =
      OwnBudget.takeSuppressedCount() + LeaderBudget.takeSuppressedCount();
  if (leftOut != 0)
    LogLine(Severity::Info, "upstream changes not logged")
        .field("changes", leftOut);
}

} // namespace sorrelbay
