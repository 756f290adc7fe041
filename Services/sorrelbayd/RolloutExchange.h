#pragma once

#include "LibObjectApi/ObjectApi.h"
#include "LibOperator/RolloutStatusObject.h"
#include "RolloutTracker.h"

namespace sorrelbay {

/// Stores the daemons' knowledge of rollouts in the object API, one object per
/// host, and writes each rollout's status for operators. Peers also exchange
/// this knowledge directly; the objects serve daemons that start while no peer
/// is running.
class RolloutExchange {
public:
  RolloutExchange(ObjectApi objects, HostId self, RolloutTracker &tracker);

  /// Merges the other hosts' objects, then writes this host's object. Throws as
  /// the ObjectApi's hooks do, and RolloutKnowledgeMalformed; what was merged
  /// before the exception stays.
  void exchange();
  /// Only writes this host's object, if its content has changed. Throws as
  /// exchange() does.
  void writeOwn();

  /// Writes the rollout's status if it is more advanced than the stored one. A
  /// version that is stored as rolled back stays rolled back.
  void writeStatus(const RolloutView &rolloutView, std::uint64_t generation);

private:
  const ObjectApi Objects;
  const HostId Self;
  RolloutTracker &Tracker;
  std::string LastWritten;

  void readOthers();
};

/// The status of a rollout as it is stored for operators.
RolloutStatusObject statusOf(const RolloutView &rolloutView,
                             std::uint64_t generation);

} // namespace sorrelbay
