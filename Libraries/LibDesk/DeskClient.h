#pragma once

#include "LibBase/Error.h"
#include "LibBase/Identifier.h"
#include "LibBase/Trace.h"
#include <string>

namespace sorrelbay {

/// The desk has not run the call: the connection was refused, or the desk
/// reported that it rejected the call. Another replica may be tried.
class DeskRejected : public Error {
public:
  using Error::Error;
};

/// The call may have been sent and no valid response was received: the desk may
/// have run it.
class DeskOutcomeUnknown : public Error {
public:
  using Error::Error;
};

/// A call of a desk operation.
struct DeskRequest {
  /// Compared with the id in the response, so that a response to another
  /// request is never accepted.
  std::string RequestId;
  RouteId Operation;
  TeamId FromTeam;
  IdempotencyKey Key;
  std::string Body;
  TraceContext Trace;
  /// The longest time without a received byte while the response is awaited;
  /// beyond it the outcome is unknown.
  Duration Timeout = seconds(5);
};

/// The response of a desk to the request.
struct DeskAnswer {
  int Status = 0;
  std::string Body;
};

/// Sends the call over a connection of its own. Throws DeskRejected or
/// DeskOutcomeUnknown; a response to another request counts as the latter, and
/// so does a status that promises that the call did not run, unless the desk
/// reported that it rejected the call.
DeskAnswer callDesk(const UpstreamId &upstream, const DeskRequest &request);

} // namespace sorrelbay
