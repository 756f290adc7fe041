#include "AtMostOnceCalls.h"
#include "LibBase/Hash.h"
#include "LibBase/Trace.h"
#include <memory>
#include <utility>

namespace sorrelbay {

static constexpr std::size_t IncarnationDigits = 24;
// Enough for about ten thousand calls within a ticket's validity, which is more
// than an entry host handles in an outage of that length.
static constexpr std::size_t MaxTicketBytes = 4UL * 1024 * 1024;

static LedgerLimits ticketLimits() {
  LedgerLimits out;
  out.MaxBytes = MaxTicketBytes;
  return out;
}

AtMostOnceCalls::AtMostOnceCalls(ObjectApi objects, std::size_t workers)
    : Self(randomHex(IncarnationDigits)),
      Ledger(std::move(objects), LedgerLimits{}, stableHash(Self.text())),
      Tickets(Self, ticketLimits()), Workers(workers) {}

AtMostOnceCalls::~AtMostOnceCalls() { Workers.shutdown(); }

DeskCallAnswer AtMostOnceCalls::handle(EntryMode entryMode, const CallId &call,
                                       CallAttempt attempt, Instant deadline,
                                       DeskCallHooks hooks) {
  DeskCall deskCall;
  deskCall.Purpose =
      entryMode == EntryMode::Query ? CallPurpose::Query : CallPurpose::Run;
  deskCall.Id = call;
  deskCall.Attempt = attempt;
  deskCall.Self = Self;
  deskCall.Nonce = ++LastNonce;
  hooks.Apply = [this](const SubmitEdit &submit) { return apply(submit); };
  auto live = std::make_shared<LiveDeskCall>(
      DeskCallProtocol(deskCall, DeskCallSettings{}), std::move(hooks));
  const auto enter = [this, entryMode, call](DeskCallProtocol &it) {
    if (isOwnExpiredTicket(call))
      return it.refuseExpiredTicket();
    return entryMode == EntryMode::Shed ? it.shed() : it.start(now());
  };
  // A refusal that needs no other host is returned here, even if all workers
  // are busy.
  const DeskCallActions actions = live->begin(enter);
  if (!actions.empty())
    Workers.enqueue([live, actions] { live->performActions(actions); });
  return live->await(deadline);
}

EditOutcome AtMostOnceCalls::apply(const SubmitEdit &submit) {
  if (submit.Where == SubmitEdit::Place::Ledger)
    return Ledger.apply(submit.Edit);
  const std::lock_guard<std::mutex> lock(TicketMutex);
  return Tickets.apply(submit.Edit, now());
}

bool AtMostOnceCalls::isOwnExpiredTicket(const CallId &call) {
  const auto ticket = parseTicket(call.Key);
  if (!ticket || ticket->Owner != Self)
    return false;
  const std::lock_guard<std::mutex> lock(TicketMutex);
  return !Tickets.isValid(*ticket, now());
}

CallTicket AtMostOnceCalls::issueTicket(const std::string &address) {
  const std::lock_guard<std::mutex> lock(TicketMutex);
  return Tickets.issue(address, now());
}

} // namespace sorrelbay
