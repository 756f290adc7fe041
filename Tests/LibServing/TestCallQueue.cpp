#include "LibServing/CallQueue.h"
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace sorrelbay;

namespace {

const Instant Begin{seconds(1000)};
constexpr Duration Interval = milliseconds(10);
/// The time that a caller has, and the longest wait that leaves enough of it.
constexpr Duration CallerTime = milliseconds(110);
constexpr Duration LongestWait = CallerTime - Interval;
constexpr CallQueueLimits Limits{64, 1000000};
/// One place, whose calls always take the interval.
const QueuePace Steady{Interval, Duration::zero(), Interval};

WaitingCall callOf(std::uint64_t id, const std::string &team, int priority = 0,
                   Duration deadline = seconds(10), Instant now = Begin) {
  return {id, TeamId(team), priority, now, now + deadline, 1};
}

std::vector<std::uint64_t> startAll(CallQueue &queue, Instant now = Begin) {
  std::vector<std::uint64_t> out;
  while (const auto it = queue.start(now))
    out.push_back(it->Id);
  return out;
}

struct OrderCase {
  const char *Name;
  std::vector<WaitingCall> Calls;
  std::map<TeamId, int> Weights;
  std::vector<std::uint64_t> Order;
};

std::ostream &operator<<(std::ostream &out, const OrderCase &it) {
  return out << it.Name;
}

const OrderCase Orders[] = {
    {"priority 0 first",
     {callOf(1, "a", 2), callOf(2, "a", 0), callOf(3, "a", 1)},
     {},
     {2, 3, 1}},
    {"teams by turns",
     {callOf(1, "a"), callOf(2, "a"), callOf(3, "a"), callOf(4, "b"),
      callOf(5, "b")},
     {},
     {1, 4, 2, 5, 3}},
    {"weight 2 has two turns",
     {callOf(1, "a"), callOf(2, "a"), callOf(3, "a"), callOf(4, "b"),
      callOf(5, "b")},
     {{TeamId("a"), 2}},
     {1, 2, 4, 3, 5}},
    {"earliest deadline of a team first",
     {callOf(1, "a", 0, seconds(3)), callOf(2, "a", 0, seconds(1)),
      callOf(3, "a", 0, seconds(2))},
     {},
     {2, 3, 1}},
    {"priority before team, team before deadline",
     {callOf(1, "a", 1, seconds(1)), callOf(2, "a", 0, seconds(9)),
      callOf(3, "a", 0, seconds(8)), callOf(4, "b", 0, seconds(9))},
     {},
     {3, 4, 2, 1}},
};

/// A host with one place, whose calls take `Interval` each. Each team offers a
/// share of what the host can serve.
struct Load {
  std::map<std::string, double> Teams;
  std::uint64_t Seed = 1;
};

struct Outcome {
  std::map<std::string, int> Arrived;
  std::map<std::string, int> Started;
  int LateRefusals = 0;
};

Outcome simulate(const Load &load) {
  std::mt19937_64 random(load.Seed);
  CallQueue queue({16, 1000000});
  queue.setPace(Steady);
  Outcome out;
  std::map<std::uint64_t, WaitingCall> waiting;
  Instant freeAt = Begin;
  std::uint64_t lastId = 0;
  const auto end = [&](const std::vector<WaitRefusal> &all, Instant now) {
    for (const WaitRefusal &it : all) {
      // One step of this simulation may pass before the expiry is seen.
      if (now - waiting.at(it.Id).ArrivedAt > LongestWait + milliseconds(1))
        ++out.LateRefusals;
      waiting.erase(it.Id);
    }
  };
  for (Instant now = Begin; now < Begin + seconds(60); now += milliseconds(1)) {
    end(queue.expire(now), now);
    if (now >= freeAt)
      if (const auto it = queue.start(now)) {
        ++out.Started[waiting.at(it->Id).OfTeam.text()];
        waiting.erase(it->Id);
        freeAt = now + Interval;
      }
    for (const auto &[team, share] : load.Teams) {
      const double perStep = share / static_cast<double>(Interval.count()) *
                             microseconds(milliseconds(1)).count();
      if (std::uniform_real_distribution<double>(0, 1)(random) >= perStep)
        continue;
      const WaitingCall call = callOf(++lastId, team, 0, CallerTime, now);
      ++out.Arrived[team];
      waiting.emplace(lastId, call);
      end(queue.add(call, now), now);
    }
  }
  return out;
}

std::map<std::string, double> teams(double large) {
  std::map<std::string, double> out{{"large", large}};
  for (int n = 0; n < 15; ++n)
    out["small" + std::to_string(n)] = 0.05;
  return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_queue)

BOOST_DATA_TEST_CASE(calls_start_in_order, boost::unit_test::data::make(Orders),
                     it) {
  CallQueue queue(Limits);
  queue.setWeights(it.Weights);
  for (const WaitingCall &call : it.Calls)
    BOOST_TEST(queue.add(call, Begin).empty());
  BOOST_TEST(startAll(queue) == it.Order, boost::test_tools::per_element());
}

// One team sends ten times its share. Served in order of arrival, it would take
// most places and most of the queue, and 15 teams would pay for it.
BOOST_AUTO_TEST_CASE(small_teams_are_served_as_without_the_large_one) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Outcome usual = simulate({teams(0.05), seed});
    const Outcome flooded = simulate({teams(0.5), seed});
    BOOST_TEST(usual.LateRefusals + flooded.LateRefusals == 0);
    double usualShare = 0;
    double floodedShare = 0;
    for (const auto &[team, n] : usual.Arrived)
      if (team != "large") {
        usualShare += double(usual.Started.at(team)) / n / 15;
        floodedShare +=
            double(flooded.Started.at(team)) / flooded.Arrived.at(team) / 15;
      }
    BOOST_TEST_MESSAGE("seed " << seed << ": small teams served " << usualShare
                               << " and " << floodedShare);
    BOOST_TEST(usualShare > 0.8);
    BOOST_TEST(floodedShare >= 0.95 * usualShare);
    BOOST_TEST(flooded.Started.at("large") < flooded.Arrived.at("large"));
  }
}

// A caller that waits in vain could have asked another host meanwhile.
BOOST_AUTO_TEST_CASE(a_hopeless_call_is_refused_on_arrival) {
  CallQueue queue(Limits);
  queue.setPace(Steady);
  std::uint64_t id = 0;
  std::vector<WaitRefusal> refused;
  while (refused.empty() && id < 64)
    refused = queue.add(callOf(++id, "a", 0, CallerTime), Begin);
  BOOST_TEST(id == LongestWait / Interval + 1);
  BOOST_REQUIRE_EQUAL(refused.size(), 1U);
  BOOST_TEST((refused.front().Cause == WaitRefusalCause::Hopeless));
  BOOST_TEST((refused.front().ReturnAfter > LongestWait));
  // A deadline that leaves no time for the response is as hopeless.
  BOOST_TEST(queue.add(callOf(99, "b", 0, Interval), Begin).size() == 1U);
}

// What is known when a call arrives may change while it waits: upstreams become
// slower, or a more urgent call takes its turn.
BOOST_AUTO_TEST_CASE(a_call_is_refused_as_soon_as_it_becomes_hopeless) {
  CallQueue queue(Limits);
  queue.setPace(Steady);
  for (std::uint64_t id = 1; id <= 10; ++id)
    BOOST_TEST(queue.add(callOf(id, "a", 1, CallerTime), Begin).empty());
  const auto urgent = queue.add(callOf(11, "a", 0, CallerTime), Begin);
  BOOST_TEST(urgent.empty());
  queue.setPace({2 * Interval, Duration::zero(), Interval});
  const Instant reviewAt = *queue.nextExpiry();
  BOOST_TEST((reviewAt <= Begin + Interval));
  const auto refused = queue.expire(reviewAt);
  // One call starts every 20 ms from then on, and the last one after 90 ms.
  BOOST_TEST(refused.size() == 6U);
  for (const WaitRefusal &it : refused)
    BOOST_TEST((it.Cause == WaitRefusalCause::Hopeless));
  BOOST_TEST(startAll(queue).front() == 11U);
}

// A frozen host wakes up with calls whose callers have given up, and a free
// place: they must not be sent.
BOOST_AUTO_TEST_CASE(a_call_that_waited_too_long_never_starts) {
  CallQueue queue(Limits);
  queue.setPace(Steady);
  queue.add(callOf(1, "a", 0, CallerTime), Begin);
  BOOST_TEST((*queue.nextExpiry() <= Begin + LongestWait));
  BOOST_TEST(queue.expire(Begin + LongestWait).empty());
  BOOST_TEST((*queue.nextExpiry() == Begin + LongestWait));
  const auto refused = queue.expire(Begin + seconds(20));
  BOOST_REQUIRE_EQUAL(refused.size(), 1U);
  BOOST_TEST((refused.front().Cause == WaitRefusalCause::TimedOut));
  BOOST_TEST(startAll(queue).empty());
  BOOST_TEST(!queue.nextExpiry());
}

// Unbounded, the queue would grow with the callers' patience; and one team
// could fill it.
BOOST_AUTO_TEST_CASE(a_full_queue_refuses_the_longest_and_least_urgent) {
  CallQueue queue({4, 1000000});
  for (std::uint64_t id = 1; id <= 4; ++id)
    BOOST_TEST(queue.add(callOf(id, "a", 1), Begin).empty());
  const auto own = queue.add(callOf(5, "a", 1), Begin);
  BOOST_REQUIRE_EQUAL(own.size(), 1U);
  BOOST_TEST(own.front().Id == 5U);
  BOOST_TEST((own.front().Cause == WaitRefusalCause::Full));
  const auto other = queue.add(callOf(6, "b", 1), Begin);
  BOOST_REQUIRE_EQUAL(other.size(), 1U);
  BOOST_TEST(other.front().Id == 4U);
  BOOST_TEST((other.front().Cause == WaitRefusalCause::Displaced));
  BOOST_TEST(queue.add(callOf(7, "a", 0), Begin).front().Id == 3U);
  BOOST_TEST(queue.add(callOf(8, "c", 2), Begin).front().Id == 8U);
  BOOST_TEST(queue.size() == 4U);
}

// The turn of a call whose caller has left must not be lost to its team, and
// the call must not start.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_frees_its_position) {
  CallQueue queue(Limits);
  for (std::uint64_t id = 1; id <= 3; ++id)
    queue.add(callOf(id, "a"), Begin);
  BOOST_TEST(queue.remove(1));
  BOOST_TEST(!queue.remove(1));
  BOOST_TEST(startAll(queue) == (std::vector<std::uint64_t>{2, 3}),
             boost::test_tools::per_element());
}

// Many calls are refused at once. With the same time to return, most of them
// would be refused again.
BOOST_AUTO_TEST_CASE(each_refused_call_learns_when_its_own_turn_would_come) {
  CallQueue queue(Limits);
  queue.setPace(Steady);
  for (std::uint64_t id = 1; id <= 10; ++id)
    queue.add(callOf(id, "a", 0, CallerTime), Begin);
  const auto own = queue.add(callOf(11, "a", 0, CallerTime), Begin);
  BOOST_REQUIRE_EQUAL(own.size(), 1U);
  BOOST_TEST((own.front().ReturnAfter == 11 * Interval));
  // Another team's call need not return after all of them.
  const auto other = queue.add(callOf(12, "b", 0, Interval), Begin);
  BOOST_REQUIRE_EQUAL(other.size(), 1U);
  BOOST_TEST((other.front().ReturnAfter <= 2 * Interval));
}

// One call with a large body after the other waits until the host has no
// memory left and is ended with all its calls.
BOOST_AUTO_TEST_CASE(the_memory_of_waiting_calls_is_bounded) {
  CallQueue queue({64, 1000});
  WaitingCall large = callOf(1, "a", 1);
  large.Bytes = 900;
  BOOST_TEST(queue.add(large, Begin).empty());
  WaitingCall second = callOf(2, "a", 1);
  second.Bytes = 200;
  BOOST_TEST(
      (queue.add(second, Begin).front().Cause == WaitRefusalCause::Full));
  second.Id = 3;
  second.Priority = 0;
  const auto displaced = queue.add(second, Begin);
  BOOST_REQUIRE_EQUAL(displaced.size(), 1U);
  BOOST_TEST(displaced.front().Id == 1U);
  BOOST_TEST(queue.bytes() == 200U);
  // A call that would not fit even so displaces none.
  large.Id = 4;
  large.Priority = 0;
  large.Bytes = 1001;
  BOOST_TEST(queue.add(large, Begin).front().Id == 4U);
  BOOST_TEST(queue.remove(3));
  BOOST_TEST(queue.bytes() == 0U);
}

namespace {

/// One call of a random load, or, with an Id of 0, one start.
using RandomCalls = std::vector<std::pair<Duration, WaitingCall>>;

RandomCalls randomCalls(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto below = [&](int n) { return static_cast<int>(random() % n); };
  RandomCalls out;
  Duration at{};
  for (std::uint64_t id = 1; id <= 300; ++id) {
    at += milliseconds(below(8));
    WaitingCall call =
        callOf(id, std::string(1, char('a' + below(4))), below(3),
               milliseconds(20 + below(1000)), Begin + at);
    if (below(3) == 0)
      call.Id = 0;
    out.emplace_back(at, call);
  }
  return out;
}

/// What became of the calls, in order.
std::vector<std::tuple<std::uint64_t, std::string, Duration, Duration>>
play(const RandomCalls &calls, bool withRefused) {
  CallQueue queue({20, 1000000});
  queue.setPace({Interval, Interval / 4, Interval});
  std::vector<std::tuple<std::uint64_t, std::string, Duration, Duration>> out;
  const auto add = [&](Duration at, const std::vector<WaitRefusal> &all) {
    for (const WaitRefusal &it : all)
      if (it.Id < 1000)
        out.emplace_back(it.Id, toText(it.Cause), at, it.ReturnAfter);
  };
  for (const auto &[at, call] : calls) {
    add(at, queue.expire(Begin + at));
    if (call.Id == 0) {
      if (const auto started = queue.start(Begin + at))
        out.emplace_back(started->Id, "started", at, started->Waited);
      continue;
    }
    if (withRefused) {
      // An earlier attempt of the same team that had no time left.
      WaitingCall refused = call;
      refused.Id = 1000 + call.Id;
      refused.Deadline = Begin + at;
      const auto all = queue.add(refused, Begin + at);
      BOOST_TEST(all.front().Id == refused.Id);
      add(at, all);
    }
    add(at, queue.add(call, Begin + at));
  }
  return out;
}

} // namespace

// A caller whose earlier attempt was refused is served before others, or after
// them, with the same time left: callers learn to send calls that must fail.
BOOST_AUTO_TEST_CASE(randomised_earlier_refusals_change_nothing) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const RandomCalls calls = randomCalls(seed);
    const auto without = play(calls, false);
    BOOST_TEST(without.size() > 150U);
    BOOST_TEST((play(calls, true) == without), "seed " << seed);
  }
}

// A call that can still end in its time is refused, or one that can't waits in
// vain.
BOOST_AUTO_TEST_CASE(randomised_calls_wait_while_they_can_end_in_time) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed)
    for (const auto &[at, call] : randomCalls(seed)) {
      if (call.Id == 0)
        continue;
      CallQueue queue(Limits);
      queue.setPace(Steady);
      const int ahead = static_cast<int>(seed % 10);
      for (int n = 1; n <= ahead; ++n)
        queue.add(callOf(1000 + n, "z", -1, seconds(10), Begin + at),
                  Begin + at);
      const bool canEnd =
          Begin + at + Interval / 2 + (ahead + 1) * Interval <= call.Deadline;
      BOOST_TEST(queue.add(call, Begin + at).empty() == canEnd);
    }
}

// With thousands of waiting calls, looking at all of them for each call that
// arrives or starts would take the host's whole processor time.
BOOST_AUTO_TEST_CASE(reviews_of_all_calls_are_bounded_by_time) {
  for (const std::size_t calls : {1000U, 10000U}) {
    CallQueue queue({calls, 1000000});
    queue.setPace({microseconds(1), Duration::zero(), Interval});
    for (std::uint64_t id = 1; id <= calls; ++id)
      queue.add(callOf(id, "team" + std::to_string(id % 300)), Begin);
    BOOST_TEST(queue.size() == calls);
    // The first review comes with the first call, the next ones no sooner than
    // the number of calls allows.
    queue.expire(Begin + milliseconds(10));
    const Duration interval =
        milliseconds(static_cast<std::int64_t>(calls / 10));
    BOOST_TEST((*queue.nextExpiry() == Begin + milliseconds(10) + interval));
    queue.start(Begin + milliseconds(11));
    queue.add(callOf(calls + 1, "other"), Begin + milliseconds(12));
    BOOST_TEST((*queue.nextExpiry() == Begin + milliseconds(10) + interval));
  }
}

BOOST_AUTO_TEST_SUITE_END()
