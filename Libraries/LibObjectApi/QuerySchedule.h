#pragma once

#include "LibBase/Time.h"
#include <optional>

namespace sorrelbay {

/// Why a host queries the store.
enum class QueryReason {
  /// It polls for all hosts.
  Polling,
  /// No changes were relayed to it for too long.
  Silence,
  /// What the relayed changes confirm is too old.
  Staleness,
  /// Its last call failed, and it tries whether the store is back.
  Probe,
  /// Its last call failed while the view was overdue.
  Retry,
  /// Relayed changes are missing.
  Gap,
};

/// The reason's name in logs.
const char *toText(QueryReason reason);

struct QueryScheduleSettings {
  /// The time without relayed changes after which a host queries the store
  /// itself, and the time between two probes of a store that can't be reached.
  Duration MaxSilence{};
  /// The age of the view beyond which a host queries the store itself although
  /// changes are being relayed.
  Duration MaxStaleness{};
};

/// What a host does with regard to the store at the moment.
struct QueryRole {
  /// Queries the store continuously for all hosts.
  bool IsPolling = false;
  /// Its last call did not reach the store.
  bool IsUnreached = false;
  /// Of this host's watchers, the one that probes whether the store is back.
  bool IsProber = false;
};

/// Decides when a host queries the store for one resource kind, from the times
/// of its queries and of the changes that other hosts relay to it.
class QuerySchedule {
public:
  explicit QuerySchedule(QueryScheduleSettings settings) : Settings(settings) {}

  /// A call to the store began.
  void noteQuery(Instant now) { LastQueryAt = now; }
  /// Relayed changes were received, or the store was queried in their place.
  void noteUpdate(Instant now) { LastUpdateAt = now; }
  /// The view contains all that the store held at that time.
  void noteConfirmed(Instant begun) { ConfirmedAt = begun; }

  /// A query failed.
  void noteFailure() { ++Failures; }
  /// A query succeeded, or another host relayed the result of one.
  void noteSuccess() { Failures = 0; }

  /// Why the store has to be queried now; empty if it need not be.
  std::optional<QueryReason> reasonToQuery(const QueryRole &role,
                                           Instant now) const;

  /// Whether a query that has just failed has to be repeated soon, by any
  /// watcher: the view is overdue, and a single failure may concern one
  /// connection only. A second one in a row indicates an outage, in which all
  /// hosts would repeat their queries.
  bool needsRetry(const QueryRole &role, Instant now) const;

  /// Queries that failed since the last success.
  int failures() const { return Failures; }
  Instant confirmedAt() const { return ConfirmedAt; }
  Duration viewAge(Instant now) const { return now - ConfirmedAt; }
  Duration updateAge(Instant now) const { return now - LastUpdateAt; }
  Duration queryAge(Instant now) const { return now - LastQueryAt; }

private:
  QueryScheduleSettings Settings;
  Instant LastUpdateAt{};
  Instant ConfirmedAt{};
  Instant LastQueryAt{};
  int Failures = 0;
};

} // namespace sorrelbay
