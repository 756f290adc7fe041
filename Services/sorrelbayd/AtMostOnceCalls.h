#pragma once

#include "LibDecision/TicketTable.h"
#include "LibHttp/GrowingWorkerPool.h"
#include "LibObjectApi/CallLedger.h"
#include "LiveDeskCall.h"
#include <atomic>

namespace sorrelbay {

/// Runs non-repeatable calls at most once for this daemon: the ledger, the
/// table of its own tickets, and the workers that carry calls to their end.
///
/// The tickets' lock is a leaf. The ledger's locks are never held with it.
class AtMostOnceCalls {
public:
  AtMostOnceCalls(ObjectApi objects, std::size_t workers);
  ~AtMostOnceCalls();

  /// How an attempt enters.
  enum class EntryMode { Run, Shed, Query };
  /// What differs from call to call; Apply is filled in here.
  DeskCallAnswer handle(EntryMode entrance, const CallId &call,
                        CallAttempt attempt, Instant deadline,
                        DeskCallHooks hooks);

  /// A ticket for a caller; the address is the one at which this daemon
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
