#include "LibDecision/RolloutKnowledge.h"
#include "LibBase/Invariant.h"

namespace sorrelbay {

const char *toText(RollbackReason reason) {
  switch (reason) {
  case RollbackReason::Failures:
    return "failures";
  case RollbackReason::Lateness:
    return "late answers";
  case RollbackReason::Deadline:
    return "no evidence before the deadline";
  }
  return "unknown";
}

static auto orderOf(const Veto &it) {
  return std::tie(it.At, it.By, it.Reason, it.OnRoute, it.Statistic);
}

bool operator==(const Veto &a, const Veto &b) {
  return a.Version == b.Version && orderOf(a) == orderOf(b) && a.New == b.New &&
         a.Old == b.Old;
}

bool operator==(const RolloutKnowledge &a, const RolloutKnowledge &b) {
  return std::tie(a.Vetoes, a.Stages, a.Evidence) ==
         std::tie(b.Vetoes, b.Stages, b.Evidence);
}

bool addVeto(RolloutKnowledge &knowledge, const Veto &veto) {
  const auto [it, isNew] = knowledge.Vetoes.emplace(veto.Version, veto);
  if (isNew)
    return true;
  if (!(orderOf(veto) < orderOf(it->second)))
    return false;
  it->second = veto;
  return true;
}

bool raiseStage(RolloutKnowledge &knowledge, const VersionId &version,
                const StageRecord &mark) {
  const auto [it, isNew] = knowledge.Stages.emplace(version, mark);
  if (isNew)
    return true;
  StageRecord &known = it->second;
  const unsigned before = known.Stage;
  const bool isHigher = mark.Stage > known.Stage;
  const bool isEarlier = mark.Stage == known.Stage && mark.Since < known.Since;
  if (!isHigher && !isEarlier)
    return false;
  known = mark;
  verifyInvariant(known.Stage >= before, "rollout-stage-never-goes-back",
                  "a merge lowered the stage of a rollout");
  return true;
}

bool merge(RolloutKnowledge &into, const RolloutKnowledge &from) {
  bool changed = into.Evidence.merge(from.Evidence);
  for (const auto &entry : from.Vetoes)
    changed |= addVeto(into, entry.second);
  for (const auto &[version, mark] : from.Stages)
    changed |= raiseStage(into, version, mark);
  return changed;
}

RolloutKnowledge
partOf(const RolloutKnowledge &knowledge,
       const std::function<bool(const EvidenceSource &)> &isWanted) {
  RolloutKnowledge out;
  out.Vetoes = knowledge.Vetoes;
  out.Stages = knowledge.Stages;
  for (const auto &[source, counts] : knowledge.Evidence.sources())
    if (isWanted(source))
      for (const auto &[key, count] : counts)
        out.Evidence.mergeCount(source, key, count);
  return out;
}

RolloutKnowledge ownPart(const RolloutKnowledge &knowledge,
                         const EvidenceSource &self) {
  return partOf(knowledge,
                [&](const EvidenceSource &it) { return it == self; });
}

} // namespace sorrelbay
