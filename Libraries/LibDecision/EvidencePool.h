#pragma once

#include "LibDecision/Evidence.h"
#include <map>
#include <set>

namespace sorrelbay {

/// The outcome of one call to an upstream, as it counts for its version.
enum class UpstreamOutcome {
  /// Answered within the route's latency target.
  Good,
  /// Answered, but later than the route's latency target.
  Late,
  /// Not answered, or answered wrongly, because of the upstream.
  Failed,
};

/// The source of a set of counters: one incarnation of the daemon on one host.
/// A restarted daemon counts from zero under a new incarnation, so that its
/// smaller counters never replace those of its predecessor.
struct EvidenceSource {
  HostId Host;
  IncarnationId Incarnation;

  friend bool operator==(const EvidenceSource &a, const EvidenceSource &b) {
    return std::tie(a.Host, a.Incarnation) == std::tie(b.Host, b.Incarnation);
  }
  friend bool operator<(const EvidenceSource &a, const EvidenceSource &b) {
    return std::tie(a.Host, a.Incarnation) < std::tie(b.Host, b.Incarnation);
  }
};

/// The counters of one source.
using EvidenceCounts = std::map<EvidenceKey, EvidenceCount>;

/// The evidence of all entry hosts, as far as it has reached this host. The
/// pool is a state-based CRDT: counters of one source merge by maximum, so that
/// lost, late, repeated and reordered messages do no harm.
class EvidencePool {
public:
  /// Counts one call of this daemon.
  void record(const EvidenceSource &self, const EvidenceKey &key,
              UpstreamOutcome outcome);

  /// Merges another daemon's pool. Returns true if any counter grew.
  bool merge(const EvidencePool &other);

  /// Merges one counter. Returns true if it grew.
  bool mergeCount(const EvidenceSource &source, const EvidenceKey &key,
                  const EvidenceCount &count);

  /// The sum over all sources.
  EvidenceCount total(const EvidenceKey &key) const;

  /// Drops the counters of all other versions, so that the pool does not grow
  /// with every rollout.
  void keepOnly(const std::set<VersionId> &versions);

  /// Every source with its counters.
  const std::map<EvidenceSource, EvidenceCounts> &sources() const {
    return Sources;
  }

  friend bool operator==(const EvidencePool &a, const EvidencePool &b) {
    return a.Sources == b.Sources;
  }

private:
  std::map<EvidenceSource, EvidenceCounts> Sources;
  // Sums over all sources, so that the cost of a lookup does not depend on the
  // number of hosts.
  EvidenceCounts Totals;
};

} // namespace sorrelbay
