#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <tuple>

namespace sorrelbay {

/// The progress of an ordered rollout of a version, as recorded in the status
/// of the operators' order.
enum class RolloutOutcome { NotStarted, InProgress, Completed, RolledBack };

/// An operator's order to move a service's calls to the replicas of a version.
struct RolloutOrder {
  ServiceId Service;
  VersionId Target;
  Duration Within{};
  /// The outcome that the order's status records for this target.
  RolloutOutcome Outcome = RolloutOutcome::NotStarted;

  friend bool operator==(const RolloutOrder &a, const RolloutOrder &b) {
    return std::tie(a.Service, a.Target, a.Within, a.Outcome) ==
           std::tie(b.Service, b.Target, b.Within, b.Outcome);
  }
};

} // namespace sorrelbay
