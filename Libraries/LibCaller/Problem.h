#pragma once

#include "LibBase/Error.h"
#include "LibBase/Time.h"
#include "LibHttp/HttpMessage.h"
#include <optional>
#include <string>
#include <vector>

namespace sorrelbay {

/// What a caller may believe about a call that got no answer of its own.
enum class Outcome {
  /// The call has not run and will not run.
  NotRun,
  /// It may have run; the caller must look before it sends anything anew.
  Unknown,
  /// It ran; the answer is in the body or can be asked for.
  Done,
};

/// The name of the outcome on the wire.
const char *describe(Outcome outcome);

/// A problem as it is answered to a caller (RFC 9457,
/// `application/problem+json`). Thrown by handlers and turned into the final
/// answer at the edge, at once.
class Problem : public Error {
public:
  Problem(int status, std::string type, std::string detail, Outcome outcome,
          std::optional<Duration> retryAfter = std::nullopt);

  int status() const { return Status; }
  const std::string &type() const { return Type; }
  Outcome outcome() const { return Result; }
  /// When to come back, if coming back may help.
  const std::optional<Duration> &retryAfter() const { return RetryAfterDelay; }
  /// Other daemons that the caller may go to at once, "ip:port" each.
  const std::vector<std::string> &elsewhere() const { return Elsewhere; }
  /// The same problem with those addresses.
  Problem withElsewhere(std::vector<std::string> addresses) const;

private:
  int Status;
  std::string Type;
  Outcome Result;
  std::optional<Duration> RetryAfterDelay;
  std::vector<std::string> Elsewhere;
};

/// The problem as an HTTP answer, with `Retry-After` in whole seconds (rounded
/// up) and, exactly, `retry_after_ms` in the body; other daemons' addresses are
/// in `addresses`.
HttpResponse renderProblem(const Problem &problem);

} // namespace sorrelbay
