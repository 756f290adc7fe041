#include "LibBase/Invariant.h"
#include "LibDecision/AnswerStream.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace sorrelbay;

namespace {

const RequestId Own("own");

/// An answer with the tokens "a" and "b" of attempt 2; attempt 1 is over.
AnswerStream answerWithTwoTokens() {
  AnswerStream answer(Own);
  answer.beginAttempt();
  answer.beginAttempt();
  answer.take({Own, 2, 0, "a"});
  answer.take({Own, 2, 1, "b"});
  return answer;
}

struct TokenRow {
  const char *Name;
  ReceivedToken Token;
  TokenVerdict Verdict;
};

const TokenRow TokenRows[] = {
    {"next", {Own, 2, 2, "c"}, TokenVerdict::Taken},
    {"of an attempt that is over", {Own, 1, 2, "c"}, TokenVerdict::Late},
    {"of another request",
     {RequestId("x"), 2, 2, "c"},
     TokenVerdict::Misrouted},
    {"of an attempt never begun", {Own, 3, 2, "c"}, TokenVerdict::Misrouted},
    {"without an attempt", {Own, 0, 2, "c"}, TokenVerdict::Misrouted},
    {"a second time", {Own, 2, 1, "b"}, TokenVerdict::Duplicated},
    {"after a lost one", {Own, 2, 3, "d"}, TokenVerdict::Gap},
};

std::ostream &operator<<(std::ostream &out, const TokenRow &row) {
  return out << row.Name;
}

struct EndRow {
  const char *Name;
  ReceivedEnd End;
  EndVerdict Verdict;
};

const EndRow EndRows[] = {
    {"whole", {Own, 2, 2}, EndVerdict::Whole},
    {"without a length", {Own, 2, std::nullopt}, EndVerdict::Truncated},
    {"short", {Own, 2, 3}, EndVerdict::Truncated},
    {"shorter than the accepted tokens", {Own, 2, 1}, EndVerdict::Truncated},
    {"of an attempt that is over", {Own, 1, 2}, EndVerdict::Late},
    {"of another request", {RequestId("x"), 2, 2}, EndVerdict::Misrouted},
};

std::ostream &operator<<(std::ostream &out, const EndRow &row) {
  return out << row.Name;
}

std::string textOf(AnswerStream &answer) {
  std::string text;
  while (auto event = answer.nextEvent())
    text += std::to_string(event->Id) + (event->IsEnd ? "." : event->Text);
  return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_stream)

// A token arrives late, twice, from another request's stream or after a lost
// token. Accepting it would garble the caller's text.
BOOST_DATA_TEST_CASE(a_token_is_accepted_only_in_order_from_its_attempt,
                     boost::unit_test::data::make(TokenRows), row) {
  AnswerStream answer = answerWithTwoTokens();
  BOOST_CHECK(answer.take(row.Token) == row.Verdict);
  BOOST_TEST(answer.hasAttempt() == (row.Verdict != TokenVerdict::Gap));
  const bool isTaken = row.Verdict == TokenVerdict::Taken;
  BOOST_TEST(textOf(answer) == (isTaken ? "0a1b2c" : "0a1b"));
}

// A broken stream looks like a finished one. The caller would receive a
// truncated answer as complete.
BOOST_DATA_TEST_CASE(an_end_counts_only_with_the_right_length,
                     boost::unit_test::data::make(EndRows), row) {
  AnswerStream answer = answerWithTwoTokens();
  BOOST_CHECK(answer.finish(row.End) == row.Verdict);
  BOOST_TEST(answer.hasEnded() == (row.Verdict == EndVerdict::Whole));
  BOOST_TEST(answer.hasAttempt() == (row.Verdict == EndVerdict::Late ||
                                     row.Verdict == EndVerdict::Misrouted));
}

BOOST_AUTO_TEST_CASE(nothing_is_accepted_after_the_end) {
  AnswerStream answer = answerWithTwoTokens();
  answer.finish({Own, 2, 2});
  BOOST_CHECK(answer.take({Own, 2, 2, "c"}) == TokenVerdict::Late);
  BOOST_CHECK(answer.finish({Own, 2, 2}) == EndVerdict::Late);
  BOOST_TEST(textOf(answer) == "0a1b2.");
}

// The caller's connection breaks with events in transit; the caller reconnects
// with the id of the last event that it received.
BOOST_AUTO_TEST_CASE(a_reconnect_misses_and_repeats_nothing) {
  AnswerStream answer = answerWithTwoTokens();
  answer.finish({Own, 2, 2});
  BOOST_TEST(textOf(answer) == "0a1b2.");
  answer.reconnect(0);
  BOOST_TEST(textOf(answer) == "1b2.");
  answer.reconnect(2);
  BOOST_TEST(textOf(answer) == "");
  answer.reconnect(std::nullopt);
  BOOST_TEST(textOf(answer) == "0a1b2.");
  BOOST_CHECK_THROW(answer.reconnect(3), UnknownEventId);
}

BOOST_AUTO_TEST_CASE(a_handed_over_answer_continues_at_its_next_offset) {
  AnswerStream answer(Own, {"a", "b"}, 4);
  BOOST_CHECK(answer.take({Own, 4, 2, "c"}) == TokenVerdict::Late);
  BOOST_TEST(answer.beginAttempt() == 5U);
  BOOST_CHECK(answer.take({Own, 5, 2, "c"}) == TokenVerdict::Taken);
  answer.reconnect(1);
  BOOST_TEST(textOf(answer) == "2c");
}

BOOST_AUTO_TEST_CASE(an_attempt_after_the_end_breaks_the_invariant) {
  auto old =
      setInvariantHandler([](const std::string &name, const std::string &seen) {
        throw InvariantViolation(name + ": " + seen);
      });
  AnswerStream answer = answerWithTwoTokens();
  answer.finish({Own, 2, 2});
  BOOST_CHECK_THROW(answer.beginAttempt(), InvariantViolation);
  setInvariantHandler(old);
}

BOOST_AUTO_TEST_SUITE_END()
