#include "LibDecision/EvidencePool.h"
#include <algorithm>

namespace sorrelbay {

static void add(EvidenceCount &sum, const EvidenceCount &now,
                const EvidenceCount &before) {
  sum.Calls += now.Calls - before.Calls;
  sum.Failures += now.Failures - before.Failures;
  sum.Late += now.Late - before.Late;
}

void EvidencePool::record(const EvidenceSource &self, const EvidenceKey &key,
                          UpstreamOutcome outcome) {
  EvidenceCount count = Sources[self][key];
  ++count.Calls;
  if (outcome == UpstreamOutcome::Failed)
    ++count.Failures;
  if (outcome == UpstreamOutcome::Late)
    ++count.Late;
  mergeCount(self, key, count);
}

bool EvidencePool::mergeCount(const EvidenceSource &source,
                              const EvidenceKey &key,
                              const EvidenceCount &count) {
  EvidenceCount &known = Sources[source][key];
  const EvidenceCount before = known;
  known.Calls = std::max(known.Calls, count.Calls);
  known.Failures = std::max(known.Failures, count.Failures);
  known.Late = std::max(known.Late, count.Late);
  if (known == before)
    return false;
  add(Totals[key], known, before);
  return true;
}

bool EvidencePool::merge(const EvidencePool &other) {
  bool hasGrown = false;
  for (const auto &[source, counts] : other.Sources)
    for (const auto &[key, count] : counts)
      hasGrown |= mergeCount(source, key, count);
  return hasGrown;
}

EvidenceCount EvidencePool::total(const EvidenceKey &key) const {
  const auto it = Totals.find(key);
  return it == Totals.end() ? EvidenceCount{} : it->second;
}

/// Drops the counters of versions that are not in the set.
static void dropOthers(EvidenceCounts &counts,
                       const std::set<VersionId> &versions) {
  for (auto it = counts.begin(); it != counts.end();)
    it = versions.count(it->first.Version) == 0 ? counts.erase(it)
                                                : std::next(it);
}

void EvidencePool::keepOnly(const std::set<VersionId> &versions) {
  dropOthers(Totals, versions);
  for (auto it = Sources.begin(); it != Sources.end();) {
    dropOthers(it->second, versions);
    it = it->second.empty() ? Sources.erase(it) : std::next(it);
  }
}

} // namespace sorrelbay
