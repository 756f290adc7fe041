#pragma once

#include "LibDecision/CallTicket.h"
#include "LibDecision/DeskCallAnswer.h"
#include "LibDecision/LedgerEdit.h"
#include <variant>
#include <vector>

namespace sorrelbay {

enum class CallPurpose {
  /// Run the call.
  Run,
  /// Report the outcome, and close the call if it has not run.
  Query,
};

/// One attempt at a call that may run at most once, or a query about such a
/// call.
struct DeskCall {
  CallPurpose Purpose = CallPurpose::Run;
  CallId Id;
  CallAttempt Attempt = UndeclaredAttempt;
  /// This daemon's incarnation, and a number that it uses for no other call.
  IncarnationId Self;
  std::uint64_t Nonce = 0;
};

/// Settings that differ between deployments.
struct DeskCallSettings {
  /// Number of replicas tried before the call is refused, if none of them
  /// accepts it.
  int MaxDeskTries = 3;
  /// Longest time between requesting the intent and sending the call; after it
  /// the call is closed unsent. Must be far below the retention of the ledger,
  /// so that a process that was paused in between cannot send on an intent that
  /// the ledger has already dropped.
  Duration MaxSendDelay = minutes(1);
  /// Largest number of attempts to record the result in the ledger. The delay
  /// grows by ResultRetryDelay with each attempt.
  int MaxResultTries = 5;
  Duration ResultRetryDelay = milliseconds(500);
  /// Retry-After delays: after a refusal, and while another attempt holds the
  /// call.
  Duration RetryAfterRefusal = seconds(1);
  Duration RetryAfterInFlight = seconds(2);
};

/// Apply the edit to the ledger or, for this incarnation's own tickets, to the
/// ticket table, and report the outcome.
struct SubmitEdit {
  enum class Place { Ledger, TicketTable };
  Place Where = Place::Ledger;
  LedgerEdit Edit;
  /// Delay before the edit is submitted.
  Duration After{};
};

/// Send the call to a replica that has not been tried yet, over a new
/// connection. A pooled connection may be closed already, and it would be
/// unknown whether the call arrived.
struct SendToDesk {};

/// Forward the call to the daemon that owns its ticket.
struct ForwardToOwner {
  IncarnationId Owner;
};

/// Send the answer to the caller; issued once per attempt.
struct AnswerCaller {
  DeskCallAnswer Answer;
};

using DeskCallAction =
    std::variant<SubmitEdit, SendToDesk, ForwardToOwner, AnswerCaller>;
using DeskCallActions = std::vector<DeskCallAction>;

/// State machine of one attempt at a non-repeatable call. The intent is in the
/// ledger before the first byte is sent to a desk, and the answer to the caller
/// applies to the key rather than to the attempt.
///
/// "Not run" covers this attempt and all earlier ones. It is answered
/// - when the ledger or the ticket table has a closed mark that covers them;
/// - when this attempt holds the intent and has sent nothing: the intent
///   excluded all other attempts, and this attempt ends here;
/// - when this is the declared first attempt and it has sent nothing: no other
///   attempt can have sent anything.
/// In every other case the answer is "unknown".
class DeskCallProtocol {
public:
  DeskCallProtocol(DeskCall call, DeskCallSettings settings);

  /// Starts the attempt or the query.
  DeskCallActions start(Instant at);
  /// Refuses the attempt because of overload instead of starting it.
  DeskCallActions shed();

  DeskCallActions onEdit(const EditOutcome &outcome, Instant at);
  DeskCallActions onDeskAnswered(int status, const std::string &body);
  /// No byte of the call reached the desk, or the desk reported that it did not
  /// run the call.
  DeskCallActions onDeskRefused();
  /// Bytes may have reached the desk and no answer will arrive.
  DeskCallActions onDeskLost();
  DeskCallActions onForwardAnswered(const DeskCallAnswer &answer);
  /// The owner was unreachable, or the process at its address isn't the owner.
  DeskCallActions onForwardRefused();
  DeskCallActions onForwardLost();
  /// The caller's deadline has passed. Answers at once unless the call is
  /// already answered.
  DeskCallActions onDeadline();
  /// The ticket belongs to this incarnation but has expired.
  DeskCallActions refuseExpiredTicket();

  const DeskCall &call() const { return Call; }
  bool isAnswered() const { return IsAnswered; }
  bool isFinished() const { return CurrentStep == Step::Finished; }

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
  Step CurrentStep = Step::Created;
  RefusalReason CloseReason = RefusalReason::None;
  Instant StartedAt{};
  bool HoldsIntent = false;
  /// Whether the call was sent to a desk that has not refused it.
  bool MayHaveRun = false;
  bool IsAnswered = false;
  int DesksTried = 0;
  int ResultTries = 0;
  int DeskStatus = 0;
  std::string DeskBody;
};

} // namespace sorrelbay
