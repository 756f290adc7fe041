#include "Deployment.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <thread>

using namespace sorrelbay;

namespace {

/// The only source that reports the engine as leaving.
enum class Source { HostList, Notice, LoadReport };

struct SourceRow {
  const char *Name;
  Source From;
};

std::ostream &operator<<(std::ostream &out, const SourceRow &row) {
  return out << row.Name;
}

const SourceRow SourceRows[] = {{"host list", Source::HostList},
                                {"notice", Source::Notice},
                                {"load report", Source::LoadReport}};
/// Sources whose current state the daemon can poll when it resumes; notices
/// only arrive as events.
const SourceRow PolledRows[] = {{"host list", Source::HostList},
                                {"load report", Source::LoadReport}};

void reportLeaving(const Deployment &deployment, const TestUpstream &engine,
                   Source source) {
  switch (source) {
  case Source::HostList:
    deployment.list(engine, "leaving");
    return;
  case Source::Notice:
    deployment.addReclaimNotice(engine.Address, 60);
    return;
  case Source::LoadReport:
    Deployment::post(engine.Address, "/admin/faults", R"({"leaving": true})");
    return;
  }
}

std::int64_t requestsAt(const TestUpstream &engine) {
  return Deployment::number(Deployment::get(engine.Address, "/admin/counters"),
                            "requests");
}

/// Streams n chats in sequence, each of which must be complete. A rejected chat
/// is retried.
void chat(const TestDaemon &daemon, int n) {
  for (int it = 0; it < n; ++it) {
    const std::string question = "question " + std::to_string(it);
    waitUntil("a complete response", [&] {
      const ChatAnswer answer = streamChat(daemon.Address, question, 2);
      return answer.IsWhole && answer.Text == expectedText(question, 2);
    });
  }
}

struct TwoEngines {
  TwoEngines() {
    Deploy.addEngine("zone-a", "v1");
    Deploy.addEngine("zone-a", "v1");
    Deploy.addDaemon("zone-a");
    Deploy.roll(standardBundle(1, SingleVersionToml));
    Deploy.waitReady();
  }

  const TestDaemon &daemon() const { return *Deploy.Daemons.front(); }
  const TestUpstream &leavingEngine() const {
    return *Deploy.Upstreams.front();
  }

  Deployment Deploy;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LeavingUpstream)

// An engine's host is to be reclaimed, and only one of the platform's sources
// reports it. A chat that still starts there would be cut off within seconds.
BOOST_DATA_TEST_CASE(gets_no_new_calls_whichever_source_reports,
                     boost::unit_test::data::make(SourceRows), row) {
  TwoEngines run;
  waitUntil("calls to the engine", [&] {
    chat(run.daemon(), 4);
    return requestsAt(run.leavingEngine()) > 0;
  });
  reportLeaving(run.Deploy, run.leavingEngine(), row.From);
  waitUntil("the daemon to stop calling the engine", [&] {
    const std::int64_t before = requestsAt(run.leavingEngine());
    chat(run.daemon(), 10);
    return requestsAt(run.leavingEngine()) == before;
  });
  // The host list still reports the engine as live if another source reported
  // it leaving.
  const std::int64_t before = requestsAt(run.leavingEngine());
  for (int n = 0; n < 4; ++n) {
    chat(run.daemon(), 10);
    std::this_thread::sleep_for(milliseconds(300));
  }
  BOOST_TEST(requestsAt(run.leavingEngine()) == before);
}

// A daemon is paused when the engine is reported as leaving, and callers reach
// it as soon as it resumes. Its stale view would send them to the leaving
// engine.
BOOST_DATA_TEST_CASE(gets_no_new_calls_from_a_daemon_that_was_paused,
                     boost::unit_test::data::make(PolledRows), row) {
  TwoEngines run;
  chat(run.daemon(), 4);
  run.daemon().Process->pause();
  reportLeaving(run.Deploy, run.leavingEngine(), row.From);
  const std::int64_t before = requestsAt(run.leavingEngine());
  std::this_thread::sleep_for(seconds(4));
  run.daemon().Process->resume();
  chat(run.daemon(), 40);
  BOOST_TEST(requestsAt(run.leavingEngine()) == before);
}

// One daemon's connection to the platform is cut, so that it receives neither
// the host list nor the notice; only its peer receives a report that the engine
// is leaving.
BOOST_AUTO_TEST_CASE(gets_no_new_calls_once_a_peer_reports) {
  TwoEngines run;
  const TestProxy &platformProxy = run.Deploy.addProxy(run.Deploy.platform());
  const TestDaemon &cutOff =
      run.Deploy.addDaemon("zone-b", platformProxy.Address);
  run.Deploy.waitReady();
  waitUntil("calls to the engine", [&] {
    chat(cutOff, 4);
    return requestsAt(run.leavingEngine()) > 0;
  });
  platformProxy.setMode("cut");
  waitUntil("the daemon to log that notices are unavailable",
            [&] { return cutOff.Process->hasLogged("notices unavailable"); });
  run.Deploy.addReclaimNotice(run.leavingEngine().Address, 60);
  waitUntil("the daemon to stop calling the engine", [&] {
    const std::int64_t before = requestsAt(run.leavingEngine());
    chat(cutOff, 20);
    return requestsAt(run.leavingEngine()) == before;
  });
  const std::int64_t before = requestsAt(run.leavingEngine());
  chat(cutOff, 40);
  BOOST_TEST(requestsAt(run.leavingEngine()) == before);
}

BOOST_AUTO_TEST_SUITE_END()
