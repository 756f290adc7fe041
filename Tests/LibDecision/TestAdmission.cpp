#include "LibBase/Invariant.h"
#include "LibDecision/Admission.h"
#include "LibDecision/RetryBudget.h"
#include "SoakSeeds.h"
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <random>
#include <set>

using namespace sorrelbay;

namespace {

const Instant Start{seconds(1000)};

QueuedCall call(std::uint64_t id, const char *team, Duration deadline,
                int priority = 0) {
  return {id, TeamId(team), priority, 1, Start + deadline};
}

AdmissionSettings oneSlot() {
  AdmissionSettings settings;
  settings.CallSlots = 1;
  settings.MaxQueuedPerTeam = 3;
  return settings;
}

struct ArrivalRow {
  const char *Name;
  /// Calls of team a that arrived before; the first has started.
  int Before;
  const char *Team;
  Duration Deadline;
  std::optional<AdmissionKind> Wanted;
  AdmissionRefusalCause Reason;
};

std::ostream &operator<<(std::ostream &out, const ArrivalRow &row) {
  return out << row.Name;
}

const ArrivalRow ArrivalRows[] = {
    {"a free slot", 0, "a", seconds(2), AdmissionKind::Start,
     AdmissionRefusalCause::None},
    {"a free slot and a deadline in 1 ms", 0, "a", milliseconds(1),
     AdmissionKind::Start, AdmissionRefusalCause::None},
    {"past its deadline", 0, "a", -seconds(1), AdmissionKind::Refuse,
     AdmissionRefusalCause::DeadlineUnreachable},
    {"waits", 2, "a", seconds(5), std::nullopt, AdmissionRefusalCause::None},
    {"too little time to wait", 1, "a", milliseconds(250),
     AdmissionKind::Refuse, AdmissionRefusalCause::DeadlineUnreachable},
    {"the queue of its team is full", 4, "a", seconds(5), AdmissionKind::Refuse,
     AdmissionRefusalCause::QueueFull},
    {"the queue of another team is full", 4, "b", seconds(5), std::nullopt,
     AdmissionRefusalCause::None},
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTests)

BOOST_DATA_TEST_CASE(decides_on_an_arriving_call,
                     boost::unit_test::data::make(ArrivalRows), row) {
  Admission admission(oneSlot());
  for (int n = 0; n < row.Before; ++n)
    admission.arrive(call(static_cast<std::uint64_t>(n), "a", seconds(60)),
                     Start);
  const auto actions =
      admission.arrive(call(100, row.Team, row.Deadline), Start);
  BOOST_REQUIRE_EQUAL(actions.size(), row.Wanted ? 1U : 0U);
  if (!row.Wanted)
    return;
  BOOST_CHECK(actions[0].Kind == *row.Wanted);
  BOOST_CHECK(actions[0].Reason == row.Reason);
  BOOST_CHECK_EQUAL(actions[0].RetryAfter > Duration{},
                    *row.Wanted == AdmissionKind::Refuse);
}

// An alarm arrives while a large team's chats are waiting. It must not wait
// behind them.
BOOST_AUTO_TEST_CASE(an_alarm_starts_before_waiting_calls) {
  Admission admission(oneSlot());
  admission.arrive(call(1, "a", seconds(60)), Start);
  admission.arrive(call(2, "a", seconds(60)), Start);
  admission.arrive(call(3, "b", seconds(60), 9), Start);
  const auto actions = admission.finish(1, Start + milliseconds(100));
  BOOST_REQUIRE_EQUAL(actions.size(), 1U);
  BOOST_CHECK_EQUAL(actions[0].CallId, 3U);
}

BOOST_AUTO_TEST_CASE(a_call_keeps_its_slot_after_its_first_token) {
  Admission admission(oneSlot());
  admission.arrive(call(1, "a", seconds(60)), Start);
  admission.arrive(call(2, "a", seconds(60)), Start);
  admission.begin(1, Start + milliseconds(100));
  BOOST_CHECK(admission.tick(Start + milliseconds(200)).empty());
  BOOST_CHECK_EQUAL(admission.finish(1, Start + seconds(3)).size(), 1U);
}

// Many callers are refused at once. With equal retry delays they would return
// together, and most would be refused again.
BOOST_AUTO_TEST_CASE(refused_callers_get_spaced_retry_delays) {
  Admission admission(oneSlot());
  admission.arrive(call(0, "a", seconds(60)), Start);
  std::vector<Duration> times;
  for (std::uint64_t n = 1; n <= 200; ++n)
    for (const AdmissionAction &it :
         admission.arrive(call(n, "a", milliseconds(1)), Start))
      times.push_back(it.RetryAfter);
  BOOST_REQUIRE_EQUAL(times.size(), 200U);
  std::sort(times.begin(), times.end());
  // The drain rate is ten calls per second, so about ten callers may return in
  // any second.
  for (std::size_t n = 0; n + 15 < times.size(); ++n)
    BOOST_CHECK_GE(toMilliseconds(times[n + 15] - times[n]), 1000);
}

BOOST_AUTO_TEST_CASE(retries_are_a_tenth_of_the_calls) {
  RetryBudget budget;
  int taken = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.noteCall();
    taken += budget.takeRetry(RetryLayer::EntryHost) ? 1 : 0;
    BOOST_CHECK(!budget.takeRetry(RetryLayer::Forwarded));
  }
  BOOST_CHECK_GE(taken, 100);
  BOOST_CHECK_LE(taken, 110);
}

namespace {

/// The admission that the randomised test drives: the real one, or a variant
/// that the checker must detect.
struct AdmissionUnderTest {
  std::function<std::vector<AdmissionAction>(const QueuedCall &, Instant)>
      Arrive;
  std::function<std::vector<AdmissionAction>(std::uint64_t, Instant)> Finish;
  std::function<std::vector<AdmissionAction>(Instant)> Tick;
};

constexpr int RunSlots = 4;

AdmissionUnderTest fairAdmission(const std::vector<Team> &teams) {
  AdmissionSettings settings;
  settings.CallSlots = RunSlots;
  settings.MaxQueuedPerTeam = 50;
  const auto admission = std::make_shared<Admission>(settings);
  admission->setTeams(teams);
  return {[admission](const QueuedCall &it, Instant at) {
            return admission->arrive(it, at);
          },
          [admission](std::uint64_t id, Instant at) {
            return admission->finish(id, at);
          },
          [admission](Instant at) { return admission->tick(at); }};
}

/// Starts calls in order of arrival, within each priority if `isByPriority`,
/// and refuses none.
AdmissionUnderTest fifoAdmission(bool isByPriority) {
  struct State {
    std::deque<QueuedCall> Waiting;
    int Free = RunSlots;
  };
  const auto state = std::make_shared<State>();
  const auto startNext = [state] {
    std::vector<AdmissionAction> actions;
    while (state->Free > 0 && !state->Waiting.empty()) {
      actions.push_back({AdmissionKind::Start, state->Waiting.front().Id,
                         AdmissionRefusalCause::None, Duration{}});
      state->Waiting.pop_front();
      --state->Free;
    }
    return actions;
  };
  return {[state, startNext, isByPriority](const QueuedCall &it, Instant) {
            const auto behind = std::find_if(
                state->Waiting.begin(), state->Waiting.end(),
                [&](const QueuedCall &other) {
                  return isByPriority && other.Priority < it.Priority;
                });
            state->Waiting.insert(behind, it);
            return startNext();
          },
          [state, startNext](std::uint64_t, Instant) {
            ++state->Free;
            return startNext();
          },
          [](Instant) { return std::vector<AdmissionAction>(); }};
}

AdmissionUnderTest singleFifo(const std::vector<Team> & /*teams*/) {
  return fifoAdmission(false);
}

AdmissionUnderTest fifoByPriority(const std::vector<Team> & /*teams*/) {
  return fifoAdmission(true);
}

/// Checks one run and records a violation: every call is started or refused
/// exactly once, refusals have a retry delay, calls start by priority, and two
/// teams that both wait get the shares of the starts that their weights give.
class AdmissionChecker {
public:
  explicit AdmissionChecker(const std::vector<Team> &teams) {
    for (const Team &it : teams)
      Weights[it.Id] = it.Weight;
  }

  void recordArrival(const QueuedCall &call) { Waiting[call.Id] = call; }

  void recordAction(const AdmissionAction &action) {
    const auto found = Waiting.find(action.CallId);
    if (found == Waiting.end()) {
      Violation = "a call was answered twice";
      return;
    }
    const QueuedCall call = found->second;
    Waiting.erase(found);
    if (action.Kind == AdmissionKind::Refuse) {
      if (action.RetryAfter <= Duration{})
        Violation = "a refusal has no retry delay";
      return;
    }
    started(call);
  }

  std::string Violation;

private:
  void started(const QueuedCall &call) {
    std::set<TeamId> waiting;
    for (const auto &it : Waiting) {
      if (it.second.Priority > call.Priority)
        Violation = "a call waits while one of lower priority starts";
      if (it.second.Priority == call.Priority)
        waiting.insert(it.second.OfTeam);
    }
    // The cost by which each waiting team lags behind the team that is served,
    // counted from when it began to wait.
    auto &behind = Lags[call.Priority];
    for (auto it = behind.begin(); it != behind.end();)
      it = waiting.count(it->first.first) == 0 || it->first.first == call.OfTeam
               ? behind.erase(it)
               : std::next(it);
    for (const TeamId &it : waiting) {
      if (it == call.OfTeam)
        continue;
      double &n = behind[{it, call.OfTeam}];
      n += call.Cost / Weights[call.OfTeam];
      // One round of each team's quantum plus the largest call.
      if (n > 2 * (1 + MaxCost))
        Violation = "a waiting team gets less than its share";
    }
  }

  static constexpr double MaxCost = 4;
  std::map<TeamId, int> Weights;
  std::map<std::uint64_t, QueuedCall> Waiting;
  std::map<int, std::map<std::pair<TeamId, TeamId>, double>> Lags;
};

/// Five teams, two of them large, with a load between half and three times the
/// drain rate. Returns a violation, or an empty string.
std::string
runAdmission(std::uint64_t seed,
             AdmissionUnderTest (*make)(const std::vector<Team> &)) {
  std::mt19937_64 random(seed);
  const auto between = [&random](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  std::vector<Team> teams;
  teams.reserve(5);
  for (int n = 0; n < 5; ++n)
    teams.push_back({TeamId(std::to_string(n)), between(1, 3)});
  const AdmissionUnderTest admission = make(teams);
  AdmissionChecker checker(teams);
  std::vector<std::uint64_t> started;
  const auto handleActions = [&](const std::vector<AdmissionAction> &actions) {
    for (const AdmissionAction &it : actions) {
      checker.recordAction(it);
      if (it.Kind == AdmissionKind::Start)
        started.push_back(it.CallId);
    }
  };
  Instant now = Start;
  for (std::uint64_t n = 1; n <= 3000 && checker.Violation.empty(); ++n) {
    now += milliseconds(between(1, 20));
    const bool isOverloaded = (n / 300) % 2 == 1;
    const int event = between(0, 99);
    if (event < (isOverloaded ? 70 : 30)) {
      const int team = std::min(between(0, 9) % 7, 4) % 5;
      const QueuedCall next{n, TeamId(std::to_string(team)),
                            between(0, 19) == 0 ? 9 : 0,
                            static_cast<double>(between(1, 4)),
                            now + milliseconds(between(10, 8000))};
      checker.recordArrival(next);
      handleActions(admission.Arrive(next, now));
    } else if (event < 95 && !started.empty()) {
      const auto which = static_cast<std::ptrdiff_t>(
          random() % static_cast<std::uint64_t>(started.size()));
      const std::uint64_t id = started[static_cast<std::size_t>(which)];
      started.erase(started.begin() + which);
      handleActions(admission.Finish(id, now));
    } else {
      handleActions(admission.Tick(now));
    }
  }
  return checker.Violation;
}

} // namespace

// A large team sends three times the capacity of the service. Without fair
// queueing a small team's calls would be late and alarms would wait behind
// chats.
BOOST_AUTO_TEST_CASE(randomised_load_is_shared_by_priority_and_weight) {
  // These seeds found two faults. An expired call found at the front of its
  // team's queue used up the team's turn, so the team got less than its share.
  // A team that had overdrawn its quantum and whose queue became empty was
  // removed together with its debt, so it returned with a full quantum.
  for (const std::uint64_t seed : {1618, 1686, 1743, 99, 195})
    BOOST_CHECK_EQUAL(runAdmission(seed, fairAdmission), "");
  for (std::uint64_t seed = 1; seed <= soakSeeds(20); ++seed)
    BOOST_CHECK_MESSAGE(runAdmission(seed, fairAdmission).empty(),
                        "seed " << seed << ": "
                                << runAdmission(seed, fairAdmission));
}

// The same run with calls started in order of arrival, with and without
// priorities. The checker must detect the violations of both.
BOOST_AUTO_TEST_CASE(randomised_load_served_in_order_is_caught) {
  for (std::uint64_t seed = 1; seed <= soakSeeds(20); ++seed) {
    BOOST_CHECK(!runAdmission(seed, singleFifo).empty());
    BOOST_CHECK_EQUAL(runAdmission(seed, fifoByPriority),
                      "a waiting team gets less than its share");
  }
}

BOOST_AUTO_TEST_SUITE_END()
