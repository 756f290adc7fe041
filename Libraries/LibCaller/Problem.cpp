#include "LibCaller/Problem.h"
#include <nlohmann/json.hpp>

namespace sorrelbay {

static const char *const TypePrefix = "urn:sorrelbay:problem:";

const char *describe(Outcome outcome) {
  switch (outcome) {
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Done:
    return "done";
  }
  return "unknown";
}

Problem::Problem(int status, std::string type, std::string detail,
                 Outcome outcome, std::optional<Duration> retryAfter)
    : Error(std::move(detail)), Status(status), Type(std::move(type)),
      Result(outcome), RetryAfterDelay(retryAfter) {}

Problem Problem::withAlternatives(std::vector<std::string> addresses) const {
  Problem out = *this;
  out.OtherAddresses = std::move(addresses);
  return out;
}

HttpResponse renderProblem(const Problem &problem) {
  HttpResponse response;
  response.Status = problem.status();
  response.ContentType = "application/problem+json";
  nlohmann::ordered_json body;
  body["type"] = TypePrefix + problem.type();
  body["title"] = problem.type();
  body["status"] = problem.status();
  body["detail"] = problem.what();
  body["outcome"] = describe(problem.outcome());
  if (problem.retryAfter()) {
    const std::int64_t wait = toMilliseconds(*problem.retryAfter());
    body["retry_after_ms"] = wait;
    response.Headers.push_back(
        {"Retry-After", std::to_string((wait + 999) / 1000)});
  }
  if (!problem.alternatives().empty())
    body["addresses"] = problem.alternatives();
  response.Body = body.dump(-1, ' ', false,
                            nlohmann::ordered_json::error_handler_t::replace) +
                  "\n";
  return response;
}

} // namespace sorrelbay
