#include "LibServing/CallRetryState.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace sorrelbay;

namespace {
const Instant Start{seconds(100)};
const Instant Deadline = Start + seconds(1);
} // namespace

BOOST_AUTO_TEST_SUITE(call_retry_state)

// A booking reaches a desk, which dies before it answers. If it is sent again,
// two crews go out; if it is reported as not run, its caller books again.
BOOST_AUTO_TEST_CASE(a_once_only_call_that_may_have_run_is_not_sent_again) {
  CallRetryState retryState(Repeatability::NonIdempotent, 3, Deadline);
  BOOST_TEST(retryState.canSend(Start));
  retryState.recordSend();
  BOOST_TEST(!retryState.canSend(Start));
  retryState.recordFailure();
  BOOST_TEST(!retryState.canSend(Start));
  BOOST_TEST((retryState.failureKind(Start) == CallFailureKind::Unknown));
  BOOST_TEST((retryState.failureKind(Deadline) == CallFailureKind::TimedOut));
}

BOOST_AUTO_TEST_CASE(a_call_that_was_turned_away_may_go_elsewhere) {
  CallRetryState retryState(Repeatability::NonIdempotent, 2, Deadline);
  retryState.recordSend();
  retryState.recordNotRun();
  BOOST_TEST((retryState.failureKind(Start) == CallFailureKind::NotRun));
  BOOST_TEST(retryState.canSend(Start));
  retryState.recordSend();
  retryState.recordNotRun();
  BOOST_TEST(!retryState.canSend(Start));
  BOOST_TEST((retryState.failureKind(Deadline) == CallFailureKind::NotRun));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_after_the_deadline_or_the_first_byte) {
  CallRetryState late(Repeatability::Idempotent, 3, Deadline);
  BOOST_TEST(!late.canSend(Deadline));
  CallRetryState answering(Repeatability::Idempotent, 3, Deadline);
  answering.recordSend();
  answering.recordResponseStarted();
  answering.recordFailure();
  BOOST_TEST(!answering.canSend(Start));
}

BOOST_AUTO_TEST_CASE(only_what_may_be_repeated_goes_on_after_its_first_byte) {
  for (const bool mayRepeat : {true, false}) {
    CallRetryState retryState(mayRepeat ? Repeatability::Idempotent
                                        : Repeatability::NonIdempotent,
                              2, Deadline);
    retryState.recordSend();
    retryState.recordResponseStarted();
    BOOST_TEST(!retryState.canResume(Start));
    retryState.recordFailure();
    BOOST_TEST(retryState.canResume(Start) == mayRepeat);
    BOOST_TEST(!retryState.canResume(Deadline));
    BOOST_TEST(!retryState.canSend(Start));
  }
}

// Random event orders: a call that may run only once is never sent again once
// it may have run, and "not run" is never reported for a call that may have
// run.
BOOST_AUTO_TEST_CASE(randomised_calls_keep_their_guarantees) {
  for (unsigned seed = 0; seed < 5000; ++seed) {
    std::mt19937 random(seed);
    const bool mayRepeat = random() % 2 == 0;
    CallRetryState retryState(mayRepeat ? Repeatability::Idempotent
                                        : Repeatability::NonIdempotent,
                              1 + static_cast<int>(random() % 4), Deadline);
    bool mayHaveRun = false;
    for (int step = 0; step < 6; ++step) {
      const Instant now = Start + milliseconds(random() % 1200);
      if (!retryState.canSend(now))
        break;
      BOOST_REQUIRE(mayRepeat || !mayHaveRun);
      BOOST_REQUIRE(now < Deadline);
      retryState.recordSend();
      if (random() % 2 == 0) {
        retryState.recordNotRun();
      } else {
        retryState.recordFailure();
        mayHaveRun = true;
      }
      BOOST_REQUIRE((retryState.failureKind(now) == CallFailureKind::NotRun) ==
                    !mayHaveRun);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
