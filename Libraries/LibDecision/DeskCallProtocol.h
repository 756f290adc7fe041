#pragma once

#include "LibDecision/CallTicket.h"
#include "LibDecision/DeskCallAnswer.h"
#include "LibDecision/LedgerEdit.h"
#include <variant>
#include <vector>

namespace sorrelbay {

enum class CallPurpose {
  /// To run the call.
  Run,
  /// To learn what became of it, and to close it if it has not run.
  Query,
};

/// One attempt at a call that may run once at most, or a query after one.
struct DeskCall {
  CallPurpose Purpose = CallPurpose::Run;
  CallId Id;
  CallAttempt Attempt = UndeclaredAttempt;
  /// This daemon's incarnation, and a number that it uses for no other call.
  IncarnationId Self;
  std::uint64_t Nonce = 0;
};

/// What varies between deployments.
struct DeskCallSettings {
  /// How many replicas are tried while none has taken the call.
  int MaxDeskTries = 3;
  /// The longest time from asking for the intent to sending the call. It is
  /// far below the ledger's retention, so that a process that was paused
  /// between the two can't send on an intent that has been forgotten.
  Duration MaxSendDelay = minutes(1);
  /// How often the result is offered to the ledger, and how far apart.
  int MaxResultTries = 5;
  Duration ResultRetryDelay = milliseconds(500);
  /// When to come back after a refusal, and while another attempt runs.
  Duration RetryAfterRefusal = seconds(1);
  Duration RetryAfterInFlight = seconds(2);
};

/// Apply the edit to the ledger or, for this incarnation's own tickets, to the
/// ticket table, and report the outcome.
struct SubmitEdit {
  enum class Place { Ledger, TicketTable };
  Place Where = Place::Ledger;
  LedgerEdit Edit;
  /// How long to wait before.
  Duration After{};
};

/// Send the call to a replica that it was not sent to before, over a
/// connection opened for it: a pooled one may be silent, and then nothing
/// tells whether the call arrived.
struct SendToDesk {};

/// Hand the call to the daemon that owns its ticket.
struct ForwardToOwner {
  IncarnationId Owner;
};

/// Tell the caller; given once for each attempt.
struct AnswerCaller {
  DeskCallAnswer Answer;
};

using DeskCallAction =
    std::variant<SubmitEdit, SendToDesk, ForwardToOwner, AnswerCaller>;
using DeskCallActions = std::vector<DeskCallAction>;

/// Runs one attempt at a non-repeatable call: the intent is in the ledger
/// before the first byte goes to a desk, and what the caller hears speaks of
/// the key and not of the attempt.
///
/// "Not run" covers this attempt and all earlier ones. It is said
/// - when the ledger or the ticket table carries a closed mark for them;
/// - when this attempt holds the intent and has sent nothing: the intent has
///   kept all others out, and this attempt gives up here;
/// - when this is the declared first attempt and it has sent nothing: there is
///   no other that could have.
/// In every other case the answer is "unknown".
class DeskCallProtocol {
public:
  DeskCallProtocol(DeskCall call, DeskCallSettings settings);

  /// Begins the attempt or the query.
  DeskCallActions start(Instant at);
  /// Refuses the attempt for overload instead of beginning it.
  DeskCallActions shed();

  DeskCallActions onEdit(const EditOutcome &outcome, Instant at);
  DeskCallActions onDeskAnswered(int status, const std::string &body);
  /// No byte of the call reached the desk, or the desk says that it did not
  /// run it.
  DeskCallActions onDeskRefused();
  /// Bytes may have reached the desk and no answer will come.
  DeskCallActions onDeskLost();
  DeskCallActions onForwardAnswered(const DeskCallAnswer &answer);
  /// The owner has not been reached, or the process there isn't the owner.
  DeskCallActions onForwardRefused();
  DeskCallActions onForwardLost();
  /// The caller's deadline has passed; answered at once if it wasn't yet.
  DeskCallActions onDeadline();
  /// The ticket is this incarnation's, but too old to be run.
  DeskCallActions refuseExpiredTicket();

  const DeskCall &call() const { return Call; }
  bool isAnswered() const { return IsAnswered; }
  bool isFinished() const { return Now == Step::Finished; }

private:
  enum class Step {
    Created,
    AwaitIntent,
    AwaitDesk,
    AwaitClose,
    AwaitForward,
    AwaitResult,
    Finished,
  };

  DeskCallActions onIntent(const EditOutcome &outcome, Instant at);
  DeskCallActions onClosed(const EditOutcome &outcome);
  DeskCallActions onResult(const EditOutcome &outcome);
  DeskCallActions sendToDesk();
  DeskCallActions close(RefusalReason reason);
  DeskCallActions refuse(RefusalReason reason);
  DeskCallActions answerFromLedger(const EditOutcome &outcome,
                                   RefusalReason reason);
  DeskCallActions answer(DeskCallAnswer answer);
  SubmitEdit edit(EditKind kind) const;
  bool isForeignTicket() const;
  bool isKnownNotRun() const;

  DeskCall Call;
  DeskCallSettings Settings;
  std::optional<CallTicket> Ticket;
  Step Now = Step::Created;
  RefusalReason CloseReason = RefusalReason::None;
  Instant StartedAt{};
  bool HoldsIntent = false;
  /// Whether the desk is known to have been asked and not to have refused.
  bool MayHaveRun = false;
  bool IsAnswered = false;
  int DesksTried = 0;
  int ResultTries = 0;
  int DeskStatus = 0;
  std::string DeskBody;
};

} // namespace sorrelbay
