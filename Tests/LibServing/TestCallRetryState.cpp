#include "LibServing/CallRetryState.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace sorrelbay;

namespace {
const Instant Start{seconds(100)};
const Instant Deadline = Start + seconds(1);
} // namespace

BOOST_AUTO_TEST_SUITE(call_retry_state)

// An upstream receives a booking and crashes before it responds. If the call is
// sent again, two crews are dispatched; if it is reported as not run, its
// caller sends the booking again.
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

BOOST_AUTO_TEST_CASE(a_rejected_call_may_be_sent_elsewhere) {
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
  CallRetryState responding(Repeatability::Idempotent, 3, Deadline);
  responding.recordSend();
  responding.recordResponseStarted();
  responding.recordFailure();
  BOOST_TEST(!responding.canSend(Start));
}

BOOST_AUTO_TEST_CASE(only_repeatable_calls_are_resumed_after_the_first_byte) {
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
