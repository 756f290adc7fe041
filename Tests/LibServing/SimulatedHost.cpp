#include "SimulatedHost.h"

namespace sorrelbay {

static constexpr Duration UsageWindow = seconds(5);

void SimulatedHost::startProcess(const std::vector<FleetMember> &registered,
                                 std::uint64_t number, Instant now) {
  IsDown = false;
  ProcessStartedAt = now;
  Sequence = 0;
  Incarnation =
      IncarnationId(Member.Host.text() + "/" + std::to_string(number));
  View = std::make_unique<FleetView>(
      FleetViewSettings{Member.Host, Member.Zone, now});
  View->noteRegistered(registered);
  Replicas = std::make_unique<ReplicaTable>();
  Demand = std::make_unique<EngineDemand>();
  RateLimiters.clear();
  Usage = std::make_unique<UsageCounts>(Incarnation, Member.Zone, UsageWindow);
  Time = std::make_unique<FleetClock>(now, now);
  ReportMerger = std::make_unique<FleetReportMerger>(
      *View, FleetTables{*Replicas, *Demand, RateLimiters, *Usage, *Time}, now);
}

FleetReport SimulatedHost::nextReport(Instant now) {
  FleetReport own;
  own.Reporter = Member.Host;
  own.Zone = Member.Zone;
  own.Incarnation = Incarnation;
  own.Sequence = ++Sequence;
  own.Uptime = now - ProcessStartedAt;
  own.SentAt = now.time_since_epoch().count();
  own.FleetTimeMs = toEpochMilliseconds(now);
  own.Members = {Member};
  ReportMerger->fillOwnReport(own, now);
  View->noteOwn(own, now);
  return own;
}

bool SimulatedHost::sendsSums(Instant now) const {
  return View->isAggregatedByZone() && View->aggregates(Member, now);
}

FleetMember simulatedMember(int number, int zones) {
  FleetMember out;
  out.Host = HostId("h" + std::to_string(100 + number));
  out.Zone = ZoneId("z" + std::to_string(number % zones));
  out.PeerAddress = out.Host.text();
  out.IsReady = true;
  out.Capacity = number % 5 == 0 ? 2 : 1;
  return out;
}

} // namespace sorrelbay
