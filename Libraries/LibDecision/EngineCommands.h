#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include "LibDecision/LeaderLease.h"
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace sorrelbay {

/// The versions that an engine holds, as it said itself.
struct EngineVersions {
  UpstreamId Engine;
  std::set<VersionId> Versions;
  /// Whether it refuses orders with an old fencing number.
  bool HonoursFencing = false;
  /// When it was asked.
  Instant AskedAt;
};

/// To hold exactly these versions. Orders name the wanted state and not the
/// step to it, so that one that is lost, late or sent twice does no harm that
/// the next does not mend.
struct EngineCommand {
  UpstreamId Engine;
  std::set<VersionId> Versions;
  std::uint64_t FencingToken = 0;
};

/// The orders by which engines come to hold what they should.
class EngineCommands {
public:
  /// An order that has not reached its engine by the timeout never does.
  explicit EngineCommands(Duration orderTimeout) : OrderTimeout(orderTimeout) {}

  /// The orders to give now. Engines that are not named in what is wanted are
  /// left alone. None without the lease; to engines that take any fencing
  /// number only after they were read back in this term, since what was ordered
  /// before shows only there, and none while an earlier one may be under way,
  /// since the two could arrive in the wrong order.
  std::vector<EngineCommand>
  decide(const std::map<UpstreamId, std::set<VersionId>> &wanted,
         const std::vector<EngineVersions> &seen, const LeaderLease &lease,
         Instant now);
  /// The engine has answered its last order.
  void noteAnswered(const UpstreamId &engine) { InFlightUntil.erase(engine); }

private:
  bool mayOrder(const EngineVersions &engine, const LeaderLease &lease,
                Instant now) const;

  Duration OrderTimeout;
  std::map<UpstreamId, Instant> InFlightUntil;
};

} // namespace sorrelbay
