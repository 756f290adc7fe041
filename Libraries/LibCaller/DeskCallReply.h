#pragma once

#include "LibDecision/DeskCallAnswer.h"
#include "LibDecision/LedgerEntry.h"
#include "LibHttp/HttpMessage.h"

namespace sorrelbay {

/// Set to "done" on a response that originates from a desk, so that its status
/// is not taken for a status of the daemon.
constexpr const char *OutcomeHeader = "X-Outcome";

/// The name of the reason in responses and logs.
const char *toText(RefusalReason reason);

/// The response to `POST /v1/desk/{operation}` for a call that must not be
/// repeated: the response of the desk, or a problem document with outcome and
/// reason.
HttpResponse renderDeskCall(const DeskCallAnswer &answer);

/// Parses such a response, for a daemon that forwarded the call to another
/// daemon. A response in any other form counts as unknown.
DeskCallAnswer parseDeskCall(const HttpReply &reply);

/// The response to `GET /v1/calls/{key}`: a JSON document with the outcome, the
/// status and the answer of the desk if it is done, and the last attempt to
/// which "not run" applies.
HttpResponse renderCallQuery(const CallId &call, CallAttempt attempt,
                             const DeskCallAnswer &answer);

/// Parses such a document; any other form counts as unknown.
DeskCallAnswer parseCallQuery(const HttpReply &reply);

} // namespace sorrelbay
