#include "Deployment.h"
#include "LibObjectApi/HttpObjectApi.h"
#include "LibOperator/RolloutStatusObject.h"
#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

std::string rolloutVersionsToml(const std::string &version, int seconds) {
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

/// Callers that send chats to all daemons on both routes until destroyed.
class Callers {
public:
  explicit Callers(const Deployment &deployment) {
    constexpr int CallersPerDaemon = 3;
    for (const auto &it : deployment.Daemons)
      for (int n = 0; n < CallersPerDaemon; ++n)
        Threads.emplace_back([this, address = it->Address, n] {
          sendChats(address, n == 0 ? "quote" : "chat");
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

  void sendChats(const std::string &address, const std::string &route) {
    while (!IsOver) {
      streamChat(address, "Which oak?", 1, {{"X-Route", route}});
      std::this_thread::sleep_for(milliseconds(2));
    }
  }
};

/// Two engines of the old version, one of the new version, and three daemons.
struct TwoVersions {
  TwoVersions()
      : Old(Cluster.addEngine("zone-a", "v1")),
        SecondOld(Cluster.addEngine("zone-b", "v1")),
        New(Cluster.addEngine("zone-a", "v2")) {
    for (const char *zone : {"zone-a", "zone-b", "zone-c"})
      Cluster.addDaemon(zone);
    Cluster.roll(standardBundle(1, SingleVersionToml));
    Cluster.waitReady();
  }

  void rollTo(int seconds) {
    std::string bundle = standardBundle(2, rolloutVersionsToml("v2", seconds));
    const std::string usualLatencyTarget = "latency_target_ms = 2000";
    for (auto n = bundle.find(usualLatencyTarget); n != std::string::npos;
         n = bundle.find(usualLatencyTarget))
      bundle.replace(n, usualLatencyTarget.size(), "latency_target_ms = 300");
    Cluster.roll(bundle);
    Cluster.waitReady(2);
  }

  RolloutStatusObject status() const {
    const ObjectApi objects = connectObjectApi(Cluster.platform(), seconds(5));
    for (const RolloutStatusObject &it : readRolloutStatuses(objects))
      if (it.Version == VersionId("v2"))
        return it;
    return {};
  }

  void waitFor(PublishedRolloutState state) const {
    waitUntil(std::string("the rollout state to be ") + nameOf(state),
              [&] { return status().State == state; });
  }

  /// The first daemon that finds the version bad writes the status; the others
  /// read it later. Waits until each has rolled the version back.
  void waitUntilRolledBackEverywhere() const {
    for (const auto &it : Cluster.Daemons)
      waitUntil(it->Address + " rolls the version back",
                [&] { return it->Process->hasLogged("version taken back"); });
  }

  /// Waits until the old version receives many calls while the new one receives
  /// none.
  void waitForLastCallToNew() const {
    constexpr int ManyCalls = 300;
    waitUntil("the last call to the new version", [this] {
      const std::int64_t before = requestsAt(New);
      const std::int64_t others = requestsAt(Old);
      waitUntil("more calls to the old version",
                [&] { return requestsAt(Old) > others + ManyCalls; });
      return requestsAt(New) == before;
    });
  }

  /// The number of calls that the new version receives while each daemon serves
  /// this many.
  std::int64_t callsToNewDuring(int calls) const {
    const std::int64_t before = requestsAt(New);
    for (int n = 0; n < calls; ++n)
      for (const auto &it : Cluster.Daemons)
        streamChat(it->Address, "Which oak?", 1);
    return requestsAt(New) - before;
  }

  Deployment Cluster;
  TestUpstream &Old;
  TestUpstream &SecondOld;
  TestUpstream &New;
};

/// A fault of the new version, as JSON for the fake engine.
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

// A new version is bad in one of several ways. Without the canary judge it
// would receive all calls. With the judge it may receive only a few, and after
// the rollback no daemon may send it any.
BOOST_DATA_TEST_CASE(a_bad_version_is_rolled_back_everywhere,
                     boost::unit_test::data::make(BadRows), row) {
  TwoVersions two;
  Deployment::post(two.New.Address, "/admin/faults", row.Faults);
  two.rollTo(60);
  {
    const Callers callers(two.Cluster);
    two.waitFor(PublishedRolloutState::TakenBack);
  }
  BOOST_TEST(two.status().Reason.find(row.Reason) == 0U);
  two.waitUntilRolledBackEverywhere();
  BOOST_TEST(two.callsToNewDuring(CallsAfter) == 0);
}

// A version turns bad after it has received the full share. If judging had
// ended by then, it would stay in use.
BOOST_AUTO_TEST_CASE(
    a_version_that_turns_bad_after_the_rollout_is_rolled_back) {
  TwoVersions two;
  two.rollTo(6);
  const Callers callers(two.Cluster);
  two.waitFor(PublishedRolloutState::Done);
  Deployment::post(two.New.Address, "/admin/faults", R"({"fail_share":0.5})");
  two.waitFor(PublishedRolloutState::TakenBack);
}

// One daemon is paused while the others find the version bad, and another is
// restarted later. Calls queue at the paused daemon, and when it resumes it
// reads them before it reads the veto: it must not send them to the bad
// version.
BOOST_AUTO_TEST_CASE(daemons_paused_or_restarted_during_the_veto_apply_it) {
  TwoVersions two;
  two.rollTo(8);
  TestDaemon &paused = *two.Cluster.Daemons[2];
  std::vector<std::thread> waiting;
  std::int64_t before = 0;
  {
    const Callers callers(two.Cluster);
    waitUntil("a stage after the first one",
              [&] { return two.status().Stage > 1; });
    paused.Process->pause();
    Deployment::post(two.New.Address, "/admin/faults", R"({"fail_share":0.8})");
    two.waitFor(PublishedRolloutState::TakenBack);
    for (int n = 0; n < CallsAfter; ++n)
      waiting.emplace_back([&paused, n] {
        streamChat(paused.Address, "Which oak, number " + std::to_string(n), 1);
      });
    two.waitForLastCallToNew();
    before = requestsAt(two.New);
    // The daemon detects a pause only from one second on.
    std::this_thread::sleep_for(milliseconds(1500));
    paused.Process->resume();
    for (std::thread &it : waiting)
      it.join();
  }
  BOOST_TEST(requestsAt(two.New) == before);
  two.Cluster.restart(*two.Cluster.Daemons[0]);
  two.Cluster.waitReady(2);
  BOOST_TEST(two.callsToNewDuring(CallsAfter) == 0);
}

// The object API is down when the version turns bad. Daemons stop using it on
// their own evidence, and the status states the reason once the API is back.
BOOST_AUTO_TEST_CASE(a_bad_version_is_rolled_back_without_the_object_api) {
  TwoVersions two;
  two.rollTo(60);
  const Callers callers(two.Cluster);
  waitUntil("calls to the new version",
            [&] { return requestsAt(two.New) > 0; });
  two.Cluster.setPlatformFaults(R"({"down":true})");
  Deployment::post(two.New.Address, "/admin/faults", R"({"fail_share":0.9})");
  two.waitForLastCallToNew();
  two.Cluster.setPlatformFaults(R"({"down":false})");
  two.waitFor(PublishedRolloutState::TakenBack);
}

BOOST_AUTO_TEST_SUITE_END()
