#include "Deployment.h"
#include "LibObjectApi/HttpObjectApi.h"
#include "LibOperator/MoveStatus.h"
#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

std::string movingTo(const std::string &version, int seconds) {
  return R"(
[[version]]
id = "v1"
service = "model"
share = 0.0

[[version]]
id = ")" +
         version + R"("
service = "model"
share = 1.0
deadline_in_s = )" +
         std::to_string(seconds) + "\n";
}

std::int64_t requestsAt(const TestUpstream &engine) {
  return Deployment::number(Deployment::get(engine.Address, "/admin/counters"),
                            "requests");
}

/// Callers that ask all daemons, on both routes, until the end.
class Callers {
public:
  explicit Callers(const Deployment &deployment) {
    constexpr int CallersPerDaemon = 3;
    for (const auto &it : deployment.Daemons)
      for (int n = 0; n < CallersPerDaemon; ++n)
        Threads.emplace_back([this, address = it->Address, n] {
          ask(address, n == 0 ? "quote" : "chat");
        });
  }
  ~Callers() {
    IsOver = true;
    for (std::thread &it : Threads)
      it.join();
  }
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

private:
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Threads;

  void ask(const std::string &address, const std::string &route) {
    while (!IsOver) {
      streamChat(address, "Which oak?", 1, {{"X-Route", route}});
      std::this_thread::sleep_for(milliseconds(2));
    }
  }
};

/// Two engines of the old version, one of the new one, three daemons.
struct TwoVersions {
  TwoVersions()
      : Old(Whole.addEngine("zone-a", "v1")),
        AlsoOld(Whole.addEngine("zone-b", "v1")),
        New(Whole.addEngine("zone-a", "v2")) {
    for (const char *zone : {"zone-a", "zone-b", "zone-c"})
      Whole.addDaemon(zone);
    Whole.roll(standardBundle(1, OnlyVersionOne));
    Whole.waitReady();
  }

  void rollTo(int seconds) {
    std::string bundle = standardBundle(2, movingTo("v2", seconds));
    const std::string usual = "latency_target_ms = 2000";
    for (auto n = bundle.find(usual); n != std::string::npos;
         n = bundle.find(usual))
      bundle.replace(n, usual.size(), "latency_target_ms = 300");
    Whole.roll(bundle);
    Whole.waitReady(2);
  }

  MoveStatus status() const {
    const ObjectApi objects = connectObjectApi(Whole.platform(), seconds(5));
    for (const MoveStatus &it : readMoveStatuses(objects))
      if (it.Version == VersionId("v2"))
        return it;
    return {};
  }

  void waitFor(MoveState state) const {
    waitUntil(std::string("the move to be ") + nameOf(state),
              [&] { return status().State == state; });
  }

  /// The status is written by whoever finds the version bad; the others hear of
  /// it a moment later. Every one of them must.
  void waitUntilAllKnow() const {
    for (const auto &it : Whole.Daemons)
      waitUntil(it->Address + " knows that the version is bad",
                [&] { return it->Process->hasLogged("version taken back"); });
  }

  /// Waits until the old version gets many calls and the new one none.
  void waitForEndOfNewCalls() const {
    constexpr int ManyCalls = 300;
    waitUntil("the end of calls to the new version", [this] {
      const std::int64_t before = requestsAt(New);
      const std::int64_t others = requestsAt(Old);
      waitUntil("more calls",
                [&] { return requestsAt(Old) > others + ManyCalls; });
      return requestsAt(New) == before;
    });
  }

  /// Calls that the new version gets while every daemon answers so many.
  std::int64_t callsToNewIn(int calls) const {
    const std::int64_t before = requestsAt(New);
    for (int n = 0; n < calls; ++n)
      for (const auto &it : Whole.Daemons)
        streamChat(it->Address, "Which oak?", 1);
    return requestsAt(New) - before;
  }

  Deployment Whole;
  TestUpstream &Old;
  TestUpstream &AlsoOld;
  TestUpstream &New;
};

/// What is wrong with the new version, as the stand-in is told.
struct BadRow {
  const char *Name;
  const char *Faults;
  const char *Reason;
};

std::ostream &operator<<(std::ostream &out, const BadRow &row) {
  return out << row.Name;
}

const BadRow BadRows[] = {
    {"fails at once", R"({"fail_share":0.5})", "failures"},
    {"fails on one route", R"({"fail_share":0.5,"fault_route":"quote"})",
     "failures"},
    {"slow", R"({"slow_ms":600})", "late answers"},
};

constexpr int CallsAfter = 40;

} // namespace

BOOST_AUTO_TEST_SUITE(BadVersions)

// A new version is bad in one of several ways. Without a judge every caller
// would meet it; with one a few do, and then none, at whichever daemon.
BOOST_DATA_TEST_CASE(a_bad_version_is_taken_back_everywhere,
                     boost::unit_test::data::make(BadRows), row) {
  TwoVersions two;
  Deployment::post(two.New.Address, "/admin/faults", row.Faults);
  two.rollTo(60);
  {
    const Callers callers(two.Whole);
    two.waitFor(MoveState::TakenBack);
  }
  BOOST_TEST(two.status().Reason.find(row.Reason) == 0U);
  two.waitUntilAllKnow();
  BOOST_TEST(two.callsToNewIn(CallsAfter) == 0);
}

// The version is good until it has the full share, and bad after. Were judging
// over by then, every caller would go on meeting it.
BOOST_AUTO_TEST_CASE(a_version_that_turns_bad_after_the_move_is_taken_back) {
  TwoVersions two;
  two.rollTo(6);
  const Callers callers(two.Whole);
  two.waitFor(MoveState::Done);
  Deployment::post(two.New.Address, "/admin/faults", R"({"fail_share":0.5})");
  two.waitFor(MoveState::TakenBack);
}

// One daemon is paused while the others find the version bad, and another is
// restarted after. Calls wait at the paused one and are read when it goes on,
// before the news of the veto is: their callers would meet the bad version.
BOOST_AUTO_TEST_CASE(daemons_paused_or_restarted_over_the_veto_obey_it) {
  TwoVersions two;
  two.rollTo(8);
  TestDaemon &paused = *two.Whole.Daemons[2];
  std::vector<std::thread> waiting;
  std::int64_t before = 0;
  {
    const Callers callers(two.Whole);
    waitUntil("more than a probe", [&] { return two.status().Stage > 1; });
    paused.Process->pause();
    Deployment::post(two.New.Address, "/admin/faults", R"({"fail_share":0.8})");
    two.waitFor(MoveState::TakenBack);
    for (int n = 0; n < CallsAfter; ++n)
      waiting.emplace_back([&paused, n] {
        streamChat(paused.Address, "Which oak, number " + std::to_string(n), 1);
      });
    two.waitForEndOfNewCalls();
    before = requestsAt(two.New);
    // A pause is one from a second on.
    std::this_thread::sleep_for(milliseconds(1500));
    paused.Process->resume();
    for (std::thread &it : waiting)
      it.join();
  }
  BOOST_TEST(requestsAt(two.New) == before);
  two.Whole.restart(*two.Whole.Daemons[0]);
  two.Whole.waitReady(2);
  BOOST_TEST(two.callsToNewIn(CallsAfter) == 0);
}

// The object API is down when the fault shows. Daemons stop on what they have
// seen themselves, and status tells the reason once it is back.
BOOST_AUTO_TEST_CASE(a_bad_version_is_taken_back_without_the_object_api) {
  TwoVersions two;
  two.rollTo(60);
  const Callers callers(two.Whole);
  waitUntil("calls to the new version",
            [&] { return requestsAt(two.New) > 0; });
  two.Whole.setPlatformFaults(R"({"down":true})");
  Deployment::post(two.New.Address, "/admin/faults", R"({"fail_share":0.9})");
  two.waitForEndOfNewCalls();
  two.Whole.setPlatformFaults(R"({"down":false})");
  two.waitFor(MoveState::TakenBack);
}

BOOST_AUTO_TEST_SUITE_END()
