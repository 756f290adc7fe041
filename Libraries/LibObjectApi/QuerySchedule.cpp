#include "LibObjectApi/QuerySchedule.h"

namespace sorrelbay {

const char *toText(QueryReason reason) {
  switch (reason) {
  case QueryReason::Polling:
    return "polling";
  case QueryReason::Silence:
    return "silence";
  case QueryReason::Staleness:
    return "staleness";
  case QueryReason::Probe:
    return "probe";
  case QueryReason::Retry:
    return "retry";
  case QueryReason::Gap:
    return "gap";
  }
  return "";
}

bool QuerySchedule::needsRetry(const QueryRole &role, Instant now) const {
  const bool isOverdue = updateAge(now) > Settings.MaxSilence ||
                         viewAge(now) > Settings.MaxStaleness;
  return !role.IsPolling && Failures == 1 && isOverdue;
}

std::optional<QueryReason> QuerySchedule::reasonToQuery(const QueryRole &role,
                                                        Instant now) const {
  if (role.IsPolling)
    return QueryReason::Polling;
  // While this host can't reach the store, others may relay changes, and one
  // watcher probes the store periodically.
  if (role.IsUnreached) {
    if (role.IsProber && queryAge(now) > Settings.MaxSilence)
      return QueryReason::Probe;
    return std::nullopt;
  }
  if (updateAge(now) > Settings.MaxSilence)
    return QueryReason::Silence;
  if (viewAge(now) > Settings.MaxStaleness)
    return QueryReason::Staleness;
  return std::nullopt;
}

} // namespace sorrelbay
