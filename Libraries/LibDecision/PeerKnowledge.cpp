#include "LibDecision/PeerKnowledge.h"
#include "LibBase/Invariant.h"
#include <tuple>

namespace sorrelbay {

bool operator<(const BundleMark &a, const BundleMark &b) {
  // Two operators may have signed different bundles with one generation. The
  // object API commits only one of them, but without a total order two daemons
  // could keep different ones.
  return std::tie(a.Generation, a.Signed) < std::tie(b.Generation, b.Signed);
}

bool isNewer(const HostReport &a, const HostReport &b) {
  return std::tie(a.StartedAt, a.Sequence) > std::tie(b.StartedAt, b.Sequence);
}

static bool mergeBundle(BundleMark &into, const BundleMark &from) {
  if (!(into < from))
    return false;
  const std::uint64_t before = into.Generation;
  into = from;
  verifyInvariant(into.Generation >= before, "bundle-never-reverts",
                  "a merge lowered the bundle's generation");
  return true;
}

static bool mergeHost(std::map<HostId, HostReport> &into, const HostId &host,
                      const HostReport &report) {
  const auto [it, isNew] = into.emplace(host, report);
  if (isNew)
    return true;
  if (!isNewer(report, it->second))
    return false;
  it->second = report;
  return true;
}

static bool mergeLeaving(LeavingTimes &into, const UpstreamId &upstream,
                         Instant until) {
  Instant &known = into[upstream];
  if (known >= until)
    return false;
  known = until;
  return true;
}

bool merge(PeerKnowledge &into, const PeerKnowledge &from) {
  bool isChanged = mergeBundle(into.Bundle, from.Bundle);
  for (const auto &[upstream, until] : from.Leaving)
    isChanged |= mergeLeaving(into.Leaving, upstream, until);
  for (const auto &[host, report] : from.Hosts)
    isChanged |= mergeHost(into.Hosts, host, report);
  isChanged |= merge(into.Rollout, from.Rollout);
  return isChanged;
}

static bool isCovered(const EvidenceCount &mine, const EvidenceCount &theirs) {
  return mine.Calls <= theirs.Calls && mine.Failures <= theirs.Failures &&
         mine.Late <= theirs.Late;
}

static EvidenceCount countOf(const EvidencePool &pool,
                             const EvidenceSource &source,
                             const EvidenceKey &key) {
  const auto counts = pool.sources().find(source);
  if (counts == pool.sources().end())
    return {};
  const auto it = counts->second.find(key);
  return it == counts->second.end() ? EvidenceCount{} : it->second;
}

static RolloutKnowledge deltaFor(const RolloutKnowledge &mine,
                                 const RolloutKnowledge &theirs) {
  RolloutKnowledge difference;
  // Only the merge decides which of two vetoes or stages wins, so test whether
  // merging changes the peer's entry.
  for (const auto &[version, veto] : mine.Vetoes) {
    RolloutKnowledge known;
    if (const auto it = theirs.Vetoes.find(version); it != theirs.Vetoes.end())
      known.Vetoes.insert(*it);
    if (addVeto(known, veto))
      difference.Vetoes.emplace(version, veto);
  }
  for (const auto &[version, mark] : mine.Stages) {
    RolloutKnowledge known;
    if (const auto it = theirs.Stages.find(version); it != theirs.Stages.end())
      known.Stages.insert(*it);
    if (raiseStage(known, version, mark))
      difference.Stages.emplace(version, mark);
  }
  for (const auto &[source, counts] : mine.Evidence.sources())
    for (const auto &[key, count] : counts)
      if (!isCovered(count, countOf(theirs.Evidence, source, key)))
        difference.Evidence.mergeCount(source, key, count);
  return difference;
}

PeerKnowledge deltaFor(const PeerKnowledge &mine, const PeerKnowledge &theirs) {
  PeerKnowledge difference;
  if (theirs.Bundle < mine.Bundle)
    difference.Bundle = mine.Bundle;
  for (const auto &[upstream, until] : mine.Leaving) {
    const auto it = theirs.Leaving.find(upstream);
    if (it == theirs.Leaving.end() || it->second < until)
      difference.Leaving.emplace(upstream, until);
  }
  for (const auto &[host, report] : mine.Hosts) {
    const auto it = theirs.Hosts.find(host);
    if (it == theirs.Hosts.end() || isNewer(report, it->second))
      difference.Hosts.emplace(host, report);
  }
  difference.Rollout = deltaFor(mine.Rollout, theirs.Rollout);
  return difference;
}

bool isEmpty(const RolloutKnowledge &knowledge) {
  return knowledge.Vetoes.empty() && knowledge.Stages.empty() &&
         knowledge.Evidence.sources().empty();
}

bool isEmpty(const PeerKnowledge &knowledge) {
  return knowledge.Bundle.Generation == 0 && knowledge.Leaving.empty() &&
         knowledge.Hosts.empty() && isEmpty(knowledge.Rollout);
}

PeerKnowledge promptPart(const PeerKnowledge &knowledge,
                         const EvidenceSource &self) {
  PeerKnowledge out;
  out.Bundle = knowledge.Bundle;
  out.Leaving = knowledge.Leaving;
  const auto own = knowledge.Hosts.find(self.Host);
  if (own != knowledge.Hosts.end())
    out.Hosts.insert(*own);
  out.Rollout = ownPart(knowledge.Rollout, self);
  return out;
}

void eraseExpiredLeaving(PeerKnowledge &knowledge, Instant at) {
  for (auto it = knowledge.Leaving.begin(); it != knowledge.Leaving.end();)
    it = it->second < at ? knowledge.Leaving.erase(it) : std::next(it);
}

} // namespace sorrelbay
