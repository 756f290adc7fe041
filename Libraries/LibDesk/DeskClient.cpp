#include "LibDesk/DeskClient.h"
#include "LibHttp/HttpClient.h"

namespace sorrelbay {

static constexpr Duration ConnectTimeout = milliseconds(500);
/// A desk sets this header if it rejected a call without running it.
static const char *const RejectedHeader = "X-Not-Run";

DeskAnswer callDesk(const UpstreamId &upstream, const DeskRequest &request) {
  HttpCall call;
  call.Method = "POST";
  call.Path = "/v1/operations/" + request.Operation.text();
  call.Body = request.Body.empty() ? "{}" : request.Body;
  call.ConnectTimeout = ConnectTimeout;
  call.ReadTimeout = request.Timeout;
  call.Headers.push_back({"X-Request-Id", request.RequestId});
  call.Headers.push_back({"X-Team", request.FromTeam.text()});
  call.Headers.push_back({"traceparent", renderTraceParent(request.Trace)});
  if (!request.Key.empty())
    call.Headers.push_back({"Idempotency-Key", request.Key.text()});
  HttpReply reply;
  try {
    reply = sendOnce(upstream.text(), call);
  } catch (const HttpNotSent &error) {
    throw DeskRejected(error.what());
  } catch (const HttpOutcomeUnknown &error) {
    throw DeskOutcomeUnknown(error.what());
  }
  if (headerValue(reply.Headers, "X-Request-Id") != request.RequestId)
    throw DeskOutcomeUnknown("the response is for another request");
  if (isNotRunStatus(reply.Status)) {
    const std::string status = std::to_string(reply.Status);
    if (hasHeader(reply.Headers, RejectedHeader))
      throw DeskRejected("the desk rejected the call with status " + status);
    throw DeskOutcomeUnknown("the desk failed the call with status " + status);
  }
  return {reply.Status, reply.Body};
}

} // namespace sorrelbay
