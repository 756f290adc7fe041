#include "LibCaller/RefusalOutcome.h"
#include "LibCaller/CallContext.h"

namespace sorrelbay {

static const char *const QueryPathPrefix = "/v1/calls/";
static const char *const FirstAttemptValue = "1";

Outcome refusalOutcome(const HttpRequest &request) {
  const bool isQuery = request.Path.rfind(QueryPathPrefix, 0) == 0;
  const std::string key = headerValue(request.Headers, "Idempotency-Key");
  const bool hasKey = !key.empty() && key.size() <= MaxHeaderValueBytes;
  const bool isFirst =
      headerValue(request.Headers, "X-Attempt") == FirstAttemptValue;
  return !isQuery && (!hasKey || isFirst) ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace sorrelbay
