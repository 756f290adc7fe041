#include "LibDecision/LeaderLease.h"
#include <utility>

namespace sorrelbay {

// How often a lease is read or renewed per term.
static constexpr int ReadsPerTerm = 3;

LeaderLease::LeaderLease(IncarnationId self, LeaderLeaseSettings settings)
    : Self(std::move(self)), Settings(settings) {}

Duration LeaderLease::usableTerm() const {
  return fromSeconds(toSeconds(Settings.Term) * (1 - Settings.Margin));
}

bool LeaderLease::isHeld(Instant now) const {
  return HasRead && Seen.Holder == Self && now < HeldUntil;
}

bool LeaderLease::mayCommandWithoutFencing(Instant now) const {
  return isHeld(now) && now >= UnfencedFrom;
}

LeaseStep LeaderLease::step(Instant now) const {
  if (MustRead || !HasRead)
    return LeaseStep::Read;
  if (isHeld(now))
    return now >= RenewAt ? LeaseStep::Write : LeaseStep::None;
  if (Seen.Version == ReleasedVersion || now >= SeenSince + Settings.Term)
    return LeaseStep::Write;
  return now >= ReadAt + Settings.Term / ReadsPerTerm ? LeaseStep::Read
                                                      : LeaseStep::None;
}

void LeaderLease::noteRead(const LeaseState &state, Instant now) {
  // This daemon's own write, whose reply was lost.
  if (state.Holder == Self && state.Version == Seen.Version + 1 &&
      UnknownSentAt != Instant{}) {
    noteWritten(state.Version, UnknownSentAt, now);
    return;
  }
  UnknownSentAt = {};
  if (!HasRead || state.Version != Seen.Version)
    SeenSince = now;
  Seen = state;
  HasRead = true;
  MustRead = false;
  ReadAt = now;
}

void LeaderLease::noteReleased() { ReleasedVersion = Seen.Version; }

void LeaderLease::noteReported(const LeaseState &state, Instant now) {
  if (state.Version <= Seen.Version || UnknownSentAt != Instant{})
    return;
  Seen = state;
  SeenSince = now;
  HasRead = true;
  MustRead = false;
  ReadAt = now;
}

void LeaderLease::noteWritten(std::uint64_t version, Instant sentAt,
                              Instant now) {
  const bool wasHeld = isHeld(now);
  const bool hadHolder = Seen.Version != 0;
  if (!wasHeld)
    UnfencedFrom = hadHolder ? now + Settings.CommandTimeout : now;
  Seen = {Self, version};
  SeenSince = now;
  MustRead = false;
  UnknownSentAt = {};
  HeldUntil = sentAt + usableTerm();
  RenewAt = sentAt + Settings.Term / ReadsPerTerm;
}

void LeaderLease::noteConflict(Instant /*now*/) {
  HeldUntil = {};
  UnknownSentAt = {};
  MustRead = true;
}

void LeaderLease::noteUnknown(Instant sentAt, Instant /*now*/) {
  UnknownSentAt = sentAt;
  MustRead = true;
}

} // namespace sorrelbay
