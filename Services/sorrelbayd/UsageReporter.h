#pragma once

#include "DutyLease.h"
#include "GatewayState.h"
#include "UsageRecord.h"
#include <map>
#include <optional>

namespace sorrelbay {

/// Reports each window's usage once, while this host holds the duties. What is
/// about to be reported is written to the store first: a successor that finds
/// it there repeats it to the letter, because two reports of one window that
/// differ would bill a team twice. Once a second it also keeps there what is
/// known of the windows that go on. Belongs to the loop's thread.
class UsageReporter {
public:
  UsageReporter(GatewayState &state, const DutyLease &duties);

  /// To be called several times a second.
  void tick(Instant now);

private:
  void read();
  bool isSettled(WindowNumber window, Instant now) const;
  void settle(Instant now);
  void keep(Instant now);
  void report();
  void take(const std::string &text);

  GatewayState &State;
  const DutyLease &Duties;
  /// As the store has them, the last few.
  std::map<WindowNumber, SettledWindow> Settled;
  std::uint64_t Revision = 0;
  /// The term of the lease in which the store's record was read.
  std::optional<std::uint64_t> RecordTerm;
  WindowNumber First;
  Instant SavedAt{};
  bool IsWaiting = false;
};

} // namespace sorrelbay
