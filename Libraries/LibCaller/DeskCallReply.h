#pragma once

#include "LibDecision/DeskCallAnswer.h"
#include "LibDecision/LedgerEntry.h"
#include "LibHttp/HttpMessage.h"

namespace sorrelbay {

/// Set to "done" on a desk's own answer, so that its status can't be taken for
/// one of ours.
constexpr const char *OutcomeHeader = "X-Outcome";

/// The word for the reason in answers and logs.
const char *toText(RefusalReason reason);

/// The answer of `POST /v1/desk/{operation}` for a call that may not be
/// repeated: the desk's own, or a problem document with outcome and reason.
HttpResponse renderDeskCall(const DeskCallAnswer &answer);

/// The inverse, for a daemon that has handed the call to another. What isn't
/// an answer of that form counts as unknown.
DeskCallAnswer parseDeskCall(const HttpReply &reply);

/// The answer of `GET /v1/calls/{key}`: a JSON document with the outcome, the
/// desk's status and answer if it is done, and the last attempt that "not run"
/// covers.
HttpResponse renderCallQuery(const CallId &call, CallAttempt attempt,
                             const DeskCallAnswer &answer);

/// The inverse; what isn't a document of that form counts as unknown.
DeskCallAnswer parseCallQuery(const HttpReply &reply);

} // namespace sorrelbay
