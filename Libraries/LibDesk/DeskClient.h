#pragma once

#include "LibBase/Error.h"
#include "LibBase/Identifier.h"
#include "LibBase/Trace.h"
#include <string>

namespace sorrelbay {

/// The desk ran nothing: the connection was refused, or it says itself that it
/// rejected the call. Another replica may be tried.
class DeskRejected : public Error {
public:
  using Error::Error;
};

/// Bytes may have left and no answer came: the desk may have run the call.
class DeskOutcomeUnknown : public Error {
public:
  using Error::Error;
};

/// One call of a desk operation.
struct DeskRequest {
  /// Checked against the answer, so that a crossed answer is never taken.
  std::string RequestId;
  RouteId Operation;
  TeamId FromTeam;
  IdempotencyKey Key;
  std::string Body;
  TraceContext Trace;
  Duration Timeout = seconds(5);
};

/// A desk's answer to exactly that request.
struct DeskAnswer {
  int Status = 0;
  std::string Body;
};

/// Sends the call over a connection of its own. Throws DeskRejected or
/// DeskOutcomeUnknown; an answer for another request counts as the latter.
DeskAnswer callDesk(const UpstreamId &upstream, const DeskRequest &request);

} // namespace sorrelbay
