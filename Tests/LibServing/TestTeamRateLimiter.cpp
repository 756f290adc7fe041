#include "LibServing/TeamRateLimiter.h"
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace sorrelbay;

namespace {

constexpr std::int64_t Rate = 1000;
constexpr std::int64_t Burst = 2000;
constexpr std::int64_t CallUnits = 50;

/// Hosts that let one team's calls in and tell each other what they used.
struct Fleet {
  explicit Fleet(int hosts) : RateLimiters(static_cast<std::size_t>(hosts)) {}

  void tellAll(Instant now) {
    for (std::size_t from = 0; from < RateLimiters.size(); ++from)
      for (std::size_t to = 0; to < RateLimiters.size(); ++to)
        if (from != to)
          RateLimiters[to].notePeer(
              SourceId(std::to_string(from)),
              {IncarnationId(std::to_string(from)), RateLimiters[from].used()},
              now);
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
      if (RateLimiters[turn % RateLimiters.size()].take(CallUnits, Rate, Burst,
                                                        now))
        taken += CallUnits;
    }
    return taken;
  }

  std::vector<TeamRateLimiter> RateLimiters;
};

/// Lets the first aggregator "1" tell a zone's sum for two seconds, growing by
/// so many units each time.
void hearSum(TeamRateLimiter &meter, const SourceId &zone, UsedUnits growth,
             Instant &now) {
  BOOST_TEST(meter.take(1, 0, Burst, now));
  UsedUnits used = 0;
  for (int n = 0; n < 8; ++n, now += milliseconds(250))
    meter.notePeer(zone, {IncarnationId("1"), used += growth, false, true},
                   now);
}

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
  TeamRateLimiter meter;
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
  TeamRateLimiter meter;
  const Instant now{seconds(10)};
  meter.notePeer(SourceId("a"),
                 {IncarnationId("1"), 50 * Rate, true, false, {}, 600}, now);
  meter.notePeer(SourceId("b"),
                 {IncarnationId("1"), 40 * Rate, true, false, {}, 700}, now);
  BOOST_TEST(meter.take(100, Rate, Burst, now));
  BOOST_TEST(meter.settledLevel().value() == 500);
  // What they let in from then on counts.
  meter.notePeer(SourceId("a"),
                 {IncarnationId("1"), 50 * Rate + 200, true, false, {}, 0},
                 now);
  BOOST_TEST(meter.level() == 300);
}

// In a large fleet a host gets its first call of a team seconds after others
// did. It knew what they had let in, but not what had come in since: callers
// well within the allotment were turned away.
BOOST_AUTO_TEST_CASE(a_late_first_call_finds_what_has_come_in_meanwhile) {
  TeamRateLimiter meter;
  Instant now{seconds(10)};
  UsedUnits used = 0;
  for (int n = 0; n < 20; ++n, now += milliseconds(250)) {
    used += Rate / 8;
    meter.notePeer(SourceId("a"), {IncarnationId("1"), used}, now);
  }
  BOOST_TEST(meter.take(100, Rate, Burst, now));
  BOOST_TEST(meter.level() > Burst / 2);
}

// The host that aggregates for a zone changes. What the new one counted before,
// the team was charged with already; what was let in between must not be lost.
BOOST_AUTO_TEST_CASE(a_sum_goes_on_with_another_aggregator) {
  TeamRateLimiter meter;
  Instant now{seconds(10)};
  const SourceId zone("zone");
  hearSum(meter, zone, 100, now);
  const double before = meter.level();
  // It has counted since long before the first one did.
  meter.notePeer(zone, {IncarnationId("2"), 90000, true, true}, now);
  BOOST_TEST(meter.level() < before - 50);
  BOOST_TEST(meter.level() > before - 500);
  // It has only just begun to count.
  meter.notePeer(zone, {IncarnationId("3"), 20, true, true}, now);
  meter.notePeer(zone, {IncarnationId("3"), 120, true, true},
                 now + milliseconds(250));
  BOOST_TEST(meter.level() > before - 1200);
}

// The aggregator changes just as a team begins to press. The pace of before
// says too little, and the new aggregator knows better.
BOOST_AUTO_TEST_CASE(a_new_aggregators_pace_covers_the_time_between) {
  TeamRateLimiter meter;
  Instant now{seconds(10)};
  const SourceId zone("zone");
  hearSum(meter, zone, 10, now);
  const double before = meter.level();
  now += milliseconds(750);
  meter.notePeer(zone, {IncarnationId("2"), 90000, true, true, 2000.0}, now);
  BOOST_TEST(meter.level() < before - 1900);
  BOOST_TEST(meter.level() > before - 2100);
}

// One host has missed what others let in, or was charged with it twice. It
// would overdraw the allotment, or turn the team away, until it is replaced.
BOOST_AUTO_TEST_CASE(hosts_agree_on_what_is_left) {
  Instant now{seconds(10)};
  TeamRateLimiter high;
  TeamRateLimiter low;
  BOOST_TEST(high.take(1, Rate, Burst, now));
  BOOST_TEST(low.take(1, Rate, Burst, now));
  for (int n = 0; n < 8; ++n, now += milliseconds(250))
    for (const char *peer : {"a", "b", "c"}) {
      const double told = peer[0] == 'c' ? -9000 : 500;
      const PeerUsage use{IncarnationId("1"), 0, false, false, {}, told};
      high.notePeer(SourceId(peer), use, now);
      high.agree(now);
      low.notePeer(SourceId(peer), use, now);
    }
  BOOST_TEST(high.level() < 1000);
  BOOST_TEST(low.take(5000, Rate, Burst, now));
  const double before = low.level();
  low.notePeer(SourceId("a"), {IncarnationId("1"), 0, false, false, {}, 500.0},
               now);
  low.agree(now);
  BOOST_TEST(low.level() > before);
}

// A host lets a call in right after its start and hears only then that the
// bucket is empty.
BOOST_AUTO_TEST_CASE(a_host_that_began_too_early_believes_its_peers) {
  TeamRateLimiter meter;
  const Instant now{seconds(10)};
  BOOST_TEST(meter.take(1, Rate, Burst, now));
  meter.notePeer(SourceId("a"),
                 {IncarnationId("1"), 50 * Rate, true, false, {}, -300.0},
                 now + milliseconds(200));
  BOOST_TEST(meter.level() <= -300);
}

// A team's large prompts have used its allotment up. Its bookings, which take
// next to nothing, would all be refused for as long as prompts keep coming.
BOOST_AUTO_TEST_CASE(small_calls_are_let_in_a_little_longer) {
  constexpr std::int64_t LargeRate = 100000;
  TeamRateLimiter meter;
  const Instant now{seconds(10)};
  BOOST_TEST(meter.take(LargeRate + 5000, LargeRate, LargeRate, now));
  BOOST_TEST(!meter.take(5000, LargeRate, LargeRate, now));
  BOOST_TEST(meter.take(200, LargeRate, LargeRate, now));
  // Not without end.
  int more = 0;
  while (meter.take(200, LargeRate, LargeRate, now))
    ++more;
  BOOST_TEST(more * 200 < LargeRate * 3 / 10);
}

// Two hosts start anew together: nobody knows the level, and nothing has been
// let in.
BOOST_AUTO_TEST_CASE(without_older_peers_the_bucket_is_full) {
  TeamRateLimiter meter;
  const Instant now{seconds(10)};
  BOOST_TEST(!meter.settledLevel().has_value());
  meter.notePeer(SourceId("a"),
                 {IncarnationId("1"), 300, false, false, Burst - 300}, now);
  BOOST_TEST(meter.take(1, Rate, Burst, now));
  BOOST_TEST(meter.level() == Burst - 301);
}

BOOST_AUTO_TEST_CASE(units_of_a_call_that_did_not_run_come_back) {
  TeamRateLimiter meter;
  const Instant now{seconds(10)};
  BOOST_TEST(meter.take(Burst, Rate, Burst, now));
  BOOST_TEST(!meter.take(CallUnits, Rate, Burst, now));
  BOOST_TEST((meter.wait(Rate) == Duration::zero()));
  meter.giveBack(Burst);
  BOOST_TEST(meter.take(CallUnits, Rate, Burst, now));
  BOOST_TEST(meter.used() == CallUnits);
}

// A host froze for seven seconds under load and wakes. The reports that its
// peers sent meanwhile wait in its sockets and are read within a few
// milliseconds. Divided by the time between two of them, what each adds is
// thousands of times the peers' pace; counted ahead, it empties the team's
// bucket for minutes, first here and then at all hosts that take over the
// level.
BOOST_AUTO_TEST_CASE(a_host_that_wakes_does_not_empty_the_bucket) {
  TeamRateLimiter meter;
  Instant now{seconds(10)};
  std::map<std::string, UsedUnits> used;
  const auto tell = [&] {
    for (const char *peer : {"a", "b", "c", "d"})
      meter.notePeer(SourceId(peer),
                     {IncarnationId("1"), used[peer] += Rate / 20}, now);
  };
  for (int n = 0; n < 12; ++n, now += milliseconds(250)) {
    tell();
    BOOST_TEST(meter.take(CallUnits, Rate, Burst, now));
  }
  now += seconds(7);
  for (int n = 0; n < 28; ++n, now += microseconds(700))
    tell();
  for (int n = 0; n < 20; ++n, now += milliseconds(150)) {
    now += milliseconds(100);
    BOOST_TEST(meter.take(CallUnits / 2, Rate, Burst, now));
    BOOST_TEST(meter.level() > -Rate / 2);
    tell();
  }
}

// One host's level is wrong, by whatever mistake. The others must not move
// towards a figure that no allotment can owe.
BOOST_AUTO_TEST_CASE(a_level_that_cannot_be_is_not_taken_over) {
  TeamRateLimiter meter;
  Instant now{seconds(10)};
  BOOST_TEST(meter.take(1, Rate, Burst, now));
  for (int n = 0; n < 40; ++n, now += milliseconds(250)) {
    meter.notePeer(SourceId("a"),
                   {IncarnationId("1"), 0, false, false, {}, -67000.0 * Rate},
                   now);
    meter.agree(now);
  }
  BOOST_TEST(meter.take(1, 0, Burst, now));
  BOOST_TEST(meter.level() >= -8.0 * Rate - Burst);
}

BOOST_AUTO_TEST_SUITE_END()
