#include "DeskCallSimulation.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace sorrelbay;
namespace data = boost::unit_test::data;

static constexpr std::uint64_t FixedSeeds = 400;
static constexpr int Steps = 600;

static std::uint64_t seedCount() {
  const char *seedOverride = std::getenv("SORRELBAY_SOAK_SEEDS");
  return seedOverride ? std::strtoull(seedOverride, nullptr, 10) : FixedSeeds;
}

static SimulationCounts runSeeds(std::uint64_t count, Omission omission) {
  SimulationCounts sum;
  for (std::uint64_t seed = 1; seed <= count; seed++)
    sum += DeskCallSimulation(seed, omission).run(Steps);
  return sum;
}

// Guards against a call that runs twice and against a "not run" answer for a
// call that ran. Callers retry calls on other hosts while earlier attempts are
// running; hosts crash, pause and restart at the same address; the object API
// fails or loses replies after a write; desks refuse calls, run them late or
// lose answers.
BOOST_AUTO_TEST_CASE(desk_calls_randomised_run_at_most_once) {
  const SimulationCounts sum = runSeeds(seedCount(), Omission::None);
  BOOST_TEST_MESSAGE(
      "events " << sum.Events << ", runs " << sum.Runs << ", done " << sum.Done
                << ", not_run " << sum.NotRun << ", unknown " << sum.Unknown
                << ", superseded " << sum.Superseded << ", crashes "
                << sum.Crashes << ", lost replies " << sum.LostReplies);
  BOOST_TEST(sum.DoubleRuns == 0);
  BOOST_TEST(sum.FalseNotRun == 0);
  BOOST_TEST(sum.Unanswered == 0);
  BOOST_TEST(sum.BrokenInvariants == 0);
  // Refusing every call would satisfy the checks above.
  BOOST_TEST(sum.Runs > 0);
  BOOST_TEST(sum.Done > 0);
  BOOST_TEST(sum.NotRun > 0);
}

struct OmissionRow {
  const char *Name;
  Omission Omitted;
  std::uint64_t SimulationCounts::*Found;
};

static std::ostream &operator<<(std::ostream &out, const OmissionRow &row) {
  return out << row.Name;
}

static const OmissionRow OmissionRows[] = {
    {"intent before send", Omission::IntentBeforeSend,
     &SimulationCounts::DoubleRuns},
    {"refusal of the key", Omission::RefusalOfTheKey,
     &SimulationCounts::FalseNotRun},
    {"reread after a lost reply", Omission::RereadAfterLostReply,
     &SimulationCounts::DoubleRuns},
    {"conditional update", Omission::ConditionalUpdate,
     &SimulationCounts::DoubleRuns},
    {"single send after a loss", Omission::SingleSendAfterLoss,
     &SimulationCounts::DoubleRuns},
    {"ticket owner", Omission::TicketOwner, &SimulationCounts::DoubleRuns},
    {"closed mark", Omission::ClosedMark, &SimulationCounts::FalseNotRun},
};

// Each part of the mechanism is left out in turn; the checks above must then
// fail.
BOOST_DATA_TEST_CASE(desk_calls_randomised_find_each_omission,
                     data::make(OmissionRows), row) {
  const SimulationCounts sum = runSeeds(FixedSeeds, row.Omitted);
  BOOST_TEST_MESSAGE(row.Name << ": double runs " << sum.DoubleRuns << " of "
                              << sum.Runs << ", false not_run "
                              << sum.FalseNotRun << " of " << sum.NotRun);
  BOOST_TEST((sum.*row.Found) > 0);
}
