#include "ReservedEngines.h"
#include "LibBase/LogLine.h"
#include <algorithm>

namespace sorrelbay {

void ReservedEngines::tick(Instant now) {
  if (!State.Plan)
    return;
  for (const ServingService &it : State.Plan->plan().Services)
    if (it.Engine)
      update(it, now);
}

/// The age of the oldest report among the hosts whose demand counts.
Duration ReservedEngines::oldestReportAge(Instant now) const {
  Duration oldest{};
  for (const auto &[host, it] : State.Fleet.members())
    if (State.Fleet.isAnswering(it, now))
      oldest = std::max(oldest, now - it.LastSeenAt);
  return oldest;
}

void ReservedEngines::update(const ServingService &service, Instant now) {
  ShortPromptLoad load;
  load.Hosts = State.Fleet.hostCount();
  load.Demand = State.ShortDemand.total(service.Name, now);
  const ReservedEngineCount count =
      State.Replicas.updateReserved(service.Name, load, now);
  if (!count.HasChanged)
    return;
  LogLine(Severity::Info, "reserved engines changed")
      .field("service", service.Name.text())
      .field("reserved", std::int64_t{count.Reserved})
      .field("needed", std::int64_t{count.Needed})
      .field("engines", std::int64_t{count.Engines})
      .field("hosts", std::int64_t{load.Hosts})
      .field("short_demand", load.Demand)
      .field("oldest_report_ms", toMilliseconds(oldestReportAge(now)));
}

} // namespace sorrelbay
