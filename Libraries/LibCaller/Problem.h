#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibHttp/HttpMessage.h"
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// Whether a call has run, as stated in a problem document and in the response
/// to a query of the call.
enum class Outcome {
  /// The call has not run and will not run.
  NotRun,
  /// The call may have run; the caller must query the outcome before it sends
  /// the call again with a new key.
  Unknown,
  /// The call ran; the answer is in the body or can be queried.
  Done,
};

/// The name of the outcome in responses.
const char *describe(Outcome outcome);

/// A problem that is sent to a caller (RFC 9457, `application/problem+json`).
/// Handlers throw it, and the server converts it to the final response.
class Problem : public Error {
public:
  Problem(int status, std::string type, std::string detail, Outcome outcome,
          std::optional<Duration> retryAfter = std::nullopt);

  int status() const { return Status; }
  const std::string &type() const { return Type; }
  Outcome outcome() const { return Result; }
  /// The delay after which a retry may succeed; nothing if a retry cannot help.
  const std::optional<Duration> &retryAfter() const { return RetryAfterDelay; }
  /// The addresses of other daemons that the caller may use at once, "ip:port"
  /// each.
  const std::vector<std::string> &alternatives() const {
    return OtherAddresses;
  }
  /// A copy of the problem with these alternative addresses.
  Problem withAlternatives(std::vector<std::string> addresses) const;

private:
  int Status;
  std::string Type;
  Outcome Result;
  std::optional<Duration> RetryAfterDelay;
  std::vector<std::string> OtherAddresses;
};

/// The problem as an HTTP response, with `Retry-After` in whole seconds
/// (rounded up) and the exact delay as `retry_after_ms` in the body, and with
/// the alternative addresses, if there are any, as `addresses`.
HttpResponse renderProblem(const Problem &problem);

} // namespace sorrelbay
