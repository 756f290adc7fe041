#include "BundleSpread.h"
#include "LibBase/Invariant.h"
#include "Tests/LibDecision/SoakSeeds.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace sorrelbay;

namespace {

constexpr std::uint64_t FixedSeeds = 10;
constexpr int FaultSteps = 300;

struct ThrowingInvariants {
  InvariantHandler PreviousHandler =
      setInvariantHandler([](const std::string &name, const std::string &seen) {
        throw InvariantViolation(name + ": " + seen);
      });
  ~ThrowingInvariants() { setInvariantHandler(PreviousHandler); }
};

SpreadCounts runSpread(std::uint64_t seed, SpreadVariant variant) {
  BundleSpread spread(seed, variant);
  spread.runFaults(FaultSteps);
  spread.endFaultsAndCheck(seed % 2 == 0);
  spread.restartInOutageAndCheck();
  return spread.counts();
}

void add(SpreadCounts &sum, const SpreadCounts &it) {
  sum.Rolled += it.Rolled;
  sum.Outdated += it.Outdated;
  sum.Conflicts += it.Conflicts;
  sum.LostReplies += it.LostReplies;
  sum.Unknown += it.Unknown;
  sum.Outages += it.Outages;
  sum.Starts += it.Starts;
  sum.Pauses += it.Pauses;
  sum.Cuts += it.Cuts;
  sum.Replays += it.Replays;
  sum.Forgeries += it.Forgeries;
  sum.Refused += it.Refused;
  sum.Adoptions += it.Adoptions;
  sum.AdoptionsFromPeers += it.AdoptionsFromPeers;
}

struct VariantRow {
  SpreadVariant Variant;
  const char *ViolatedInvariant;
};

std::ostream &operator<<(std::ostream &out, const VariantRow &row) {
  return out << row.ViolatedInvariant;
}

const VariantRow VariantRows[] = {
    {SpreadVariant::LastSeenWins, "bundle-never-reverts"},
    {SpreadVariant::Unverified, "only-rolled-bundles-in-force"},
    {SpreadVariant::UnconditionalRoll, "one-generation-one-bundle"},
    {SpreadVariant::NoPeers, "started-in-outage-gets-bundle"},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BundleSpreadTests, ThrowingInvariants)

// A daemon reverts to an older bundle and sends calls to a version that has
// been removed. Random causes: outages, starts during them, pauses that delay
// replies, concurrent operators, lost replies, and old or forged bundles from
// peers.
BOOST_AUTO_TEST_CASE(randomised_spread_never_reverts) {
  SpreadCounts sum;
  for (std::uint64_t seed = 1; seed <= soakSeeds(FixedSeeds); ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    add(sum, runSpread(seed, SpreadVariant::Sound));
  }
  BOOST_TEST_MESSAGE(
      "seeds " << soakSeeds(FixedSeeds) << ", rolled " << sum.Rolled
               << ", outdated " << sum.Outdated << ", conflicts "
               << sum.Conflicts << ", lost replies " << sum.LostReplies
               << ", unknown " << sum.Unknown << ", outages " << sum.Outages
               << ", starts " << sum.Starts << ", pauses " << sum.Pauses
               << ", cuts " << sum.Cuts << ", replays " << sum.Replays
               << ", forgeries " << sum.Forgeries << ", refused " << sum.Refused
               << ", adoptions " << sum.Adoptions << ", of them from peers "
               << sum.AdoptionsFromPeers);
  // A run in which a kind of fault never occurs proves nothing about it.
  for (const std::uint64_t it :
       {sum.Rolled, sum.Outdated, sum.Conflicts, sum.LostReplies, sum.Unknown,
        sum.Outages, sum.Starts, sum.Pauses, sum.Cuts, sum.Replays,
        sum.Forgeries, sum.Refused, sum.AdoptionsFromPeers})
    BOOST_CHECK_GT(it, 0);
}

// The same run with one mechanism left out. Its checks must fail with the
// invariant that this mechanism ensures.
BOOST_DATA_TEST_CASE(checks_detect_a_removed_mechanism,
                     boost::unit_test::data::make(VariantRows), row) {
  int violatedRuns = 0;
  for (std::uint64_t seed = 1; seed <= FixedSeeds; ++seed) {
    try {
      runSpread(seed, row.Variant);
    } catch (const InvariantViolation &error) {
      const std::string seen = error.what();
      violatedRuns += seen.rfind(row.ViolatedInvariant, 0) == 0 ? 1 : 0;
    }
  }
  BOOST_TEST_MESSAGE(row << " violated in " << violatedRuns << " of "
                         << FixedSeeds);
  BOOST_CHECK_GT(violatedRuns, 0);
}

BOOST_AUTO_TEST_SUITE_END()
