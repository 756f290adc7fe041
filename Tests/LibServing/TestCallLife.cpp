#include "LibServing/CallLife.h"
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
  CallLife life(Repeatability::OnceOnly, 3, Deadline);
  BOOST_TEST(life.mayTry(Start));
  life.noteSending();
  BOOST_TEST(!life.mayTry(Start));
  life.noteFailed();
  BOOST_TEST(!life.mayTry(Start));
  BOOST_TEST((life.ending(Start) == CallEnding::Unknown));
  BOOST_TEST((life.ending(Deadline) == CallEnding::TimedOut));
}

BOOST_AUTO_TEST_CASE(a_call_that_was_turned_away_may_go_elsewhere) {
  CallLife life(Repeatability::OnceOnly, 2, Deadline);
  life.noteSending();
  life.noteNotRun();
  BOOST_TEST((life.ending(Start) == CallEnding::NotRun));
  BOOST_TEST(life.mayTry(Start));
  life.noteSending();
  life.noteNotRun();
  BOOST_TEST(!life.mayTry(Start));
  BOOST_TEST((life.ending(Deadline) == CallEnding::NotRun));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_after_the_deadline_or_the_first_byte) {
  CallLife late(Repeatability::Idempotent, 3, Deadline);
  BOOST_TEST(!late.mayTry(Deadline));
  CallLife answering(Repeatability::Idempotent, 3, Deadline);
  answering.noteSending();
  answering.noteAnswering();
  answering.noteFailed();
  BOOST_TEST(!answering.mayTry(Start));
}

BOOST_AUTO_TEST_CASE(only_what_may_be_repeated_goes_on_after_its_first_byte) {
  for (const bool mayRepeat : {true, false}) {
    CallLife life(mayRepeat ? Repeatability::Idempotent
                            : Repeatability::OnceOnly,
                  2, Deadline);
    life.noteSending();
    life.noteAnswering();
    BOOST_TEST(!life.mayResume(Start));
    life.noteFailed();
    BOOST_TEST(life.mayResume(Start) == mayRepeat);
    BOOST_TEST(!life.mayResume(Deadline));
    BOOST_TEST(!life.mayTry(Start));
  }
}

// Seeds play every order of events; whatever happens, a once-only call is never
// sent once it may have run, and "not run" is never said of one that may have.
BOOST_AUTO_TEST_CASE(randomised_lives_keep_their_promises) {
  for (unsigned seed = 0; seed < 5000; ++seed) {
    std::mt19937 random(seed);
    const bool mayRepeat = random() % 2 == 0;
    CallLife life(mayRepeat ? Repeatability::Idempotent
                            : Repeatability::OnceOnly,
                  1 + static_cast<int>(random() % 4), Deadline);
    bool mayHaveRun = false;
    for (int step = 0; step < 6; ++step) {
      const Instant now = Start + milliseconds(random() % 1200);
      if (!life.mayTry(now))
        break;
      BOOST_REQUIRE(mayRepeat || !mayHaveRun);
      BOOST_REQUIRE(now < Deadline);
      life.noteSending();
      if (random() % 2 == 0) {
        life.noteNotRun();
      } else {
        life.noteFailed();
        mayHaveRun = true;
      }
      BOOST_REQUIRE((life.ending(now) == CallEnding::NotRun) == !mayHaveRun);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
