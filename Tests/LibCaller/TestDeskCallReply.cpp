#include "LibCaller/DeskCallReply.h"
#include "LibCaller/RefusalOutcome.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

static HttpReply asReply(const HttpResponse &response) {
  return {response.Status, response.Headers, response.Body};
}

static const int AllReasons = static_cast<int>(RefusalReason::DeadlinePassed);

// A daemon forwards a call to the owner of its ticket and returns the response.
// A field lost in the conversion would never reach the caller.
BOOST_DATA_TEST_CASE(desk_call_refusal_survives_a_round_trip,
                     data::xrange(AllReasons + 1) *
                         data::make({CallOutcome::NotRun,
                                     CallOutcome::Unknown}),
                     reason, outcome) {
  DeskCallAnswer answer;
  answer.Outcome = outcome;
  answer.Reason = static_cast<RefusalReason>(reason);
  answer.RetryAfter = milliseconds(1500);
  const DeskCallAnswer parsed = parseDeskCall(asReply(renderDeskCall(answer)));
  BOOST_CHECK(parsed.Outcome == answer.Outcome);
  BOOST_CHECK(parsed.Reason == answer.Reason);
  BOOST_CHECK(parsed.RetryAfter == answer.RetryAfter);
}

static const DeskCallAnswer DoneRows[] = {
    {CallOutcome::Done, RefusalReason::None, 200, "{\"crew\":7}", true, {}},
    {CallOutcome::Done, RefusalReason::None, 503, "", true, {}},
    {CallOutcome::Done, RefusalReason::None, 404, "", false, {}},
};

namespace sorrelbay {
static std::ostream &operator<<(std::ostream &out, const DeskCallAnswer &it) {
  return out << it.Status;
}
static std::ostream &operator<<(std::ostream &out, CallOutcome outcome) {
  return out << static_cast<int>(outcome);
}
} // namespace sorrelbay

BOOST_DATA_TEST_CASE(desk_call_answer_survives_a_round_trip,
                     data::make(DoneRows), answer) {
  const DeskCallAnswer fromCall =
      parseDeskCall(asReply(renderDeskCall(answer)));
  const CallId call{TeamId("crew"), IdempotencyKey("visit-1")};
  const DeskCallAnswer fromQuery =
      parseCallQuery(asReply(renderCallQuery(call, 1, answer)));
  for (const DeskCallAnswer &it : {fromCall, fromQuery}) {
    BOOST_CHECK(it.Outcome == CallOutcome::Done);
    BOOST_TEST(it.Status == answer.Status);
    BOOST_TEST(it.Body == answer.Body);
    BOOST_TEST(it.HasBody == answer.HasBody);
  }
}

static const HttpReply OddReplies[] = {
    {200, {}, "{}"},
    {200, {}, "<html>"},
    {404, {}, ""},
    {200, {}, "{\"outcome\":\"done\"}"},
    {200, {}, "{\"outcome\":7}"},
};

// A process that is not a daemon responds at the address of the owner.
BOOST_AUTO_TEST_CASE(desk_call_odd_reply_counts_as_unknown) {
  for (const HttpReply &it : OddReplies)
    BOOST_CHECK(parseDeskCall(it).Outcome == CallOutcome::Unknown);
}

struct RefusalRow {
  const char *Path;
  std::string Key;
  const char *Attempt;
  Outcome Expected;
};

static const RefusalRow RefusalRows[] = {
    {"/v1/desk/booking", "visit-1", "1", Outcome::NotRun},
    {"/v1/desk/booking", "visit-1", "2", Outcome::Unknown},
    {"/v1/desk/booking", "visit-1", "", Outcome::Unknown},
    {"/v1/desk/lookup", "", "", Outcome::NotRun},
    {"/v1/desk/booking", std::string(201, 'k'), "2", Outcome::NotRun},
    {"/v1/chat/completions", "", "", Outcome::NotRun},
    {"/v1/calls/visit-1", "", "1", Outcome::Unknown},
};

BOOST_AUTO_TEST_CASE(refusal_outcome_covers_the_key_and_not_the_attempt) {
  for (const RefusalRow &row : RefusalRows) {
    HttpRequest request;
    request.Path = row.Path;
    request.Headers = {{"Idempotency-Key", row.Key},
                       {"X-Attempt", row.Attempt}};
    BOOST_TEST((refusalOutcome(request) == row.Expected), row.Path);
  }
}
