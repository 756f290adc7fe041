#pragma once

#include "LibDecision/TicketTable.h"
#include "LibHttp/GrowingWorkerPool.h"
#include "LibObjectApi/CallLedger.h"
#include "LiveDeskCall.h"
#include <atomic>

namespace sorrelbay {

/// Runs this daemon's non-repeatable calls at most once, by means of the ledger
/// and the table of the daemon's own tickets. Workers complete each call.
///
/// The lock of the tickets is a leaf and is never held together with the
/// ledger's locks.
class AtMostOnceCalls {
public:
  AtMostOnceCalls(ObjectApi objects, std::size_t workers);
  ~AtMostOnceCalls();

  /// How an attempt is handled: run, refused for lack of capacity, or only
  /// looked up.
  enum class EntryMode { Run, Shed, Query };
  /// Handles an attempt and returns its answer, at the deadline at the latest.
  /// Sets the hook Apply; the caller sets the other hooks.
  DeskCallAnswer handle(EntryMode entryMode, const CallId &call,
                        CallAttempt attempt, Instant deadline,
                        DeskCallHooks hooks);

  /// Issues a ticket for a caller. The address is the one on which this daemon
  /// listens.
  CallTicket issueTicket(const std::string &address);
  const IncarnationId &incarnation() const { return Self; }

private:
  EditOutcome apply(const SubmitEdit &submit);
  bool isOwnExpiredTicket(const CallId &call);

  const IncarnationId Self;
  CallLedger Ledger;
  std::mutex TicketMutex;
  TicketTable Tickets;
  std::atomic<std::uint64_t> LastNonce{0};
  GrowingWorkerPool Workers;
};

} // namespace sorrelbay
