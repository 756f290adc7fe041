#pragma once

#include "LibServing/FleetClock.h"
#include "LibServing/FleetView.h"
#include "LibServing/ReplicaTable.h"
#include "LibServing/TeamRateLimiter.h"
#include "LibServing/UsageCounts.h"
#include <functional>
#include <map>
#include <set>

namespace sorrelbay {

/// One host's tables that other hosts' reports go into.
struct FleetTables {
  ReplicaTable &Replicas;
  EngineDemand &Demand;
  std::map<TeamId, TeamRateLimiter> &RateLimiters;
  UsageCounts &Usage;
  FleetClock &Time;
};

/// Puts what other hosts tell into this host's tables, each host's work once:
/// by its own report, or within the sum of its zone, or within that of all
/// other zones. Which of them it is changes when this host begins or ends to
/// aggregate for its zone, when the fleet grows large, and when hosts go. Not
/// thread-safe.
class FleetReportMerger {
public:
  /// Called when a source begins or ends to count.
  using SourceHook = std::function<void(const FleetReport &, bool counts)>;

  /// `processStartedAt` is when this host's process began.
  FleetReportMerger(
      FleetView &view, FleetTables tables, Instant processStartedAt,
      SourceHook onSource = [](const FleetReport &, bool) {});

  /// A report that the view has taken. `self` is this host as others know it.
  void take(const FleetReport &report, const FleetMember &self, Instant now);
  /// Looks anew whose reports count.
  void recount(const FleetMember &self, Instant now);
  /// Lets the teams' meters agree with those of other hosts; to be called a few
  /// times a second.
  void agree(Instant now);
  /// Puts this host's own work and use into its report.
  void fillOwnReport(FleetReport &report, Instant now) const;
  /// Puts the usage of the hosts that a sum covers into it.
  void fillUsage(FleetReport &sum) const;

private:
  void count(const FleetReport &report, Instant now);
  void drop(const SourceId &source);

  FleetView &View;
  FleetTables Tables;
  Instant ProcessStartedAt;
  SourceHook OnSource;
  /// Whose reports are in the tables.
  std::map<SourceId, FleetReport> Counted;
  bool HasCountedSum = false;
};

} // namespace sorrelbay
