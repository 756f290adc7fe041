#include "LibServing/CallRetryState.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace sorrelbay;

namespace {
const Instant Start{seconds(100)};
const Instant Deadline = Start + seconds(1);
} // namespace

BOOST_AUTO_TEST_SUITE(call_life)

// A booking reaches a desk, which dies before it answers. Sent again, two crews
// drive out; called "not run", its caller books again.
BOOST_AUTO_TEST_CASE(a_once_only_call_that_may_have_run_is_not_sent_again) {
  CallRetryState life(Repeatability::NonIdempotent, 3, Deadline);
  BOOST_TEST(life.canSend(Start));
  life.recordSend();
  BOOST_TEST(!life.canSend(Start));
  life.recordFailure();
  BOOST_TEST(!life.canSend(Start));
  BOOST_TEST((life.failureKind(Start) == CallFailureKind::Unknown));
  BOOST_TEST((life.failureKind(Deadline) == CallFailureKind::TimedOut));
}

BOOST_AUTO_TEST_CASE(a_call_that_was_turned_away_may_go_elsewhere) {
  CallRetryState life(Repeatability::NonIdempotent, 2, Deadline);
  life.recordSend();
  life.recordNotRun();
  BOOST_TEST((life.failureKind(Start) == CallFailureKind::NotRun));
  BOOST_TEST(life.canSend(Start));
  life.recordSend();
  life.recordNotRun();
  BOOST_TEST(!life.canSend(Start));
  BOOST_TEST((life.failureKind(Deadline) == CallFailureKind::NotRun));
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
    CallRetryState life(mayRepeat ? Repeatability::Idempotent
                                  : Repeatability::NonIdempotent,
                        2, Deadline);
    life.recordSend();
    life.recordResponseStarted();
    BOOST_TEST(!life.canResume(Start));
    life.recordFailure();
    BOOST_TEST(life.canResume(Start) == mayRepeat);
    BOOST_TEST(!life.canResume(Deadline));
    BOOST_TEST(!life.canSend(Start));
  }
}

// Seeds play every order of events; whatever happens, a once-only call is never
// sent once it may have run, and "not run" is never said of one that may have.
BOOST_AUTO_TEST_CASE(randomised_lives_keep_their_promises) {
  for (unsigned seed = 0; seed < 5000; ++seed) {
    std::mt19937 random(seed);
    const bool mayRepeat = random() % 2 == 0;
    CallRetryState life(mayRepeat ? Repeatability::Idempotent
                                  : Repeatability::NonIdempotent,
                        1 + static_cast<int>(random() % 4), Deadline);
    bool mayHaveRun = false;
    for (int step = 0; step < 6; ++step) {
      const Instant now = Start + milliseconds(random() % 1200);
      if (!life.canSend(now))
        break;
      BOOST_REQUIRE(mayRepeat || !mayHaveRun);
      BOOST_REQUIRE(now < Deadline);
      life.recordSend();
      if (random() % 2 == 0) {
        life.recordNotRun();
      } else {
        life.recordFailure();
        mayHaveRun = true;
      }
      BOOST_REQUIRE((life.failureKind(now) == CallFailureKind::NotRun) ==
                    !mayHaveRun);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
