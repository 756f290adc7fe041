#pragma once

#include "LibServing/FleetClock.h"
#include "LibServing/FleetView.h"
#include "LibServing/PromptQuarantine.h"
#include "LibServing/ReplicaTable.h"
#include "LibServing/TeamRateLimiter.h"
#include "LibServing/UsageCounts.h"
#include <functional>
#include <map>
#include <set>

namespace sorrelbay {

/// The tables of one host that other hosts' reports are merged into.
struct FleetTables {
  ReplicaTable &Replicas;
  EngineDemand &Demand;
  std::map<TeamId, TeamRateLimiter> &RateLimiters;
  UsageCounts &Usage;
  FleetClock &Time;
  PromptQuarantine &Quarantine;
  EngineDemand &ShortDemand;
};

/// Merges the reports of other hosts into this host's tables so that each
/// host's work is counted once: by its own report, by its zone's sum, or by the
/// sum over all other zones. Which of these is used changes when this host
/// becomes or stops being an aggregator, when the fleet grows beyond a full
/// mesh, and when hosts disappear. Not thread-safe.
class FleetReportMerger {
public:
  /// Called when a source starts or stops being counted.
  using SourceHook = std::function<void(const FleetReport &, bool counts)>;

  /// `processStartedAt` is when this host's process started.
  FleetReportMerger(
      FleetView &view, FleetTables tables, Instant processStartedAt,
      SourceHook onSource = [](const FleetReport &, bool) {});

  /// Merges a report that the view has accepted. `self` is this host as its
  /// peers know it.
  void take(const FleetReport &report, const FleetMember &self, Instant now);
  /// Determines again which sources are counted.
  void recount(const FleetMember &self, Instant now);
  /// How often that was determined.
  int recounts() const { return Recounts; }
  /// Moves the levels of the teams' rate limiters towards those of other hosts;
  /// to be called a few times a second.
  void converge(Instant now);
  /// Fills this host's own work and usage into its report, and what it knows of
  /// crashes if that has changed or was not reported for a while.
  void fillOwnReport(FleetReport &report, Instant now);
  /// Fills the usage of the hosts that a sum covers into it.
  void fillUsage(FleetReport &sum) const;

private:
  void applyReport(const FleetReport &report, Instant now);
  void removeSource(const SourceId &source);

  FleetView &View;
  FleetTables Tables;
  Instant ProcessStartedAt;
  SourceHook OnSource;
  /// The sources whose reports are in the tables.
  std::map<SourceId, FleetReport> CountedReports;
  /// The sources that were not counted when it was last determined which are.
  std::set<SourceId> UncountedSources;
  bool HasCountedSum = false;
  int Recounts = 0;
  /// What was last reported of crashes, and when.
  std::uint64_t ReportedCrashRevision = 0;
  Instant CrashesReportedAt{};
};

} // namespace sorrelbay
