#include "LibDecision/EngineCommands.h"
#include "LibBase/Invariant.h"

namespace sorrelbay {

bool EngineCommands::mayCommand(const EngineVersions &engine,
                                const LeaderLease &lease, Instant now) const {
  if (engine.HonoursFencing)
    return lease.mayCommand(now);
  const auto inFlightUntil = InFlightUntil.find(engine.Engine);
  if (inFlightUntil != InFlightUntil.end() && now <= inFlightUntil->second)
    return false;
  return lease.mayCommandWithoutFencing(now) &&
         engine.AskedAt >= lease.unfencedFrom();
}

std::vector<EngineCommand>
EngineCommands::decide(const std::map<UpstreamId, std::set<VersionId>> &wanted,
                       const std::vector<EngineVersions> &seen,
                       const LeaderLease &lease, Instant now) {
  std::vector<EngineCommand> pendingCommands;
  for (const EngineVersions &it : seen) {
    const auto found = wanted.find(it.Engine);
    if (found == wanted.end() || found->second == it.Versions ||
        !mayCommand(it, lease, now))
      continue;
    verifyInvariant(lease.isHeld(now), "only the lease's holder gives orders",
                    "a command was sent without holding the lease");
    InFlightUntil[it.Engine] = now + CommandTimeout;
    pendingCommands.push_back({it.Engine, found->second, lease.fencing()});
  }
  return pendingCommands;
}

} // namespace sorrelbay
