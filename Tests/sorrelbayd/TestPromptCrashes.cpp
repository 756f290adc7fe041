#include "CrashingEngines.h"
#include "LibOperator/QuarantineObject.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace sorrelbay;

namespace {

constexpr int EngineCount = 12;
/// The platform allows so many requests with a fatal part to reach engines
/// after the fifth crash and the time in which hosts notice.
constexpr int CrashesUntilBound = 5;
constexpr int AllowedRequests = 3;
constexpr Duration NoticeTime = seconds(3);
constexpr int CallsAfterBound = 12;
constexpr Duration CallInterval = milliseconds(40);
constexpr int MaxCalls = 400;

const CrashMoment Moments[] = {CrashMoment::BeforeFirstByte,
                               CrashMoment::InsideFirstEvent};
/// Streams that may be sent once, streams that may be resumed, and calls that
/// may be repeated.
const std::string Paths[] = {"/n/1", "/s/1", "/q/1"};

/// Three hosts that take turns, so that each sees few crashes.
struct Hosts {
  explicit Hosts(GatewayFixture &fixture)
      : Fixture(fixture), Second(fixture.addHost("second", true)),
        Third(fixture.addHost("third", true)) {}

  HttpReply call(const std::string &path, const std::string &parts) {
    const std::string addresses[] = {
        Fixture.CallerAddress, Second->CallerAddress, Third->CallerAddress};
    try {
      return Fixture.callAt(addresses[Turn++ % 3], path, parts);
    } catch (const HttpOutcomeUnknown &) {
      // The response was cut.
      return {};
    }
  }

  GatewayFixture &Fixture;
  std::unique_ptr<GatewayHost> Second;
  std::unique_ptr<GatewayHost> Third;
  std::size_t Turn = 0;
};

/// Checks how many calls with a fatal part reach engines, and that sound calls
/// with the other parts of their prompts are served.
void checkBound(CrashMoment moment, const std::string &path) {
  GatewayFixture fixture;
  Hosts hosts(fixture);
  CrashingEngines engines(fixture, EngineCount, moment);
  engines.addFatalPart("fatal");
  for (int n = 0; n < 40 && engines.crashes() < CrashesUntilBound; ++n) {
    hosts.call(path, "shared fatal");
    hosts.call(path, "shared other");
    std::this_thread::sleep_for(CallInterval);
  }
  BOOST_REQUIRE(engines.crashes() >= CrashesUntilBound);
  std::this_thread::sleep_for(NoticeTime);
  const int reached = engines.reached("fatal");
  int served = 0;
  int rejected = 0;
  for (int n = 0; n < CallsAfterBound; ++n) {
    const HttpReply reply =
        hosts.call(path, n % 2 == 0 ? "shared fatal" : "fatal shared");
    // The caller must not repeat it, and may rely on that it did not run.
    const bool isRejected =
        reply.Status == 400 && !hasHeader(reply.Headers, "Retry-After");
    rejected += isRejected ? 1 : 0;
    served += hosts.call(path, "shared other").Status == 200 ? 1 : 0;
    std::this_thread::sleep_for(CallInterval);
  }
  BOOST_TEST(engines.reached("fatal") - reached <= AllowedRequests);
  BOOST_TEST(served == CallsAfterBound);
  BOOST_TEST(rejected == CallsAfterBound);
}

std::string storedQuarantines(GatewayFixture &fixture) {
  return fixture.Store.bodyOf(ResourceKind::Quarantines, QuarantineObjectName);
}

/// Sends calls with a fatal part until its quarantine is in the store.
void crashUntilStored(GatewayFixture &fixture) {
  const auto isStored = [&] {
    const std::string body = storedQuarantines(fixture);
    return !body.empty() && !parseQuarantineObject(body).Quarantines.empty();
  };
  for (int n = 0; n < MaxCalls && !isStored(); ++n) {
    fixture.callAt(fixture.CallerAddress, "/n/1", "shared fatal");
    fixture.callAt(fixture.CallerAddress, "/n/1", "shared other");
    std::this_thread::sleep_for(CallInterval);
  }
  BOOST_REQUIRE(isStored());
}

} // namespace

BOOST_AUTO_TEST_SUITE(prompt_crashes)

// Calls with one part in their prompts crash an engine each. Unless hosts find
// the part out, they send on until all engines are down.
BOOST_AUTO_TEST_CASE(calls_that_crash_engines_are_not_sent_on) {
  for (const CrashMoment moment : Moments)
    for (const std::string &path : Paths)
      BOOST_TEST_CONTEXT(moment << ", " << path)
  checkBound(moment, path);
}

// What is logged and counted as a crash must be one, or prompts are suspected
// for responses that an upstream spoils.
BOOST_AUTO_TEST_CASE(upstreams_that_crash_are_counted) {
  const std::string count = "sorrelbay_upstream_crashes_total{"
                            "manner=\"reset\",service=\"desk\"}";
  GatewayFixture fixture;
  fixture.Upstream = [](const std::shared_ptr<HttpExchange> &it) {
    it->abort();
  };
  for (int n = 0; n < CallsAfterBound; ++n)
    fixture.callAt(fixture.CallerAddress, "/n/1", "shared fatal");
  BOOST_TEST(fixture.metric(count) == 0);
  CrashingEngines engines(fixture, EngineCount, CrashMoment::BeforeFirstByte);
  engines.addFatalPart("fatal");
  fixture.callAt(fixture.CallerAddress, "/n/1", "shared other");
  BOOST_TEST(fixture.metric(count) == 0);
  fixture.callAt(fixture.CallerAddress, "/n/1", "shared fatal");
  std::this_thread::sleep_for(CallInterval);
  BOOST_TEST(fixture.metric(count) == 1);
}

// An engine crashes while it answers calls of a host that did not send the one
// that crashed it. Unless that host finds the crash, each of its calls is a
// failure of the engine's version.
BOOST_AUTO_TEST_CASE(a_crash_under_answers_that_have_begun_is_found) {
  const std::string count = "sorrelbay_upstream_crashes_total{"
                            "manner=\"reset\",service=\"desk\"}";
  GatewayFixture fixture;
  const auto second = fixture.addHost("second", true);
  CrashingEngines engines(fixture, 1, CrashMoment::BeforeFirstByte);
  engines.addFatalPart("fatal");
  std::thread streaming([&] {
    BOOST_CHECK_THROW(
        fixture.callAt(fixture.CallerAddress, "/n/1", "shared endless"),
        HttpOutcomeUnknown);
  });
  std::this_thread::sleep_for(10 * CallInterval);
  fixture.callAt(second->CallerAddress, "/n/1", "shared fatal");
  streaming.join();
  for (int n = 0; n < MaxCalls && fixture.metric(count) == 0; ++n)
    std::this_thread::sleep_for(CallInterval);
  BOOST_TEST(fixture.metric(count) == 1);
}

// All hosts are killed. Those that start again must not begin anew to crash
// engines, and the first call that they get may be one that does.
BOOST_AUTO_TEST_CASE(quarantines_outlast_all_processes) {
  GatewayFixture fixture;
  CrashingEngines engines(fixture, EngineCount, CrashMoment::BeforeFirstByte);
  engines.addFatalPart("fatal");
  crashUntilStored(fixture);
  const int reached = engines.reached("fatal");
  fixture.restart();
  fixture.callUntil(200, "key", "/n/1");
  const HttpReply reply =
      fixture.callAt(fixture.CallerAddress, "/n/1", "shared fatal");
  BOOST_TEST(reply.Status == 400);
  BOOST_TEST(engines.reached("fatal") == reached);
  BOOST_TEST(fixture.metric("sorrelbay_quarantines{service=\"desk\"}") == 1);
}

// What a host has found out while the store was away is written later, and
// holds meanwhile.
BOOST_AUTO_TEST_CASE(quarantines_found_without_the_store_are_stored_later) {
  GatewayFixture fixture;
  CrashingEngines engines(fixture, EngineCount, CrashMoment::BeforeFirstByte);
  engines.addFatalPart("fatal");
  fixture.Store.setUnreachable(true);
  int rejected = 0;
  for (int n = 0; n < MaxCalls && rejected < CallsAfterBound; ++n) {
    const HttpReply reply =
        fixture.callAt(fixture.CallerAddress, "/n/1", "shared fatal");
    rejected += reply.Status == 400 ? 1 : 0;
    std::this_thread::sleep_for(CallInterval);
  }
  BOOST_TEST(rejected == CallsAfterBound);
  BOOST_TEST(storedQuarantines(fixture) == "");
  fixture.Store.setUnreachable(false);
  for (int n = 0; n < MaxCalls && storedQuarantines(fixture).empty(); ++n)
    std::this_thread::sleep_for(CallInterval);
  BOOST_TEST(storedQuarantines(fixture).find("fatal") != std::string::npos);
}

// Operators release a part after its upstreams were mended.
BOOST_AUTO_TEST_CASE(operators_release_a_part) {
  GatewayFixture fixture;
  CrashingEngines engines(fixture, EngineCount, CrashMoment::BeforeFirstByte);
  engines.addFatalPart("fatal");
  crashUntilStored(fixture);
  const int reached = engines.reached("fatal");
  CrashKnowledge stored = parseQuarantineObject(storedQuarantines(fixture));
  BOOST_TEST(releaseQuarantines(stored.Quarantines, "fatal", now()) == 1);
  fixture.Store.put(ResourceKind::Quarantines, QuarantineObjectName,
                    renderQuarantineObject(stored));
  for (int n = 0; n < MaxCalls && engines.reached("fatal") == reached; ++n) {
    fixture.callAt(fixture.CallerAddress, "/n/1", "shared fatal");
    std::this_thread::sleep_for(CallInterval);
  }
  BOOST_TEST(engines.reached("fatal") > reached);
}

// Engines crash under a part whose id is no text. The store is JSON, and a host
// whose periodic work ends when it can't be written reports nothing any more,
// and soon serves nobody.
BOOST_AUTO_TEST_CASE(a_part_that_is_no_text_stops_no_host) {
  const std::string part = "caf\xe9";
  GatewayFixture fixture;
  Hosts hosts(fixture);
  CrashingEngines engines(fixture, EngineCount, CrashMoment::BeforeFirstByte);
  engines.addFatalPart(part);
  const auto isStored = [&] {
    const std::string body = storedQuarantines(fixture);
    return !body.empty() && !parseQuarantineObject(body).Quarantines.empty();
  };
  for (int n = 0; n < MaxCalls && !isStored(); ++n) {
    hosts.call("/n/1", "shared " + part);
    std::this_thread::sleep_for(CallInterval);
  }
  BOOST_TEST(isStored());
  std::this_thread::sleep_for(NoticeTime);
  for (int n = 0; n < CallsAfterBound; ++n) {
    BOOST_TEST(hosts.call("/n/1", "shared other").Status == 200);
    BOOST_TEST(hosts.call("/n/1", "shared " + part).Status == 400);
  }
}

// One part of the periodic work ends with an exception each time. If it ends
// the others, the host reports nothing, and its peers name it to callers no
// more.
BOOST_AUTO_TEST_CASE(a_fault_in_periodic_work_ends_no_other_work) {
  GatewayFixture fixture;
  Hosts hosts(fixture);
  CrashingEngines engines(fixture, EngineCount, CrashMoment::BeforeFirstByte);
  engines.addFatalPart("fatal");
  fixture.Store.failOnQuarantines();
  for (int n = 0; n < CallsAfterBound; ++n) {
    hosts.call("/n/1", "shared fatal");
    std::this_thread::sleep_for(CallInterval);
  }
  std::this_thread::sleep_for(NoticeTime);
  const std::string named = GatewayFixture::lookUp(*fixture.Served);
  for (const auto *it : {hosts.Second.get(), hosts.Third.get()})
    BOOST_TEST(named.find(it->CallerAddress) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
