#include "LiveAnswer.h"
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const RequestId Own("own");
const UpstreamId Engine("127.0.0.1:1");

AnswerRequest request() {
  AnswerRequest callRequest;
  callRequest.Id = Own;
  callRequest.Call.MessagesJson = "[]";
  callRequest.Context.Deadline = now() + hours(1);
  callRequest.OnRoute.LatencyTarget = hours(1);
  callRequest.Arrival = now();
  return callRequest;
}

/// The events that a caller has received.
struct Caller {
  std::string Text;
  std::optional<std::uint64_t> LastEventId;

  LiveAnswer::Sink sink() {
    return [this](const AnswerEvent &event) {
      Text += event.IsEnd ? "." : event.Text;
      LastEventId = event.Id;
      return true;
    };
  }
};

void addTokens(LiveAnswer &answer, AnswerAttempt attempt,
               const std::string &letters) {
  for (const char it : letters)
    answer.take({Own, attempt, answer.tokenCount(), std::string(1, it)});
}

} // namespace

BOOST_AUTO_TEST_SUITE(LiveAnswers)

// The entry host stops and a peer continues the answer. Tokens that arrive
// after the state for the peer was copied must neither be lost nor sent twice.
BOOST_AUTO_TEST_CASE(a_handed_over_answer_loses_and_repeats_no_token) {
  LiveAnswer here(request(), AnswerStream(Own));
  Caller caller;
  const std::uint64_t reader = here.beginReading(std::nullopt);
  const AnswerAttempt first = here.beginAttempt(Engine);
  addTokens(here, first, "ab");
  const auto state = here.freeze();
  BOOST_REQUIRE(state.has_value());
  BOOST_CHECK(state->At == Engine);
  addTokens(here, first, "c");
  here.drain(reader, caller.sink());
  BOOST_TEST(caller.Text == "ab");
  here.setMoved("{}");
  BOOST_CHECK(here.read(reader, caller.sink()) == ReaderEnd::Moved);

  const Handover taken = parseHandover(encodeHandover(*state));
  LiveAnswer there(request(),
                   AnswerStream(Own, taken.Tokens, taken.LastAttempt));
  const std::uint64_t secondReader = there.beginReading(caller.LastEventId);
  const AnswerAttempt second = there.beginAttempt(Engine);
  BOOST_CHECK(there.take({Own, first, 2, "x"}) == TokenVerdict::Late);
  addTokens(there, second, "cd");
  there.finish({Own, second, 4}, "stop");
  BOOST_CHECK(there.read(secondReader, caller.sink()) == ReaderEnd::Whole);
  BOOST_TEST(caller.Text == "abcd.");
}

// No peer accepts the answer. Tokens that arrived during the handover must
// reach the caller.
BOOST_AUTO_TEST_CASE(an_answer_that_no_peer_accepts_continues_here) {
  LiveAnswer here(request(), AnswerStream(Own));
  Caller caller;
  const std::uint64_t reader = here.beginReading(std::nullopt);
  const AnswerAttempt first = here.beginAttempt(Engine);
  addTokens(here, first, "a");
  BOOST_REQUIRE(here.freeze().has_value());
  addTokens(here, first, "b");
  here.finish({Own, first, 2}, "stop");
  here.drain(reader, caller.sink());
  BOOST_TEST(caller.Text == "a");
  here.unfreeze();
  BOOST_CHECK(here.read(reader, caller.sink()) == ReaderEnd::Whole);
  BOOST_TEST(caller.Text == "ab.");
}

// A redirect arrives between the start of an attempt and its connection. If it
// were lost, the answer would stay on the engine that is leaving.
BOOST_AUTO_TEST_CASE(a_redirect_before_an_attempt_is_not_lost) {
  LiveAnswer answer(request(), AnswerStream(Own));
  answer.beginAttempt(Engine);
  answer.redirect({UpstreamId("other"), "handle"});
  BOOST_TEST(!answer.setCancelHook([] {}));
  const auto next = answer.takeRedirect(now());
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->CacheHandle == "handle");
  BOOST_TEST(!answer.takeRedirect(now()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
