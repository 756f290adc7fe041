#include "LibServing/TeamMeter.h"
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace sorrelbay;

namespace {

constexpr std::int64_t Rate = 1000;
constexpr std::int64_t Burst = 2000;
constexpr std::int64_t CallUnits = 50;

/// Hosts that let one team's calls in and tell each other what they used.
struct Fleet {
  explicit Fleet(int hosts) : Meters(static_cast<std::size_t>(hosts)) {}

  void tellAll(Instant now) {
    for (std::size_t from = 0; from < Meters.size(); ++from)
      for (std::size_t to = 0; to < Meters.size(); ++to)
        if (from != to)
          Meters[to].notePeer(
              SourceId(std::to_string(from)),
              {IncarnationId(std::to_string(from)), Meters[from].used()}, now);
  }

  /// Offers that many units a second in all, by turns, and returns what was let
  /// in.
  std::int64_t offer(double unitsPerSecond, Duration span, Duration report) {
    std::int64_t taken = 0;
    const Duration gap =
        fromSeconds(static_cast<double>(CallUnits) / unitsPerSecond);
    Instant now{seconds(100)};
    const Instant end = now + span;
    Instant told = now;
    for (std::size_t turn = 0; now < end; now += gap, ++turn) {
      if (now - told >= report) {
        tellAll(now);
        told = now;
      }
      if (Meters[turn % Meters.size()].take(CallUnits, Rate, Burst, now))
        taken += CallUnits;
    }
    return taken;
  }

  std::vector<TeamMeter> Meters;
};

} // namespace

BOOST_AUTO_TEST_SUITE(team_meter)

BOOST_AUTO_TEST_CASE(a_team_within_its_allotment_is_never_refused) {
  Fleet fleet(7);
  const std::int64_t taken = fleet.offer(900, seconds(20), milliseconds(250));
  BOOST_TEST(taken >= 900 * 20);
}

// One team sends eight times its allotment to seven hosts. Each host that
// counted only its own calls would hand out the whole allotment, seven times in
// all, and the other teams would wait.
BOOST_AUTO_TEST_CASE(all_hosts_together_keep_the_allotment) {
  Fleet fleet(7);
  const std::int64_t taken = fleet.offer(8000, seconds(20), milliseconds(250));
  const std::int64_t allowed = Rate * 20 + Burst;
  BOOST_TEST(taken <= allowed * 11 / 10);
  BOOST_TEST(taken >= allowed * 9 / 10);
}

BOOST_AUTO_TEST_CASE(a_peer_that_starts_anew_counts_from_zero) {
  TeamMeter meter;
  const Instant now{seconds(10)};
  BOOST_TEST(meter.take(1, Rate, Burst, now));
  meter.notePeer(SourceId("a"), {IncarnationId("1"), 500}, now);
  meter.notePeer(SourceId("a"), {IncarnationId("2"), 300}, now);
  BOOST_TEST(meter.level() == Burst - 1 - 500 - 300);
}

// A host was killed and starts again beside peers that have let in the team's
// calls for minutes. Charged with all of that at once, it would answer "beyond
// the allotment" to a team that is well within it, for many seconds.
BOOST_AUTO_TEST_CASE(a_host_that_starts_anew_takes_the_level_from_its_peers) {
  TeamMeter meter;
  const Instant now{seconds(10)};
  meter.notePeer(SourceId("a"), {IncarnationId("1"), 50 * Rate, true, 600},
                 now);
  meter.notePeer(SourceId("b"), {IncarnationId("1"), 40 * Rate, true, 700},
                 now);
  BOOST_TEST(meter.take(100, Rate, Burst, now));
  BOOST_TEST(meter.knownLevel().value() == 500);
  // What they let in from then on counts.
  meter.notePeer(SourceId("a"), {IncarnationId("1"), 50 * Rate + 200, true, 0},
                 now);
  BOOST_TEST(meter.level() == 300);
}

// Two hosts start anew together: nobody knows the level, and nothing has been
// let in.
BOOST_AUTO_TEST_CASE(without_older_peers_the_bucket_is_full) {
  TeamMeter meter;
  const Instant now{seconds(10)};
  BOOST_TEST(!meter.knownLevel().has_value());
  meter.notePeer(SourceId("a"), {IncarnationId("1"), 300, false, Burst - 300},
                 now);
  BOOST_TEST(meter.take(1, Rate, Burst, now));
  BOOST_TEST(meter.level() == Burst - 301);
}

BOOST_AUTO_TEST_CASE(units_of_a_call_that_did_not_run_come_back) {
  TeamMeter meter;
  const Instant now{seconds(10)};
  BOOST_TEST(meter.take(Burst, Rate, Burst, now));
  BOOST_TEST(!meter.take(1, Rate, Burst, now));
  BOOST_TEST((meter.wait(Rate) == Duration::zero()));
  meter.giveBack(Burst);
  BOOST_TEST(meter.take(1, Rate, Burst, now));
  BOOST_TEST(meter.used() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
