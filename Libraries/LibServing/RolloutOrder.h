#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <tuple>

namespace sorrelbay {

/// How far an ordered move of a service to a version is, as the operators'
/// status says.
enum class RolloutOutcome { Unstarted, InProgress, Completed, RolledBack };

/// The operators' order to move a service's calls to replicas of a version.
struct RolloutOrder {
  ServiceId Service;
  VersionId Target;
  Duration Within{};
  /// What the status of the order says, for this target.
  RolloutOutcome Outcome = RolloutOutcome::Unstarted;

  friend bool operator==(const RolloutOrder &a, const RolloutOrder &b) {
    return std::tie(a.Service, a.Target, a.Within, a.Outcome) ==
           std::tie(b.Service, b.Target, b.Within, b.Outcome);
  }
};

} // namespace sorrelbay
