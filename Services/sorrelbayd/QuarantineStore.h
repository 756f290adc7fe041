#pragma once

#include "GatewayState.h"
#include "LibObjectApi/ResourceWatcher.h"

namespace sorrelbay {

/// Keeps the quarantines, and the crashes that may lead to others, in the
/// store, so that they outlast all hosts' processes and operators can release
/// them. All are in one object. The host that watches the store for the fleet
/// writes what is new; the others do if it has not done so after a while. Used
/// only on the event loop's thread.
class QuarantineStore {
public:
  explicit QuarantineStore(GatewayState &state) : State(state) {}

  /// The callbacks of the watcher of the object.
  ResourceWatcherHooks watcherHooks();
  /// Writes what the store lacks. To be called several times a second.
  void tick(bool isFleetLeader, Instant now);

private:
  void apply(const Resource &object);
  void write(Instant now);
  void onWritten(const StoreResult<Resource> &result);
  void read();
  bool isMissingInStore(const CrashKnowledge &known) const;

  GatewayState &State;
  /// The object as far as it is known; its revision is 0 if there is none.
  std::uint64_t StoredRevision = 0;
  CrashKnowledge Stored;
  std::uint64_t ComparedRevision = 0;
  /// Since when the store has lacked something; empty if it lacks nothing.
  std::optional<Instant> MissingSince;
  Instant TriedAt{};
  /// How long this host leaves the write to the leader.
  Duration Patience{};
  bool IsWriting = false;
};

} // namespace sorrelbay
