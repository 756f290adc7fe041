#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/LeaderLease.h"
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace sorrelbay {

/// The versions that an engine holds, as reported by the engine.
struct EngineVersions {
  UpstreamId Engine;
  std::set<VersionId> Versions;
  /// Whether the engine rejects commands with an old fencing token.
  bool HonoursFencing = false;
  /// When the engine was queried.
  Instant AskedAt;
};

/// Makes an engine hold exactly these versions. A command states the desired
/// state, not the change, so that the next command corrects one that was lost,
/// delayed or duplicated.
struct EngineCommand {
  UpstreamId Engine;
  std::set<VersionId> Versions;
  std::uint64_t FencingToken = 0;
};

/// Computes the commands that bring engines to their desired versions.
class EngineCommands {
public:
  /// A command that has not reached its engine within `commandTimeout` never
  /// will.
  explicit EngineCommands(Duration commandTimeout)
      : CommandTimeout(commandTimeout) {}

  /// Returns the commands to send now, or none if this daemon does not hold the
  /// lease. Engines missing from `wanted` get no command. An engine that does
  /// not check fencing tokens gets a command only if its versions were read
  /// during this lease term, since only the engine knows the effect of earlier
  /// commands. It gets none while an earlier command is in flight, because the
  /// two could arrive in reverse order.
  std::vector<EngineCommand>
  decide(const std::map<UpstreamId, std::set<VersionId>> &wanted,
         const std::vector<EngineVersions> &seen, const LeaderLease &lease,
         Instant now);
  /// The engine has answered its last command.
  void noteAnswered(const UpstreamId &engine) { InFlightUntil.erase(engine); }

private:
  bool mayCommand(const EngineVersions &engine, const LeaderLease &lease,
                  Instant now) const;

  Duration CommandTimeout;
  std::map<UpstreamId, Instant> InFlightUntil;
};

} // namespace sorrelbay
