#pragma once

#include "DutyLease.h"
#include "GatewayState.h"
#include "UsageRecord.h"
#include <map>
#include <optional>

namespace sorrelbay {

/// Reports the usage of each window once while this host holds the duties.
/// Final counts are written to the store before they are reported, and a
/// successor that finds them there reports the same ones: two reports of one
/// window that differ would bill a team twice. Once a second, the counts known
/// so far of later windows are stored as well. Used only on the event loop's
/// thread.
class UsageReporter {
public:
  UsageReporter(GatewayState &state, const DutyLease &duties);

  /// To be called several times a second.
  void tick(Instant now);

private:
  void read();
  bool isSettled(WindowNumber window, Instant now) const;
  void settle(Instant now);
  void saveRecord(Instant now);
  void report();
  void applyRecord(const std::string &text);

  GatewayState &State;
  const DutyLease &Duties;
  /// The last few settled windows, as stored.
  std::map<WindowNumber, SettledWindow> Settled;
  std::uint64_t Revision = 0;
  /// The lease term in which the stored record was read; empty if it has to be
  /// read again.
  std::optional<std::uint64_t> RecordTerm;
  WindowNumber FirstWindow;
  Instant SavedAt{};
  bool IsCallPending = false;
};

} // namespace sorrelbay
