#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>

namespace sorrelbay {

/// The lease as stored in the object API. The object's version is the fencing
/// token.
struct LeaseState {
  IncarnationId Holder;
  /// 0 if the lease has never been written.
  std::uint64_t Version = 0;
};

struct LeaderLeaseSettings {
  Duration Term = seconds(10);
  /// A command that has not reached its engine within this time never will.
  Duration CommandTimeout = seconds(5);
  /// The share of the term that the holder does not use, to allow for clocks
  /// that run at different speeds.
  double Margin = 0.1;
};

/// What to do next about the lease.
enum class LeaseStep { None, Read, Write };

/// One daemon's view of the leader lease. The daemons' clocks are not
/// synchronised: another daemon's lease has expired once it was seen unchanged
/// for a whole term. The holder counts its term from before it sent the write,
/// so it stops before another daemon can start. The lease saves duplicate work
/// and guards commands that cannot be made idempotent. It does not guarantee
/// mutual exclusion.
class LeaderLease {
public:
  LeaderLease(IncarnationId self, LeaderLeaseSettings settings = {});

  LeaseStep step(Instant now) const;
  /// The version that the next write must expect.
  std::uint64_t expectedVersion() const { return Seen.Version; }

  /// The stored lease was read.
  void noteRead(const LeaseState &state, Instant now);
  /// The holder of the stored lease is an earlier process of this host that no
  /// longer uses it. There is no need to wait for the end of its term.
  void noteReleased();
  /// The holder reported that it wrote this version. It counts as seen from now
  /// on, so that no further term must pass when the holder fails or after an
  /// outage of the store. A write still expects this version, so it cannot
  /// replace a lease that was renewed in the meantime.
  void noteReported(const LeaseState &state, Instant now);
  /// The write sent at `sentAt` succeeded and created `version`.
  void noteWritten(std::uint64_t version, Instant sentAt, Instant now);
  /// Another daemon wrote the lease first.
  void noteConflict(Instant now);
  /// The outcome of the write sent at `sentAt` is unknown.
  void noteUnknown(Instant sentAt, Instant now);

  bool isHeld(Instant now) const;
  /// The fencing token for commands.
  std::uint64_t fencing() const { return Seen.Version; }
  /// Whether commands may be sent to engines that reject old fencing tokens.
  bool mayCommand(Instant now) const { return isHeld(now); }
  /// Whether commands may be sent to engines that do not check fencing tokens.
  /// A new holder first waits until no command of the previous holder can be in
  /// flight, since it would undo the new holder's command.
  bool mayCommandWithoutFencing(Instant now) const;
  /// The versions that an engine reports count as read back from this time on.
  Instant unfencedFrom() const { return UnfencedFrom; }

private:
  Duration usableTerm() const;

  IncarnationId Self;
  LeaderLeaseSettings Settings;
  LeaseState Seen;
  /// The version of the lease that was released; 0 is the version before the
  /// first write.
  std::uint64_t ReleasedVersion = 0;
  bool HasRead = false;
  bool MustRead = true;
  Instant SeenSince{};
  Instant ReadAt{};
  Instant HeldUntil{};
  Instant RenewAt{};
  Instant UnfencedFrom{};
  /// When the write whose outcome is unknown was sent.
  Instant UnknownSentAt{};
};

} // namespace sorrelbay
