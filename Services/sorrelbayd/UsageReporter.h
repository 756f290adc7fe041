#pragma once

#include "DutyKeeper.h"
#include "GatewayState.h"
#include <map>
#include <optional>

namespace sorrelbay {

/// Reports each window's usage once, while this host holds the duties. What is
/// about to be reported is written to the store first: a successor that finds
/// it there repeats it to the letter, because two reports of one window that
/// differ would bill a team twice. Belongs to the loop's thread.
class UsageReporter {
public:
  UsageReporter(GatewayState &state, const DutyKeeper &duties);

  /// To be called several times a second.
  void tick(Instant now);

private:
  struct Window {
    TeamCounts Counts;
    bool IsAccepted = false;
  };

  void read();
  void record(Instant now);
  void report();
  std::string bodyText() const;
  void takeBody(const std::string &text);

  GatewayState &State;
  const DutyKeeper &Duties;
  /// As the store has them, the last few.
  std::map<WindowNumber, Window> Recorded;
  std::uint64_t Revision = 0;
  /// The term of the lease in which the store's record was read.
  std::optional<std::uint64_t> ReadInTerm;
  WindowNumber First;
  bool IsWaiting = false;
};

} // namespace sorrelbay
