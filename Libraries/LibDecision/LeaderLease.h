#pragma once

#include "LibBase/Identifier.h"
#include "LibBase/Time.h"
#include <cstdint>

namespace sorrelbay {

/// The lease as the object API holds it; the object's version is the fencing
/// number.
struct LeaseState {
  IncarnationId Holder;
  /// 0 if there never was a lease.
  std::uint64_t Version = 0;
};

struct LeaderLeaseSettings {
  Duration Term = seconds(10);
  /// An order that has not reached its engine by then never does.
  Duration OrderTimeout = seconds(5);
  /// The part of the term that a holder leaves unused, against clocks that run
  /// at different speeds.
  double Margin = 0.1;
};

/// What to do about the lease now.
enum class LeaseStep { None, Read, Write };

/// One daemon's side of the mover lease. There is no clock in common: a lease
/// that is not one's own has ended when it was seen unchanged for a whole term.
/// The holder counts its term from before it sent the write, so it stops before
/// anybody else starts. It is for efficiency and for the orders that can't be
/// made idempotent, not for what must never happen twice.
class LeaderLease {
public:
  LeaderLease(IncarnationId self, LeaderLeaseSettings settings = {});

  LeaseStep step(Instant now) const;
  /// The version that the next write must expect.
  std::uint64_t expectedVersion() const { return Seen.Version; }

  /// The stored lease was read.
  void noteRead(const LeaseState &state, Instant now);
  /// The holder of the stored lease is an earlier process of this host and
  /// holds it no more: there is no term to wait for.
  void noteReleased();
  /// The holder has reported that it wrote that version. From now on it counts
  /// as seen: a term has not to be waited for anew when the holder goes, or
  /// when the store was away. A write still expects that version, so that one
  /// which was renewed meanwhile isn't taken.
  void noteReported(const LeaseState &state, Instant now);
  /// The write that was sent then took effect as that version.
  void noteWritten(std::uint64_t version, Instant sentAt, Instant now);
  /// Somebody else wrote first.
  void noteConflict(Instant now);
  /// It isn't known whether the write that was sent then took effect.
  void noteUnknown(Instant sentAt, Instant now);

  bool isHeld(Instant now) const;
  /// The fencing number for orders.
  std::uint64_t fencing() const { return Seen.Version; }
  /// Whether orders may go to engines that refuse old fencing numbers.
  bool mayOrder(Instant now) const { return isHeld(now); }
  /// Whether orders may go to engines that take any. A new holder first waits
  /// out the longest time that an order of the last one may still be under way;
  /// it would undo the new one's.
  bool mayCommandUnfenced(Instant now) const;
  /// From when on what engines say of their levels counts as read back.
  Instant unfencedFrom() const { return UnfencedFrom; }

private:
  Duration usableTerm() const;

  IncarnationId Self;
  LeaderLeaseSettings Settings;
  LeaseState Seen;
  /// Nobody holds the lease of that version; 0 is before there was one.
  std::uint64_t ReleasedVersion = 0;
  bool HasRead = false;
  bool MustRead = true;
  Instant SeenSince{};
  Instant ReadAt{};
  Instant HeldUntil{};
  Instant RenewAt{};
  Instant UnfencedFrom{};
  /// When the write whose outcome isn't known was sent.
  Instant UnknownSentAt{};
};

} // namespace sorrelbay
